package admission

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/hop"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// waitingPerSlot bounds the queue by the slots.
	waitingPerSlot = 2
	// coldWaiting is the same in cold start.
	coldWaiting = 4
	// minWaiting is the least bound of a queue.
	minWaiting = 16
	// judgedShare is the part of the known work that must be the target's own
	// time for the target to be judged by requests that still run.
	judgedShare = 0.9
	// resetInterval is the time within which resetCount connection resets show
	// that the target restarted.
	resetInterval = 100 * time.Millisecond
	resetCount    = 2
)

// waitFactor stretches the longest wait by importance.
var waitFactor = [version.ImportanceCount]time.Duration{4, 2, 1, 1}

// Queue decides for one target. It is not safe for concurrent use.
type Queue struct {
	settled  func(*Ticket)
	note     func(name, detail string)
	announce protocol.Announcement
	leaving  bool
	gone     bool

	classes  [version.ImportanceCount]class
	waiting  int
	inFlight int
	working  running
	last     time.Time

	limit limit
	cold  coldStart
	delay delay
	level level
	// held is how long slots were taken, worked the same without the time of
	// the calls that Calling told of, and own the times that Done gave, where
	// they are shorter.
	held   latency
	worked latency
	own    latency

	suspicion suspicion

	resets    int
	lastReset time.Time
}

// NewQueue returns the queue of a target that has not announced itself yet.
// settled is called for each ticket that leaves Waiting after Offer returned;
// note, if not nil, for each change of a limit. Neither may call the Queue.
func NewQueue(now time.Time, settled func(*Ticket), note func(name, detail string)) *Queue {
	if note == nil {
		note = func(string, string) {}
	}
	q := &Queue{settled: settled, note: note, gone: true, last: now}
	q.level = newLevel(now)
	return q
}

// Offer decides about a new ticket: its Phase is Running, Waiting or Refused
// when Offer returns. A waiting ticket must be passed to Expire at its Bound.
func (q *Queue) Offer(now time.Time, t *Ticket) {
	q.advance(now)
	t.Phase, t.arrived = Waiting, now
	q.level.arrived(t.Importance)
	if kind := q.closed(); kind != "" {
		q.refuse(t, kind)
		return
	}
	if now.Add(q.held.mean()).After(t.Deadline) {
		q.refuse(t, fault.DeadlineNotRun)
		return
	}
	if q.waiting == 0 && q.inFlight < q.allowed(now) {
		q.start(now, t)
		return
	}
	q.enqueue(now, t)
}

// Done gives the slot of a running ticket back.
func (q *Queue) Done(now time.Time, t *Ticket, r Result) {
	if t.Phase != Running {
		return
	}
	q.advance(now)
	t.Phase = Finished
	q.inFlight--
	q.stop(now, t)
	if !r.Unused {
		q.learn(now, t, r)
	}
	q.dispatch(now)
}

// Expire refuses a ticket whose Bound has passed. It returns false where the
// ticket no longer waits.
func (q *Queue) Expire(now time.Time, t *Ticket) bool {
	kind := fault.Overloaded
	switch {
	case !now.Add(q.held.mean()).Before(t.Deadline):
		kind = fault.DeadlineNotRun
	case q.cold.active:
		kind = fault.TargetCold
	}
	return q.giveUp(now, t, kind)
}

// Leave takes out a ticket whose caller left. It returns false where the ticket
// no longer waits.
func (q *Queue) Leave(now time.Time, t *Ticket) bool {
	return q.giveUp(now, t, fault.CallerGone)
}

// Level returns the level in force.
func (q *Queue) Level(now time.Time) hop.Level {
	q.advance(now)
	return q.level.current()
}

// Limit returns the number of concurrent requests allowed by the slots, the
// learnt limit and the cold-start limit.
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

// Cold reports whether the cold-start limit is in force.
func (q *Queue) Cold() bool { return q.cold.active }

