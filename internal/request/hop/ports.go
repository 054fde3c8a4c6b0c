// Package hop implements the HTTP handlers of the data path. A call chain starts
// at the root, the daemon whose ingress listener accepted the request. A hop is
// one step of the chain: the root or an egress listener sends the request to the
// peer listener of a target's daemon, which dispatches it to the target.
package hop

import (
	"context"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/inflight"
	"github.com/teaselrack/teaselrack/internal/version"
)

// Configuration provides the current configuration state and its freshness
// lease.
type Configuration interface {
	// Current returns the newest state this daemon has; it is never nil.
	Current() *version.State
	// Fresh returns nil while the freshness lease is valid, LeaseExpired after.
	Fresh() error
}

// Quota enforces the rate limits of teams at the root.
type Quota interface {
	// Take takes one token from the team's token bucket. Errors: QuotaExceeded,
	// QuotaUnavailable.
	Take(ctx context.Context, team string) error
}

// Ledger is a client of the once ledger, which records the idempotency keys of
// once requests and the stored responses.
type Ledger interface {
	// Do sends one command and, where that is safe, retries it until ctx is done.
	// Errors: LedgerUnavailable if the command is known not to have been applied,
	// LedgerUnknown if it may have been.
	Do(ctx context.Context, request protocol.OnceRequest) (protocol.OnceReply, error)
}

// Level is a load-shedding threshold.
type Level = envelope.Level

// Router selects targets for outgoing hops.
type Router interface {
	// Pick selects a target of the envelope's service whose instance is not in
	// exclude. It fails with NoTarget if there is none, and with Overloaded if
	// the last reported level of every target sheds this importance and cohort.
	Pick(e *envelope.Envelope, exclude []string) (Choice, error)
}

// Choice is a selected target. Done must be called exactly once.
type Choice struct {
	Target protocol.TargetRecord
	// Done reports the result of the attempt: the time until the response header
	// arrived, the error or nil, and the level that the response carried, if any.
	Done func(latency time.Duration, err error, level *Level)
}

// Admission controls which requests are dispatched to the local targets, and
// when.
type Admission interface {
	// Admit waits for a free slot until the deadline of ctx. Errors: Overloaded,
	// TargetCold, TargetLeaving, DeadlineNotRun, NoTarget, CallerGone. On
	// success Slot.Done must be called exactly once.
	Admit(ctx context.Context, e *envelope.Envelope) (Slot, error)
	// Level returns the current load-shedding level of service. Every response
	// carries it, or a stricter one that a downstream service returned.
	Level(service string) Level
}

// Slot is permission to run one concurrent request at one target.
type Slot struct {
	// Address is the loopback address of the target.
	Address string
	Occupancy
}

// Occupancy is the use of a slot by one request. It is notified of the target's
// outgoing calls, so that the time spent in downstream services is not counted
// as service time of the target.
type Occupancy interface {
	inflight.CallObserver
	// Done releases the slot. It reports the time until the response header of the
	// target arrived, the error or nil, and whether the target closed or refused the
	// connection. It is called exactly once.
	Done(took time.Duration, err error, reset bool)
}

// Permits limits the extra attempts of a request over its whole call chain. The
// root keeps the counter of the retry permits that are left.
type Permits interface {
	// Open creates the counter of a request at its root.
	Open(requestID string, retries int)
	// Close deletes the counter; later requests for a permit are denied.
	Close(requestID string)
	// Take requests a permit for one extra attempt from the root. It returns
	// false if no permit is left or if the root does not respond.
	Take(ctx context.Context, e *envelope.Envelope) bool
}

// Recorder records timeline events. It never blocks.
type Recorder interface {
	Record(event protocol.Event)
}
