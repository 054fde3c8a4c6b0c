// Package admission decides which requests are dispatched to the local targets
// of a daemon, and when. It is the only strict limiter in front of a target:
// slots, cold start and leaving are enforced here, whatever the senders assume.
//
// The decision logic for each target is a Queue. It is deterministic, takes the
// time as an argument, starts no goroutines, and must be used by one goroutine
// at a time. The Controller keeps one Queue per service under its own lock and
// lets requests wait on it.
//
// Invariants: the number of requests in flight at a target never exceeds the
// lowest of the announced slots, the learned limit and the cold-start limit as
// they were when the last of the requests was dispatched; a leaving target gets
// no new requests.
package admission

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/request/hop"
)

// Options configure a Controller.
type Options struct {
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// Weight returns the weight of a team within one importance; nil or a
	// result of 0 means 1.
	Weight func(team string) uint32
	// Events receives EventCold, EventWarm and EventLeaving of each target; nil
	// records nothing.
	Events hop.Recorder
	// Instance is the name of this daemon in events.
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
