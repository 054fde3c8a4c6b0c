// Package replica replicates a log of commands over a few instances with disks
// and applies it to a state machine on each of them. The consensus algorithm is
// Raft with pre-vote, learners and membership changes of one member at a time.
package replica

import (
	"context"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// Machine is the state machine of one group. The group calls it from one
// goroutine at a time. Apply must be deterministic: it depends on nothing but
// its arguments and the state, so that all replicas reach the same state.
type Machine interface {
	// Apply runs one committed command and returns its result.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with one that Snapshot encoded.
	Restore(snapshot []byte) error
}

// AsyncSnapshotter is a Machine with a large state. The state is captured
// between two commands and encoded in another goroutine, so that the encoding
// does not delay the heartbeats of the group.
type AsyncSnapshotter interface {
	Machine
	// CaptureSnapshot captures the state. The returned function encodes the
	// captured state in the form of Snapshot. It is called once, from any
	// goroutine, while further commands may be applied.
	CaptureSnapshot() func() ([]byte, error)
}

// Group is the interface of a replica group to the services that use it. Its
// methods may be called from any goroutine.
type Group interface {
	// Propose commits command and returns the result of the state machine.
	// Errors: NotLeader if this replica is not the leader (the command was not
	// accepted); NoLeader if leadership was lost, the replica stopped or the
	// context ended before the result was known (the command may still commit);
	// NotFounded.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns once this replica has applied every command that was
	// committed on any replica before the call. A read of the state machine
	// after it is linearizable. The index to wait for comes from a leader that
	// has confirmed its leadership with a quorum. ReadBarrier may be called on
	// any replica. Errors: NoLeader, NotFounded.
	ReadBarrier(ctx context.Context) error
	// Leader returns the address of the leader as this replica knows it, or an
	// empty address, and whether this replica is the leader.
	Leader() (address string, self bool)
	// Status returns the status of this replica and, on the leader, of the
	// other members.
	Status() protocol.ReplicaStatus
	// Found makes this replica the only voter of a new group. Errors:
	// AlreadyFounded, NoLeader.
	Found(ctx context.Context) error
	// Admit adds the replica at address as a learner and promotes it to a voter
	// once it holds all committed entries durably. asOf, unless it is 0, is the
	// index up to which the caller knows the members; each change that names one
	// adds a membership entry, also where it changes nothing. Leader only. Errors:
	// NotLeader, MembershipBusy, NoLeader, NotFounded; OrderOutdated if there is a
	// membership entry after asOf and the change is not made yet.
	Admit(ctx context.Context, address string, asOf uint64) error
	// Remove removes a member from the group. See Admit.
	Remove(ctx context.Context, id string, asOf uint64) error
}
