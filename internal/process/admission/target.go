package admission

import (
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/hop"
)

// target is the queue of one service's local target, with its lock.
type target struct {
	clock func() time.Time

	mu           sync.Mutex
	queue        *Queue
	announcement protocol.Announcement
}

// offer offers t to the queue. It returns the phase of t, for a waiting ticket
// the channel that is closed once it is decided, and the address of the target.
func (g *target) offer(t *Ticket) (Phase, <-chan struct{}, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Offer(g.clock(), t)
	if t.Phase != Waiting {
		return t.Phase, nil, g.announcement.Address
	}
	ready := make(chan struct{})
	t.Data = ready
	return t.Phase, ready, g.announcement.Address
}

// wakeCaller wakes the caller of a ticket that no longer waits.
func wakeCaller(t *Ticket) {
	if ready, ok := t.Data.(chan struct{}); ok {
		close(ready)
	}
}

// expire rejects t if it still waits, and returns its phase.
func (g *target) expire(t *Ticket) Phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Expire(g.clock(), t)
	return t.Phase
}

// cancel removes t from the queue, or releases its slot if it has just got one.
func (g *target) cancel(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	if !g.queue.Cancel(now, t) {
		g.queue.Done(now, t, Result{Unused: true})
	}
}

func (g *target) announce(now time.Time, a protocol.Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announcement = a
	g.queue.Announce(now, a)
}

func (g *target) markGone() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.MarkGone(g.clock())
}

func (g *target) level() hop.Level {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Level(g.clock())
}

// occupancy is one request's use of a slot. It implements hop.Occupancy.
type occupancy struct {
	ticket Ticket
	target *target
}

// Done implements hop.Occupancy.
func (o *occupancy) Done(took time.Duration, err error, reset bool) {
	r := Result{Took: took, Failed: failed(err), Reset: reset, Unused: unused(err)}
	g := o.target
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Done(g.clock(), &o.ticket, r)
}

// OutgoingCall implements inflight.CallObserver.
func (o *occupancy) OutgoingCall(began bool) {
	g := o.target
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.OutgoingCall(g.clock(), &o.ticket, began)
}

// failed reports whether err counts as a failure of the target.
func failed(err error) bool {
	switch fault.KindOf(err) {
	case fault.ConnectFailed, fault.ConnectionLost, fault.AnswerBroken, fault.DeadlineUnknown:
		return true
	}
	return false
}

// unused reports whether err is no evidence about the target, because the
// target did not get the request or the caller has gone.
func unused(err error) bool {
	if err == nil || failed(err) {
		return false
	}
	kind := fault.KindOf(err)
	return kind == fault.CallerGone || fault.ResponseFor(kind).Outcome == fault.NotRun
}
