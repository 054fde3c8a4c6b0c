package admission

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/hop"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// maxWaitingPerSlot bounds the number of waiting tickets per slot.
	maxWaitingPerSlot = 2
	// maxWaitingPerColdSlot is the same bound during a cold start, per request
	// of the cold-start limit.
	maxWaitingPerColdSlot = 4
	// minWaiting is the least bound on the number of waiting tickets.
	minWaiting = 16
	// minOwnFraction is the least ratio of own time to work time at which the
	// duration of a running request is evidence about the target.
	minOwnFraction = 0.9
	// resetInterval is the time within which resetCount connection resets show
	// that the target restarted.
	resetInterval = 100 * time.Millisecond
	resetCount    = 2
)

// waitFactor is the factor for the longest wait of each importance, most
// important first.
var waitFactor = [version.ImportanceCount]time.Duration{4, 2, 1, 1}

// Queue makes the admission decisions for one target. It is not safe for
// concurrent use.
type Queue struct {
	onDecision   func(*Ticket)
	recordEvent  func(name, detail string)
	announcement protocol.Announcement
	leaving      bool
	gone         bool

	classes   [version.ImportanceCount]class
	waiting   int
	inFlight  int
	working   workList
	lastEvent time.Time

	limit limit
	cold  coldStart
	delay delay
	level level
	// slotTime is how long slots are held, workTime the same without the calls
	// reported to OutgoingCall, and ownTime the lesser of workTime and the time
	// passed to Done.
	slotTime latency
	workTime latency
	ownTime  latency

	suspicion suspicion

	resets    int
	lastReset time.Time
}

// NewQueue returns the queue of a target that has not announced itself yet.
// onDecision is called for each ticket that leaves Waiting after Offer
// returned. recordEvent is called with EventCold, EventWarm and EventLeaving; it
// may be nil. Neither may call the Queue.
func NewQueue(now time.Time, onDecision func(*Ticket), recordEvent func(name, detail string)) *Queue {
	if recordEvent == nil {
		recordEvent = func(string, string) {}
	}
	q := &Queue{onDecision: onDecision, recordEvent: recordEvent, gone: true, lastEvent: now}
	q.level = newLevel(now)
	return q
}

// Offer decides about a new ticket: its Phase is Running, Waiting or Rejected
// when Offer returns. A waiting ticket must be passed to Expire at its
// WaitDeadline.
func (q *Queue) Offer(now time.Time, t *Ticket) {
	q.advance(now)
	t.Phase, t.arrived = Waiting, now
	q.level.arrived(t.Importance)
	if kind := q.closedKind(); kind != "" {
		q.reject(t, kind)
		return
	}
	if now.Add(q.slotTime.mean()).After(t.Deadline) {
		q.reject(t, fault.DeadlineNotRun)
		return
	}
	if q.waiting == 0 && q.inFlight < q.allowed(now) {
		q.start(now, t)
		return
	}
	q.enqueue(now, t)
}

// Done releases the slot of a running ticket. It ignores other tickets.
func (q *Queue) Done(now time.Time, t *Ticket, r Result) {
	if t.Phase != Running {
		return
	}
	q.advance(now)
	t.Phase = Finished
	q.inFlight--
	q.stopWork(now, t)
	if !r.Unused {
		q.observe(now, t, r)
	}
	q.dispatch(now)
}

// Expire rejects a ticket whose WaitDeadline has passed. It returns false if
// the ticket no longer waits.
func (q *Queue) Expire(now time.Time, t *Ticket) bool {
	kind := fault.Overloaded
	switch {
	case !now.Add(q.slotTime.mean()).Before(t.Deadline):
		kind = fault.DeadlineNotRun
	case q.cold.active:
		kind = fault.TargetCold
	}
	return q.rejectWaiting(now, t, kind)
}

// Cancel removes a ticket whose caller canceled the request. It returns false if
// the ticket no longer waits.
func (q *Queue) Cancel(now time.Time, t *Ticket) bool {
	return q.rejectWaiting(now, t, fault.CallerGone)
}

// Level returns the level in effect.
func (q *Queue) Level(now time.Time) hop.Level {
	q.advance(now)
	return q.level.current()
}

// Limit returns the number of concurrent requests allowed by the slots, the
// learned limit and the cold-start limit.
func (q *Queue) Limit() int {
	n := q.limit.current()
	if q.cold.active {
		n = min(n, q.cold.limit)
	}
	return n
}

// InFlight returns the number of running tickets.
func (q *Queue) InFlight() int { return q.inFlight }

// Waiting returns the number of waiting tickets.
func (q *Queue) Waiting() int { return q.waiting }

// Cold reports whether the cold-start limit is in effect.
func (q *Queue) Cold() bool { return q.cold.active }

// advance accounts for the time since the last event.
func (q *Queue) advance(now time.Time) {
	if elapsed := now.Sub(q.lastEvent); elapsed > 0 {
		q.level.busy += elapsed.Seconds() * float64(q.inFlight) / float64(max(q.Limit(), 1))
		q.lastEvent = now
	}
	if q.waiting == 0 {
		q.delay.observeEmpty(now)
		q.level.standing = false
	}
	q.level.step(now, q.waiting > 0)
}

// closedKind returns the rejection kind if the target accepts no requests at
// all, and the empty kind otherwise.
func (q *Queue) closedKind() fault.Kind {
	switch {
	case q.leaving:
		return fault.TargetLeaving
	case q.gone || q.limit.announced == 0:
		return fault.NoTarget
	}
	return ""
}