// advance accounts for the time since the last event.
func (q *Queue) advance(now time.Time) {
	if passed := now.Sub(q.last); passed > 0 {
		q.level.busy += passed.Seconds() * float64(q.inFlight) / float64(max(q.Limit(), 1))
		q.last = now
	}
	if q.waiting == 0 {
		q.delay.empty(now)
		q.level.stood = false
	}
	q.level.step(now, q.waiting > 0)
}

func (q *Queue) closed() fault.Kind {
	switch {
	case q.leaving:
		return fault.TargetLeaving
	case q.gone || q.limit.announced == 0:
		return fault.NoTarget
	}
	return ""
}

func (q *Queue) allowed(now time.Time) int {
	need := q.suspicion.need(q.working.count)
	if q.judged() && q.working.overdue(now, need, &q.worked) {
		q.suspicion.raise()
	}
	if q.suspicion.active() {
		return min(q.Limit(), suspectLimit)
	}
	return q.Limit()
}

// judged reports whether the time for which a request runs says something about
// the target itself: not where it makes calls that nobody told the Queue of.
func (q *Queue) judged() bool {
	return q.own.slow >= judgedShare*q.worked.slow
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

// enqueue lets t wait, and displaces the least important where the queue is
// full.
func (q *Queue) enqueue(now time.Time, t *Ticket) {
	c := &q.classes[t.Importance-version.Critical]
	service := q.held.mean()
	wait := q.delay.bound(now, service) * waitFactor[t.Importance-version.Critical]
	t.Bound = now.Add(wait)
	if last := t.Deadline.Add(-service); last.Before(t.Bound) {
		t.Bound = last
	}
	if now.Add(q.expectedWait(c, t)).After(t.Deadline.Add(-service)) {
		q.refuse(t, q.full())
		return
	}
	c.push(t)
	q.waiting++
	if q.waiting > q.room() {
		q.displace()
	}
}

// expectedWait is the time until t would be served, by the tickets that go
// before it and the usual time of a slot.
func (q *Queue) expectedWait(c *class, t *Ticket) time.Duration {
	ahead := c.ahead(t)
	for i := range t.Importance - version.Critical {
		ahead += q.classes[i].waiting
	}
	return q.held.mean() * time.Duration(ahead) / time.Duration(max(q.Limit(), 1))
}

func (q *Queue) room() int {
	if q.cold.active {
		return coldWaiting * q.cold.limit
	}
	return max(waitingPerSlot*q.limit.current(), minWaiting)
}

// full is the kind of a refusal for want of room.
func (q *Queue) full() fault.Kind {
	if q.cold.active {
		return fault.TargetCold
	}
	return fault.Overloaded
}

func (q *Queue) displace() {
	for i := len(q.classes) - 1; i >= 0; i-- {
		if q.classes[i].waiting == 0 {
			continue
		}
		t := q.classes[i].displace()
		q.waiting--
		q.refuse(t, q.full())
		q.settled(t)
		return
	}
}

// dispatch starts waiting tickets while the limits allow it.
func (q *Queue) dispatch(now time.Time) {
	for q.waiting > 0 && q.inFlight < q.allowed(now) {
		t := q.take()
		if !now.Before(t.Bound) {
			q.refuse(t, q.full())
			q.settled(t)
			continue
		}
		q.start(now, t)
		q.settled(t)
	}
	if q.waiting == 0 {
		q.delay.empty(now)
		q.level.stood = false
	}
}

// take returns the next ticket, most important first.
func (q *Queue) take() *Ticket {
	for i := range q.classes {
		if q.classes[i].waiting > 0 {
			q.waiting--
			return q.classes[i].serve()
		}
	}
	return nil
}

func (q *Queue) giveUp(now time.Time, t *Ticket, kind fault.Kind) bool {
	if t.Phase != Waiting {
		return false
	}
	q.advance(now)
	if !q.classes[t.Importance-version.Critical].remove(t) {
		return false
	}
	q.waiting--
	q.refuse(t, kind)
	return true
}

func (q *Queue) refuse(t *Ticket, kind fault.Kind) {
	t.Phase, t.Kind = Refused, kind
	if kind == fault.Overloaded || kind == fault.TargetCold {
		q.level.refused++
	}
}
