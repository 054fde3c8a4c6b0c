// Package gate decides beside a target which request runs, which waits and
// which is turned away. It does no I/O and reads no clock.
//
// Load pattern: more requests than the target has room for, for many seconds,
// of different rank and with different objectives, some of them calls that
// other targets make for requests that run already. A request that cannot
// finish within its objective is turned away when it arrives, since its caller
// can use the time; what waits is ordered by rank, then calls before requests
// from callers, because a refused call wastes the work above it.
package gate

import (
	"time"
)

const (
	// serviceWindow is the number of answers over which the service time is
	// averaged.
	serviceWindow = 64
	// firstService is taken for the service time before any answer came.
	firstService = 50 * time.Millisecond
	// queueFactor bounds the waiting requests to a multiple of the slots.
	queueFactor = 4
	// minRetry and maxRetry bound the advised wait before a retry.
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
)

// Ask is one request that wants to run.
type Ask struct {
	// Rank orders requests; 0 is turned away last.
	Rank int
	// Call is true for a call that another target makes.
	Call bool
	// Returned is true for a caller that was turned away before.
	Returned bool
	// Useful is how long an answer is of use: until the objective passes, or
	// until the caller leaves where no objective is left.
	Useful time.Duration
}

// Ticket is a request that was let in.
type Ticket struct {
	ask     Ask
	arrived time.Time
	// Ready is closed once the request may run; Refused says then whether it was
	// turned away instead.
	Ready   chan struct{}
	Refused bool
	// RetryAfter is the advised wait where Refused is set.
	RetryAfter time.Duration
	order      uint64
	// Started is when the request began to run.
	Started time.Time
}

// Verdict is the answer to an Ask.
type Verdict int

// Verdicts.
const (
	Run Verdict = iota
	Wait
	Refuse
)

// Gate is the state of one target. Its user holds a lock around each call.
type Gate struct {
	slots   int
	running int
	waiting []*Ticket // in the order in which they run
	service time.Duration
	order   uint64
}

// New returns the gate of a target with this number of slots.
func New(slots int) *Gate { return &Gate{slots: max(slots, 1), service: firstService} }

// SetSlots changes the number of slots.
func (g *Gate) SetSlots(n int) { g.slots = max(n, 1) }

// Load returns the requests that run, those that wait, and the slots.
func (g *Gate) Load() (running, waiting, slots int) { return g.running, len(g.waiting), g.slots }

// Service returns the average service time.
func (g *Gate) Service() time.Duration { return g.service }

// Offer decides about a request that arrives.
func (g *Gate) Offer(now time.Time, ask Ask) (*Ticket, Verdict) {
	g.order++
	t := &Ticket{ask: ask, arrived: now, Ready: make(chan struct{}), order: g.order}
	if g.running < g.slots && len(g.waiting) == 0 {
		g.start(now, t)
		return t, Run
	}
	at := g.place(t)
	if g.expected(at)+g.service > ask.Useful || len(g.waiting) >= queueFactor*g.slots && at == len(g.waiting) {
		t.Refused = true
		t.RetryAfter = g.RetryAfter()
		return t, Refuse
	}
	g.waiting = append(g.waiting, nil)
	copy(g.waiting[at+1:], g.waiting[at:])
	g.waiting[at] = t
	g.turnAway(now, at+1)
	return t, Wait
}

// place returns where a request would wait.
func (g *Gate) place(t *Ticket) int {
	at := len(g.waiting)
	for at > 0 && before(t, g.waiting[at-1]) {
		at--
	}
	return at
}

// before reports whether a runs before b.
func before(a, b *Ticket) bool {
	if a.ask.Call != b.ask.Call {
		return a.ask.Call
	}
	if a.ask.Rank != b.ask.Rank {
		return a.ask.Rank < b.ask.Rank
	}
	if a.ask.Returned != b.ask.Returned {
		return a.ask.Returned
	}
	return a.order < b.order
}

// expected is the wait of the request at a place of the queue.
func (g *Gate) expected(at int) time.Duration {
	return time.Duration(float64(at+1) / float64(g.slots) * float64(g.service))
}

// turnAway refuses the requests from a place on that can no longer finish in
// time because others went before them, and those beyond the bound of the
// queue.
func (g *Gate) turnAway(now time.Time, from int) {
	kept := g.waiting[:from]
	for _, t := range g.waiting[from:] {
		left := t.ask.Useful - now.Sub(t.arrived)
		if len(kept) >= queueFactor*g.slots || g.expected(len(kept))+g.service > left {
			g.refuse(t)
			continue
		}
		kept = append(kept, t)
	}
	clear(g.waiting[len(kept):])
	g.waiting = kept
}

func (g *Gate) refuse(t *Ticket) {
	t.Refused = true
	t.RetryAfter = g.RetryAfter()
	close(t.Ready)
}

// RetryAfter is the time after which what waits now has run.
func (g *Gate) RetryAfter() time.Duration {
	return min(max(g.expected(len(g.waiting)), minRetry), maxRetry)
}

func (g *Gate) start(now time.Time, t *Ticket) {
	g.running++
	t.Started = now
}

// Done gives the place of a request that ran back. answered says that took is
// the service time of a whole answer.
func (g *Gate) Done(now time.Time, took time.Duration, answered bool) {
	g.running--
	if answered {
		g.service += (took - g.service) / serviceWindow
	}
	g.Next(now)
}

// Next lets waiting requests run while there is room. One whose time is over is
// refused.
func (g *Gate) Next(now time.Time) {
	for g.running < g.slots && len(g.waiting) > 0 {
		t := g.waiting[0]
		g.waiting[0] = nil
		g.waiting = g.waiting[1:]
		if now.Sub(t.arrived)+g.service/2 > t.ask.Useful {
			g.refuse(t)
			continue
		}
		g.start(now, t)
		close(t.Ready)
	}
}

// Leave takes out a request whose caller has gone. It reports whether the
// request was still waiting.
func (g *Gate) Leave(t *Ticket) bool {
	for i, other := range g.waiting {
		if other == t {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Flush refuses everything that waits.
func (g *Gate) Flush() {
	for _, t := range g.waiting {
		g.refuse(t)
	}
	g.waiting = nil
}
