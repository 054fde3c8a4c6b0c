package admission

import (
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/hop"
)

// target holds the queue of one service's local target, and the lock of the
// queue.
type target struct {
	clock func() time.Time

	mu           sync.Mutex
	queue        *Queue
	announcement protocol.Announcement
}

// offer offers t to the queue. It returns the phase of t, for a waiting ticket
// the channel that is closed once it is decided, and the address of the target.
func (tgt *target) offer(t *Ticket) (Phase, <-chan struct{}, string) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.queue.Offer(tgt.clock(), t)
	if t.Phase != Waiting {
		return t.Phase, nil, tgt.announcement.Address
	}
	ready := make(chan struct{})
	t.Data = ready
	return t.Phase, ready, tgt.announcement.Address
}

// wakeCaller wakes the caller of a ticket that no longer waits.
func wakeCaller(t *Ticket) {
	if ready, ok := t.Data.(chan struct{}); ok {
		close(ready)
	}
}

// expire rejects t if it still waits, and returns its phase.
func (tgt *target) expire(t *Ticket) Phase {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.queue.Expire(tgt.clock(), t)
	return t.Phase
}

// cancel removes t from the queue, or releases its slot if it has just got one.
func (tgt *target) cancel(t *Ticket) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	now := tgt.clock()
	if !tgt.queue.Cancel(now, t) {
		tgt.queue.Done(now, t, Result{Unused: true})
	}
}

func (tgt *target) announce(now time.Time, a protocol.Announcement) {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.announcement = a
	tgt.queue.Announce(now, a)
}

func (tgt *target) markGone() {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.queue.MarkGone(tgt.clock())
}

func (tgt *target) level() hop.Level {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	return tgt.queue.Level(tgt.clock())
}

// occupancy is one request's use of a slot. It implements hop.Occupancy.
type occupancy struct {
	ticket Ticket
	target *target
}

// Done implements hop.Occupancy.
func (o *occupancy) Done(took time.Duration, err error, reset bool) {
	r := Result{Took: took, Failed: failed(err), Reset: reset, Unused: unused(err)}
	tgt := o.target
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.queue.Done(tgt.clock(), &o.ticket, r)
}

// OutgoingCall implements inflight.CallObserver.
func (o *occupancy) OutgoingCall(began bool) {
	tgt := o.target
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.queue.OutgoingCall(tgt.clock(), &o.ticket, began)
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
// target did not get the request or the caller canceled it.
func unused(err error) bool {
	if err == nil || failed(err) {
		return false
	}
	kind := fault.KindOf(err)
	return kind == fault.CallerGone || fault.ResponseFor(kind).Outcome == fault.NotRun
}
