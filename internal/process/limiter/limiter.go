// Package limiter limits the concurrency at one target, and the request rate where
// the target states a limit: it decides which request runs, which waits and which is
// rejected. It does no I/O and reads no clock.
//
// It is built for sustained overload: for many seconds more requests arrive
// than the target has slots for, with different ranks and latency objectives,
// some of them calls that other targets make for requests that are already
// running. A request that cannot finish within its objective is rejected on
// arrival, so that its caller can still use the time. Calls run before requests
// from clients, because rejecting a call wastes the work already done by its
// callers; within each of the two, waiting requests are ordered by rank.
package limiter

import (
	"time"
)

const (
	// serviceWindow is the number of responses over which the service time is
	// averaged: each response has the weight 1/serviceWindow.
	serviceWindow = 64
	// initialServiceTime is the assumed service time before the first response.
	initialServiceTime = 50 * time.Millisecond
	// maxWaitingPerSlot bounds the number of waiting requests per slot.
	maxWaitingPerSlot = 4
	// minRetryAfter and maxRetryAfter bound the time after which a rejected
	// client is told to retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Request describes a request for a slot.
type Request struct {
	// Rank orders requests by priority: 0 is the highest and is rejected last.
	Rank int
	// Call is true for a request that another target makes.
	Call bool
	// ClientRetry is true for a request that the client sends again after a
	// rejection.
	ClientRetry bool
	// ObjectiveRemaining is how long a response is useful: until the latency
	// objective passes, or until the deadline where no objective remains.
	ObjectiveRemaining time.Duration
}

// Ticket is the handle of a request that was offered.
type Ticket struct {
	request Request
	arrived time.Time
	// Ready is closed once a waiting request may run or is rejected; Rejected
	// tells the two apart.
	Ready    chan struct{}
	Rejected bool
	// RetryAfter is the time after which the client should retry, set if
	// Rejected is.
	RetryAfter time.Duration
	seq        uint64
	// Started is when the request began to run.
	Started time.Time
}

// Decision is the outcome of Offer.
type Decision int

// Possible outcomes of Offer.
const (
	Run Decision = iota
	Wait
	Reject
)

// Limiter holds the running and waiting requests of one target. It is not safe
// for concurrent use: the caller must hold a lock around each call.
type Limiter struct {
	slots       int
	running     int
	waiting     []*Ticket // in dispatch order
	serviceTime time.Duration
	lastSeq     uint64
	rate        rate
}

// New returns a Limiter with the given number of slots, at least 1.
func New(slots int) *Limiter { return &Limiter{slots: max(slots, 1), serviceTime: initialServiceTime} }

// SetSlots changes the number of slots.
func (l *Limiter) SetSlots(n int) { l.slots = max(n, 1) }

// SetRate limits the rate at which requests start, in requests per second. 0 removes
// the limit.
func (l *Limiter) SetRate(now time.Time, perSecond float64) { l.rate.set(now, perSecond) }

// Rate returns the limit set by SetRate, or 0 if there is none.
func (l *Limiter) Rate() float64 { return l.rate.perSecond }

// Concurrency returns the number of requests that can run at once on average: the
// number of slots, or what the rate limit leaves of them. It is at least 1.
func (l *Limiter) Concurrency() float64 {
	n := float64(l.slots)
	if l.rate.limited() {
		n = min(n, l.rate.perSecond*l.serviceTime.Seconds())
	}
	return max(n, 1)
}

// Load returns the numbers of running requests, of waiting requests and of
// slots.
func (l *Limiter) Load() (running, waiting, slots int) { return l.running, len(l.waiting), l.slots }

// ServiceTime returns the average service time.
func (l *Limiter) ServiceTime() time.Duration { return l.serviceTime }

// Offer decides whether a new request runs, waits or is rejected. The caller of
// a waiting request must wait for Ready or call Cancel.
func (l *Limiter) Offer(now time.Time, request Request) (*Ticket, Decision) {
	l.lastSeq++
	t := &Ticket{request: request, arrived: now, Ready: make(chan struct{}), seq: l.lastSeq}
	if l.running < l.slots && len(l.waiting) == 0 && l.rate.take(now) {
		l.start(now, t)
		return t, Run
	}
	at := l.insertionPoint(t)
	if l.tooLate(at, request.ObjectiveRemaining) || len(l.waiting) >= maxWaitingPerSlot*l.slots && at == len(l.waiting) {
		t.Rejected = true
		t.RetryAfter = l.RetryAfter()
		return t, Reject
	}
	l.waiting = append(l.waiting, nil)
	copy(l.waiting[at+1:], l.waiting[at:])
	l.waiting[at] = t
	l.rejectLate(now, at+1)
	return t, Wait
}

// tooLate reports whether a request that waits at index at is not expected to finish
// within remaining, or has to wait too long for the rate limit.
func (l *Limiter) tooLate(at int, remaining time.Duration) bool {
	return l.expectedWait(at)+l.serviceTime > remaining || l.rate.wait(at+1) > maxRateWait
}

// insertionPoint returns the index in the queue at which t would wait.
func (l *Limiter) insertionPoint(t *Ticket) int {
	at := len(l.waiting)
	for at > 0 && runsBefore(t, l.waiting[at-1]) {
		at--
	}
	return at
}

// runsBefore reports whether a is dispatched before b.
func runsBefore(a, b *Ticket) bool {
	if a.request.Call != b.request.Call {
		return a.request.Call
	}
	if a.request.Rank != b.request.Rank {
		return a.request.Rank < b.request.Rank
	}
	if a.request.ClientRetry != b.request.ClientRetry {
		return a.request.ClientRetry
	}
	return a.seq < b.seq
}

// expectedWait returns the expected time in the queue for a request at index
// at.
func (l *Limiter) expectedWait(at int) time.Duration {
	wait := time.Duration(float64(at+1) / float64(l.slots) * float64(l.serviceTime))
	return max(wait, l.rate.wait(at+1))
}

// rejectLate rejects the requests from index from on that can no longer finish
// in time because of an insertion before them, and those beyond the bound of
// the queue.
func (l *Limiter) rejectLate(now time.Time, from int) {
	kept := l.waiting[:from]
	for _, t := range l.waiting[from:] {
		remaining := t.request.ObjectiveRemaining - now.Sub(t.arrived)
		if len(kept) >= maxWaitingPerSlot*l.slots || l.tooLate(len(kept), remaining) {
			l.reject(t)
			continue
		}
		kept = append(kept, t)
	}
	clear(l.waiting[len(kept):])
	l.waiting = kept
}

func (l *Limiter) reject(t *Ticket) {
	t.Rejected = true
	t.RetryAfter = l.RetryAfter()
	close(t.Ready)
}

// RetryAfter returns the expected time until all requests that wait now have
// been dispatched, bounded by minRetryAfter and maxRetryAfter.
func (l *Limiter) RetryAfter() time.Duration {
	return min(max(l.expectedWait(len(l.waiting)), minRetryAfter), maxRetryAfter)
}

func (l *Limiter) start(now time.Time, t *Ticket) {
	l.running++
	t.Started = now
}

// End is what the end of a request shows about the service time.
type End int

const (
	// NoEvidence is the end of a request that the target did not run or that failed.
	// How long that took says nothing about the work that the target can finish.
	NoEvidence End = iota
	// Completed is the end of a request that the target ran.
	Completed
	// Abandoned is the end of a request that still ran when its sender stopped
	// waiting. Its service time is longer than the time that it took.
	Abandoned
)

// Done releases the slot of a running request, which it held for took, and dispatches
// waiting ones.
func (l *Limiter) Done(now time.Time, took time.Duration, end End) {
	l.running--
	if end == Completed || end == Abandoned && took > l.serviceTime {
		l.serviceTime += (took - l.serviceTime) / serviceWindow
	}
	l.Dispatch(now)
}

// Dispatch starts waiting requests while slots are free and the rate limit allows
// it. It rejects those whose objective leaves less than half of the average service
// time.
func (l *Limiter) Dispatch(now time.Time) {
	for l.running < l.slots && len(l.waiting) > 0 {
		t := l.waiting[0]
		late := now.Sub(t.arrived)+l.serviceTime/2 > t.request.ObjectiveRemaining
		if !late && !l.rate.take(now) {
			return
		}
		l.waiting[0] = nil
		l.waiting = l.waiting[1:]
		if late {
			l.reject(t)
			continue
		}
		l.start(now, t)
		close(t.Ready)
	}
}

// NextDispatch returns the time after which Dispatch must be called, because the rate
// limit is all that a waiting request waits for. ok is false if there is none.
func (l *Limiter) NextDispatch() (wait time.Duration, ok bool) {
	if len(l.waiting) == 0 || l.running >= l.slots || !l.rate.limited() {
		return 0, false
	}
	return l.rate.wait(1), true
}

// Cancel removes a request that the caller canceled. It reports whether the
// request was still waiting.
func (l *Limiter) Cancel(t *Ticket) bool {
	for i, other := range l.waiting {
		if other == t {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// RejectAll rejects all waiting requests.
func (l *Limiter) RejectAll() {
	for _, t := range l.waiting {
		l.reject(t)
	}
	l.waiting = nil
}
