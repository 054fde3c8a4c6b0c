package admission

import (
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/hop"
)

// target is the queue of one service's target beside this daemon, under its
// own lock.
type target struct {
	clock func() time.Time

	mu           sync.Mutex
	queue        *Queue
	announcement protocol.Announcement
}

// offer returns the ticket's phase and, where it waits, the channel that is
// closed when it no longer does.
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

// settled wakes the caller of a ticket that no longer waits.
func settled(t *Ticket) {
	if ready, ok := t.Data.(chan struct{}); ok {
		close(ready)
	}
}

// expire refuses t if it still waits, and returns its phase.
func (g *target) expire(t *Ticket) Phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Expire(g.clock(), t)
	return t.Phase
}

// leave takes t back: out of the queue, or its slot if it just got one.
func (g *target) leave(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	if !g.queue.Leave(now, t) {
		g.queue.Done(now, t, Result{Unused: true})
	}
}

func (g *target) announce(now time.Time, a protocol.Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announcement = a
	g.queue.Announce(now, a)
}

func (g *target) gone() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Gone(g.clock())
}

func (g *target) level() hop.Level {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Level(g.clock())
}

// occupancy is the use of one slot. It implements hop.Occupancy.
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

// Calling implements running.Watcher.
func (o *occupancy) Calling(began bool) {
	g := o.target
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Calling(g.clock(), &o.ticket, began)
}

// failed reports whether err speaks against the target.
func failed(err error) bool {
	switch fault.KindOf(err) {
	case fault.ConnectFailed, fault.ConnectionLost, fault.AnswerBroken, fault.DeadlineUnknown:
		return true
	}
	return false
}

// unused reports whether err says nothing about the target, because it was not
// given the request or its caller left.
func unused(err error) bool {
	if err == nil || failed(err) {
		return false
	}
	kind := fault.KindOf(err)
	return kind == fault.CallerGone || fault.AnswerFor(kind).Outcome == fault.NotRun
}
