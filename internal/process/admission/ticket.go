package admission

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// Phase is where a ticket stands.
type Phase uint8

// Phases of a ticket. A ticket leaves Waiting for exactly one of Running and
// Refused, and Running for Finished.
const (
	Waiting Phase = iota + 1
	Running
	Refused
	Finished
)

// Ticket is one request at a Queue. The fields up to Deadline are set by the
// caller before Offer; the others are the Queue's.
type Ticket struct {
	Team       string
	Weight     uint32
	Importance version.Importance
	Deadline   time.Time
	// Data is the caller's; the Queue leaves it alone.
	Data any

	// Phase is the outcome so far.
	Phase Phase
	// Kind says why the ticket was refused.
	Kind fault.Kind
	// Bound is when the ticket must be swept, while it waits.
	Bound time.Time

	arrived time.Time
	started time.Time
	stage   uint64
	// calls counts the target's own calls that run for this ticket, since when
	// at least one did, and waited how long that was before.
	calls  int
	called time.Time
	waited time.Duration
	// since is when the target last began to work on the ticket itself.
	since        time.Time
	older, newer *Ticket
}

// Result is how a dispatched request ended.
type Result struct {
	// Took is the time the target took, for callers that leave the time of the
	// target's own calls out themselves; see Queue.Calling.
	Took time.Duration
	// Failed is true for a timeout, a broken connection or an answer that
	// shows an overloaded target.
	Failed bool
	// Reset is true where the target reset or refused the connection.
	Reset bool
	// Unused is true where the slot was given back without a dispatch.
	Unused bool
}