// allowed returns the number of requests that may run at once now. It raises the
// suspicion that the target became cold if too many requests are overdue.
func (q *Queue) allowed(now time.Time) int {
	if limit, ok := q.overdueLimit(); ok {
		all, recent := q.working.overdue(now, limit, q.suspicion.lastUsualStart)
		if all >= q.suspicion.need(q.working.count) || q.suspicion.isRun(recent) {
			q.suspicion.raise()
		}
	}
	if q.suspicion.active() {
		return min(q.Limit(), suspectLimit)
	}
	return q.Limit()
}

// overdueLimit returns the time that the target takes for nearly all requests, and
// some slack. ok is false if that is not known.
func (q *Queue) overdueLimit() (limit time.Duration, ok bool) {
	return time.Duration(q.workTime.tail) + overdueSlack, q.workTime.samples >= overdueSamples && q.ownTimeDominates()
}

// noteSlow counts t as slow, once, if the target has worked on it for longer than on
// nearly all earlier requests. The target must be working on it.
func (q *Queue) noteSlow(now time.Time, t *Ticket) {
	limit, ok := q.overdueLimit()
	if t.slow || !ok || now.Sub(t.started)-t.callTime <= limit {
		return
	}
	t.slow = true
	q.suspicion.observeSlow(t.started)
}

// ownTimeDominates reports whether the duration of a request is evidence about
// the target itself. It is not if the target makes calls that are not reported
// to OutgoingCall.
func (q *Queue) ownTimeDominates() bool {
	return q.ownTime.usualMean >= minOwnFraction*q.workTime.usualMean
}

func (q *Queue) start(now time.Time, t *Ticket) {
	t.Phase, t.started, t.stage = Running, now, 0
	q.inFlight++
	q.working.add(now, t)
	q.limit.dispatched(q.inFlight)
	if 2*q.inFlight >= q.cold.limit {
		t.stage = q.cold.stage
	}
}

// enqueue adds t to the queue, or rejects it if the expected wait leaves too
// little time before the deadline. If the queue is full, it displaces one of the
// least important tickets.
func (q *Queue) enqueue(now time.Time, t *Ticket) {
	c := &q.classes[t.Importance-version.Critical]
	slotTime := q.slotTime.mean()
	wait := q.delay.bound(now, slotTime) * waitFactor[t.Importance-version.Critical]
	t.WaitDeadline = now.Add(wait)
	if last := t.Deadline.Add(-slotTime); last.Before(t.WaitDeadline) {
		t.WaitDeadline = last
	}
	if now.Add(q.expectedWait(c, t)).After(t.Deadline.Add(-slotTime)) {
		q.reject(t, q.fullKind())
		return
	}
	c.push(t)
	q.waiting++
	if q.waiting > q.maxWaiting() {
		q.displace()
	}
}

// expectedWait estimates the time until t would be served, from the number of
// tickets ahead of it and the mean slot time.
func (q *Queue) expectedWait(c *class, t *Ticket) time.Duration {
	ahead := c.ahead(t)
	for i := range t.Importance - version.Critical {
		ahead += q.classes[i].waiting
	}
	return q.slotTime.mean() * time.Duration(ahead) / time.Duration(max(q.Limit(), 1))
}

func (q *Queue) maxWaiting() int {
	if q.cold.active {
		return maxWaitingPerColdSlot * q.cold.limit
	}
	return max(maxWaitingPerSlot*q.limit.current(), minWaiting)
}

// fullKind returns the rejection kind for lack of capacity.
func (q *Queue) fullKind() fault.Kind {
	if q.cold.active {
		return fault.TargetCold
	}
	return fault.Overloaded
}

// displace rejects one of the least important waiting tickets.
func (q *Queue) displace() {
	for i := len(q.classes) - 1; i >= 0; i-- {
		if q.classes[i].waiting == 0 {
			continue
		}
		t := q.classes[i].displace()
		q.waiting--
		q.reject(t, q.fullKind())
		q.onDecision(t)
		return
	}
}

// dispatch starts waiting tickets while the limits allow it.
func (q *Queue) dispatch(now time.Time) {
	for q.waiting > 0 && q.inFlight < q.allowed(now) {
		t := q.next()
		if !now.Before(t.WaitDeadline) {
			q.reject(t, q.fullKind())
			q.onDecision(t)
			continue
		}
		q.start(now, t)
		q.onDecision(t)
	}
	if q.waiting == 0 {
		q.delay.observeEmpty(now)
		q.level.standing = false
	}
}

// next removes and returns the next ticket, most important first.
func (q *Queue) next() *Ticket {
	for i := range q.classes {
		if q.classes[i].waiting > 0 {
			q.waiting--
			return q.classes[i].serve()
		}
	}
	return nil
}

func (q *Queue) rejectWaiting(now time.Time, t *Ticket, kind fault.Kind) bool {
	if t.Phase != Waiting {
		return false
	}
	q.advance(now)
	if !q.classes[t.Importance-version.Critical].remove(t) {
		return false
	}
	q.waiting--
	q.reject(t, kind)
	return true
}

func (q *Queue) reject(t *Ticket, kind fault.Kind) {
	t.Phase, t.Kind = Rejected, kind
	if kind == fault.Overloaded || kind == fault.TargetCold {
		q.level.rejected++
	}
}
