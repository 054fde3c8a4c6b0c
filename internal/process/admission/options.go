// Package admission decides, beside the targets of one daemon, which requests
// are dispatched and when. It is the only strict limiter in the way of a
// target: slots, cold start and leaving hold here whatever the senders believe.
//
// Each target has a Queue, the decision core: it is pure, takes the time as an
// argument, starts nothing, and must be used by one goroutine at a time. The
// Controller keeps one Queue for each service under its own lock and lets
// requests wait on it.
//
// Invariants: a target never has more requests in flight than the lowest of the
// announced slots, the learnt limit and the cold-start limit had allowed when
// the last of them was dispatched; a leaving target is given nothing new.
package admission

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/request/hop"
)

// Options configure a Controller.
type Options struct {
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// Weight returns the share of a team within one importance; nil or a
	// result of 0 means 1.
	Weight func(team string) uint32
	// Events receives changes of a target's limits; nil records nothing.
	Events hop.Recorder
	// Instance is the name of this daemon, for events.
	Instance string
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Weight == nil {
		o.Weight = func(string) uint32 { return 1 }
	}
	return o
}
