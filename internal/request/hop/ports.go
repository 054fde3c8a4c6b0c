// Package hop serves one request at one process: at the root, at the daemon
// beside the target, and at the egress listener of that target.
package hop

import (
	"context"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/running"
	"github.com/teaselrack/teaselrack/internal/version"
)

// Configuration gives the state in force, with its freshness lease.
type Configuration interface {
	// Current returns the newest state this process holds; never nil.
	Current() *version.State
	// Fresh returns nil while the freshness lease holds, LeaseExpired after.
	Fresh() error
}

// Quota limits teams at the root.
type Quota interface {
	// Take takes one token of the team. Errors: QuotaExceeded,
	// QuotaUnavailable.
	Take(ctx context.Context, team string) error
}

// Ledger reaches the once ledger.
type Ledger interface {
	// Do sends one command and retries it until ctx ends where that is safe.
	// Errors: LedgerUnavailable where the command was certainly not taken,
	// LedgerUnknown where it may have been.
	Do(ctx context.Context, request protocol.OnceRequest) (protocol.OnceReply, error)
}

// Level is the threshold of load shedding.
type Level = envelope.Level

// Router chooses targets for outgoing hops.
type Router interface {
	// Pick chooses a target of service, none of the instances in exclude. It
	// fails with NoTarget, and with Overloaded where every target's last
	// reported level sheds this importance and cohort.
	Pick(e *envelope.Envelope, exclude []string) (Choice, error)
}

// Choice is one pick. Done must be called exactly once.
type Choice struct {
	Target protocol.TargetRecord
	// Done reports how the attempt ended: its latency to the first byte, the
	// error or nil, and the level that came back, if any.
	Done func(latency time.Duration, err error, level *Level)
}

// Admission decides beside a target what is dispatched, and when.
type Admission interface {
	// Admit waits for a slot until the deadline of ctx. Errors: Overloaded,
	// TargetCold, TargetLeaving, DeadlineNotRun, NoTarget, CallerGone. On
	// success Slot.Done must be called exactly once.
	Admit(ctx context.Context, e *envelope.Envelope) (Slot, error)
	// Level returns the level in force, sent back on every answer.
	Level(service string) Level
}

// Slot is the right to one concurrent request at one target.
type Slot struct {
	// Address is the loopback address of the target.
	Address string
	Occupancy
}

// Occupancy is one request's use of a slot. It learns of the target's own
// calls, so that the time of deeper services is not taken for the target's.
type Occupancy interface {
	running.Watcher
	// Done gives the slot back with the time the target took, the error or
	// nil, and whether the target reset the connection. It is called once.
	Done(took time.Duration, err error, reset bool)
}

// Permits bounds retries over the whole chain.
type Permits interface {
	// Open starts the counter of a request at its root.
	Open(requestID string, retries int)
	// Close ends it; later asks are refused.
	Close(requestID string)
	// Take asks the root for one extra attempt. It returns false where the
	// counter is used up, or where the root does not answer.
	Take(ctx context.Context, e *envelope.Envelope) bool
}

// Recorder records events of the time line. It never blocks.
type Recorder interface {
	Record(event protocol.Event)
}
