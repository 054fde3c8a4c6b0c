package admission

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Names of the events recorded for a target.
const (
	EventCold    = "target.cold"
	EventWarm    = "target.warm"
	EventLeaving = "target.leaving"
)

// Announce processes an announcement of the target. A cold start begins for a
// new incarnation, for a target that was gone, and for one that announces itself
// cold after warm.
func (q *Queue) Announce(now time.Time, a protocol.Announcement) {
	q.advance(now)
	before := q.announcement
	isNew := q.gone || a.Incarnation != before.Incarnation
	if isNew {
		q.suspicion = suspicion{}
	}
	q.announcement, q.gone = a, false
	q.limit.announce(max(a.Slots, 0))
	switch {
	case isNew && a.State == protocol.Warm:
		q.restart(now, max(a.Slots/warmDivisor, 2*coldLimit), warmRounds, "new incarnation")
	case isNew:
		q.restart(now, coldLimit, coldRounds, "new incarnation")
	case a.State == protocol.Cold && before.State == protocol.Warm:
		q.restart(now, coldLimit, coldRounds, "announced")
	}
	q.setLeaving(a.State == protocol.Leaving)
	q.dispatch(now)
}

// MarkGone rejects all requests until the target announces itself again.
func (q *Queue) MarkGone(now time.Time) {
	q.advance(now)
	q.gone = true
	q.rejectAll(fault.NoTarget)
}

func (q *Queue) setLeaving(leaving bool) {
	if leaving && !q.leaving {
		q.recordEvent(EventLeaving, "")
	}
	q.leaving = leaving
	if leaving {
		q.rejectAll(fault.TargetLeaving)
	}
}

func (q *Queue) rejectAll(kind fault.Kind) {
	for i := range q.classes {
		for q.classes[i].waiting > 0 {
			t := q.classes[i].reject()
			q.waiting--
			q.reject(t, kind)
			q.onDecision(t)
		}
	}
}

// restart discards the learned limit and latencies and begins a cold start.
func (q *Queue) restart(now time.Time, firstLimit, rounds int, reason string) {
	q.limit = newLimit(now, q.limit.announced)
	q.ownTime, q.workTime, q.slotTime = latency{}, latency{}, latency{}
	q.resets, q.suspicion.remaining, q.suspicion.slowRun = 0, 0, 0
	q.cold.restart(firstLimit, rounds)
	q.recordEvent(EventCold, reason)
}

// observe updates the learned state with the result of one request.
func (q *Queue) observe(now time.Time, t *Ticket, r Result) {
	slotTime := now.Sub(t.started)
	ownTime := min(r.Took, slotTime-t.callTime)
	switch {
	case r.Reset:
		q.reset(now)
	case r.Failed:
		q.failed(now, ownTime, slotTime)
	default:
		q.succeeded(now, t, ownTime, slotTime)
	}
}

// reset counts a connection that the target reset or refused. One among many
// requests is weak evidence. resetCount of them within resetInterval, or one for
// the only running request, show that the target restarted. During a cold start,
// one is enough.
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

// failed counts a failure against the target only if its own time was at least
// half of the time that the slot was held. Otherwise a call further downstream
// failed.
func (q *Queue) failed(now time.Time, ownTime, slotTime time.Duration) {
	if 2*ownTime < slotTime {
		return
	}
	if q.cold.active {
		q.restart(now, coldLimit, coldRounds, "failure in cold start")
		return
	}
	q.limit.completed(now, ownTime, true)
}

func (q *Queue) succeeded(now time.Time, t *Ticket, ownTime, slotTime time.Duration) {
	if !t.slow {
		q.suspicion.endRun(t.started)
	}
	if !q.ownTime.isSlow(float64(ownTime)) {
		q.suspicion.observeUsual()
	}
	q.ownTime.observe(ownTime)
	q.workTime.observe(slotTime - t.callTime)
	q.slotTime.observe(slotTime)
	if q.ownTime.jumped(q.suspicion.streak()) {
		q.latencyJumped(now)
		return
	}
	if q.cold.active {
		q.observeColdStart(now, t, ownTime)
		return
	}
	q.limit.completed(now, ownTime, false)
}

// observeColdStart counts a completion during a cold start, and ends the cold
// start if the target is warm or saturated. If it is saturated, half of the
// limit becomes the learned limit.
func (q *Queue) observeColdStart(now time.Time, t *Ticket, ownTime time.Duration) {
	result := q.cold.succeeded(t.stage, ownTime, q.limit.current())
	if result == undecided {
		return
	}
	if result == saturated {
		q.limit.value = float64(max(q.cold.limit/2, 1))
	}
	q.limit.baseline = float64(q.cold.bestMean)
	q.limit.restart(now)
	q.recordEvent(EventWarm, "")
}

// latencyJumped begins a cold start. A jump during a cold start, from
// minSaturatedLimit, shows that the target may not sustain the limit reached.
// Half of it then becomes the learned limit, which bounds the new cold start.
func (q *Queue) latencyJumped(now time.Time) {
	reached := q.cold.limit
	isSaturated := q.cold.active && reached >= minSaturatedLimit
	q.suspicion.confirmed()
	q.restart(now, coldLimit, coldRounds, "latency jump")
	if isSaturated {
		q.limit.value = float64(reached / 2)
	}
}
