package admission

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// Phase is the state of a ticket.
type Phase uint8

// Phases of a ticket. A ticket goes from Waiting to either Running or Rejected,
// and from Running to Finished.
const (
	Waiting Phase = iota + 1
	Running
	Rejected
	Finished
)

// Ticket is one request at a Queue. The caller sets the fields up to Deadline
// before Offer, and may use Data; the Queue sets the others.
type Ticket struct {
	Team       string
	Weight     uint32
	Importance version.Importance
	Deadline   time.Time
	// Data belongs to the caller. The Queue does not use it.
	Data any

	// Phase is the current phase.
	Phase Phase
	// slow is true once the target is known to have worked on the ticket for
	// longer than on nearly all earlier ones.
	slow bool
	// Kind is the reason for a rejection.
	Kind fault.Kind
	// WaitDeadline is the time at which a waiting ticket must be passed to
	// Expire.
	WaitDeadline time.Time

	arrived time.Time
	started time.Time
	// stage is the cold-start stage for which the completion counts. It is 0 if
	// less than half of the cold-start limit was in use at the dispatch.
	stage uint64
	// openCalls is the number of the target's own calls that are open for this
	// ticket.
	openCalls int
	// callingSince is the start of the current period with at least one open
	// call, and callTime the total duration of the earlier ones.
	callingSince time.Time
	callTime     time.Duration
	// workingSince is the time since which the target works on the ticket
	// itself.
	workingSince time.Time
	older, newer *Ticket
}

// Result is the outcome of a dispatched request.
type Result struct {
	// Took is the time that the target took. Callers that do not report the
	// target's own calls to Queue.OutgoingCall must exclude their time from it.
	Took time.Duration
	// Failed is true for a failure of the target: a timeout, a connection that
	// failed or broke, or a truncated response.
	Failed bool
	// Reset is true if the target reset or refused the connection.
	Reset bool
	// Unused is true if the slot was released without a dispatch.
	Unused bool
}
