package admission

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Names of the events of a target's limits.
const (
	EventCold    = "target.cold"
	EventWarm    = "target.warm"
	EventLeaving = "target.leaving"
)

// Announce takes what the target says about itself. A new incarnation, and a
// target that announces that it became cold, start over.
func (q *Queue) Announce(now time.Time, a protocol.Announcement) {
	q.advance(now)
	before := q.announce
	fresh := q.gone || a.Incarnation != before.Incarnation
	if fresh {
		q.suspicion = suspicion{}
	}
	q.announce, q.gone = a, false
	q.limit.announce(max(a.Slots, 0))
	switch {
	case fresh && a.State == protocol.Warm:
		q.restart(now, max(a.Slots/warmShare, 2*coldLimit), warmRounds, "new incarnation")
	case fresh:
		q.restart(now, coldLimit, coldRounds, "new incarnation")
	case a.State == protocol.Cold && before.State == protocol.Warm:
		q.restart(now, coldLimit, coldRounds, "announced")
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

func (q *Queue) setLeaving(leaving bool) {
	if leaving && !q.leaving {
		q.note(EventLeaving, "")
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
func (q *Queue) restart(now time.Time, first, rounds int, reason string) {
	q.limit = newLimit(now, q.limit.announced)
	q.own, q.worked, q.held = latency{}, latency{}, latency{}
	q.resets, q.suspicion.left = 0, 0
	q.cold.restart(first, rounds)
	q.note(EventCold, reason)
}

// learn takes the figures of one answer.
func (q *Queue) learn(now time.Time, t *Ticket, r Result) {
	held := now.Sub(t.started)
	own := min(r.Took, held-t.waited)
	switch {
	case r.Reset:
		q.reset(now)
	case r.Failed:
		q.failed(now, own, held)
	default:
		q.succeeded(now, t, own, held)
	}
}

// reset counts a broken connection. One among many requests says little; two in
// a short time, or one that was all that ran, show a target that restarted.
func (q *Queue) reset(now time.Time) {
	if now.Sub(q.lastReset) > resetInterval {
		q.resets = 0
	}
	q.lastReset = now
	q.resets++
	if q.resets >= resetCount || q.inFlight == 0 || q.cold.active {
		q.restart(now, coldLimit, coldRounds, "connection resets")
	}
}

// failed counts a failure against the target only where its own time was most
// of the time that the slot was taken: else a deeper call failed.
func (q *Queue) failed(now time.Time, own, held time.Duration) {
	if 2*own < held {
		return
	}
	if q.cold.active {
		q.restart(now, coldLimit, coldRounds, "failure in cold start")
		return
	}
	q.limit.completed(now, own, true)
}

func (q *Queue) succeeded(now time.Time, t *Ticket, own, held time.Duration) {
	if !q.own.slowNow(float64(own)) {
		q.suspicion.usualTime()
	}
	q.own.observe(own)
	q.worked.observe(held - t.waited)
	q.held.observe(held)
	if q.own.jumped(q.suspicion.streak()) {
		q.jumped(now)
		return
	}
	if q.cold.active {
		q.evidence(now, t, own)
		return
	}
	q.limit.completed(now, own, false)
}

// evidence takes a completion in cold start. The limit that the target did not
// bear is kept as the learnt one.
func (q *Queue) evidence(now time.Time, t *Ticket, own time.Duration) {
	v := q.cold.succeeded(t.stage, own, q.limit.current())
	if v == undecided {
		return
	}
	if v == strained {
		q.limit.value = float64(max(q.cold.limit/2, 1))
	}
	q.limit.base = float64(q.cold.best)
	q.limit.restart(now)
	q.note(EventWarm, "")
}

// jumped begins a cold start. A jump within one shows that the target may not
// bear the limit that was reached: the next one stops below it.
func (q *Queue) jumped(now time.Time) {
	reached := q.cold.limit
	strained := q.cold.active && reached >= strainLimit
	q.suspicion.confirmed()
	q.restart(now, coldLimit, coldRounds, "latency jump")
	if strained {
		q.limit.value = float64(reached / 2)
	}
}
