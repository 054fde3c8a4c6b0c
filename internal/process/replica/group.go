// Package replica keeps a log of commands in agreement over a few instances
// with disks, and applies it to a state machine on each.
package replica

import (
	"context"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// Machine is the state machine of one group. The group calls it from one
// goroutine at a time. Apply must depend on nothing but the machine's state
// and the command, so that every replica ends in the same state.
type Machine interface {
	// Apply runs one committed command and returns its result.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by one that Snapshot returned.
	Restore(snapshot []byte) error
}

// Imager is a Machine whose state is large: it is captured between two commands
// and encoded beside the group's loop, which must not miss heartbeats.
type Imager interface {
	Machine
	// Image captures the whole state. The function that it returns encodes it
	// as Snapshot does, once, from any goroutine, while further commands are
	// applied.
	Image() func() ([]byte, error)
}

// Group is one replica group as the services above it use it. Each method may
// be called from any goroutine.
type Group interface {
	// Propose commits command and returns the machine's result. Errors:
	// NotLeader where this replica does not lead (the command was not taken);
	// NoLeader where leadership was lost before the result was known (the
	// command may still commit); NotFounded; the context's end as NoLeader.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Confirm returns after this replica has applied everything that was
	// committed anywhere before the call, which it learns from a leader that
	// confirmed its leadership with a quorum. It works on any replica.
	// Errors: NoLeader, NotFounded.
	Confirm(ctx context.Context) error
	// Leader returns the address of the leader as far as this replica knows,
	// and whether it is this replica.
	Leader() (address string, self bool)
	// Status describes this replica.
	Status() protocol.ReplicaStatus
	// Found makes this replica the only voter of a new group. Errors:
	// AlreadyFounded.
	Found(ctx context.Context) error
	// Admit adds the replica at address as a learner and, once it holds
	// everything durably, as a voter. Leader only. Errors: NotLeader,
	// MembershipBusy, NoLeader.
	Admit(ctx context.Context, address string) error
	// Remove takes a member out. Leader only. Errors: NotLeader,
	// MembershipBusy, NoLeader.
	Remove(ctx context.Context, id string) error
}
