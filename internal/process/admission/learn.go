package admission

import (
	"fmt"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Names of the events of a target's limits.
const (
	eventCold    = "target.cold"
	eventWarm    = "target.warm"
	eventLeaving = "target.leaving"
)

// Announce takes what the target says about itself. A new incarnation, and a
// target that announces that it became cold, start over.
func (q *Queue) Announce(now time.Time, a protocol.Announcement) {
	q.advance(now)
	before := q.announce
	fresh := q.gone || a.Incarnation != before.Incarnation
	q.announce, q.gone = a, false
	q.limit.announce(max(a.Slots, 0))
	switch {
	case fresh:
		q.restart(now, firstLimit(a), "new incarnation")
	case a.State == protocol.Cold && before.State == protocol.Warm:
		q.restart(now, coldLimit, "announced")
	}
	q.setLeaving(a.State == protocol.Leaving)
	q.dispatch(now)
}

// Gone refuses everything until the target announces itself again.
func (q *Queue) Gone(now time.Time) {
	q.advance(now)
	q.gone = true
	q.refuseAll(fault.NoTarget)
}

func firstLimit(a protocol.Announcement) int {
	if a.State == protocol.Warm {
		return max(a.Slots/warmShare, 2*coldLimit)
	}
	return coldLimit
}

func (q *Queue) setLeaving(leaving bool) {
	if leaving && !q.leaving {
		q.note(eventLeaving, "")
	}
	q.leaving = leaving
	if leaving {
		q.refuseAll(fault.TargetLeaving)
	}
}

func (q *Queue) refuseAll(kind fault.Kind) {
	for i := range q.classes {
		for q.classes[i].waiting > 0 {
			t := q.classes[i].refuse()
			q.waiting--
			q.refuse(t, kind)
			q.settled(t)
		}
	}
}

// restart forgets what was learnt and begins a cold start.
func (q *Queue) restart(now time.Time, first int, reason string) {
	q.limit = newLimit(now, q.limit.announced)
	q.own, q.held = latency{}, latency{}
	q.stall = stall{progress: now}
	q.resets = 0
	q.cold.restart(first)
	q.note(eventCold, reason)
}

// learn takes the figures of one answer.
func (q *Queue) learn(now time.Time, t *Ticket, r Result) {
	held := now.Sub(t.started)
	switch {
	case r.Reset:
		q.reset(now)
	case r.Failed:
		q.failed(now, r.Took, held)
	default:
		q.succeeded(now, t, r.Took, held)
	}
}

func (q *Queue) reset(now time.Time) {
	if now.Sub(q.lastReset) > resetInterval {
		q.resets = 0
	}
	q.lastReset = now
	q.resets++
	if q.resets >= resetCount || q.cold.active {
		q.restart(now, coldLimit, "connection resets")
	}
}

// failed counts a failure against the target only where its own time was most
// of the time that the slot was taken: else a deeper call failed.
func (q *Queue) failed(now time.Time, took, held time.Duration) {
	if 2*took < held {
		return
	}
	if q.cold.active {
		q.restart(now, coldLimit, "failure in cold start")
		return
	}
	q.limit.completed(now, took, true)
}

func (q *Queue) succeeded(now time.Time, t *Ticket, took, held time.Duration) {
	q.own.observe(took)
	q.held.observe(held)
	if q.own.jumped() {
		q.restart(now, coldLimit, fmt.Sprintf("latency %v after %v", q.own.recent(), q.own.mean()))
		return
	}
	if q.cold.active {
		q.warmed(now, t)
		return
	}
	q.limit.completed(now, took, false)
}

func (q *Queue) warmed(now time.Time, t *Ticket) {
	if !q.cold.succeeded(t.stage, q.limit.current()) {
		return
	}
	q.limit.restart(now)
	q.note(eventWarm, "")
}
