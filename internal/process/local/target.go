// Package local holds the one target beside this process: what it announces,
// and the strict decisions about what it is given. This process is its only way
// in, so these decisions need no agreement with others.
package local

import (
	"context"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/gate"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
)

const (
	// silentFactor is the number of heartbeat intervals after which a target
	// that says nothing is taken to be gone: heartbeats may be late by seconds.
	silentFactor = 5
	// slotShare is the share of the announced slots that is used: targets slow
	// down when they are nearly full, and health checks take slots too.
	slotShare = 0.95
	// suspectResets is the number of connections in a row that must break before
	// a target is taken to have started again: a faulty one breaks some.
	suspectResets = 5
	// notedLevel is the level from which the log says that requests are shed for
	// the target, and noteGap the least time between two such lines.
	notedLevel = 0.05
	noteGap    = time.Second
	// coldRetry is the advised wait while a target is cold or restarts.
	coldRetry = 300 * time.Millisecond
)

// Options are the parameters of a Target.
type Options struct {
	Service string
	Address string
	// Interval is the time between two heartbeats.
	Interval time.Duration
	// ColdRate returns the requests a second that a cold target bears; 0 means
	// that none is stated.
	ColdRate func() float64
	// InService reports whether operators let the target receive new work.
	InService func() bool
	// Changed is called, without a lock, after the announcement has changed.
	Changed func()
	Now     func() time.Time
	Log     *zap.Logger
}

// Target is the target beside this process. Its methods may be called from any
// goroutine.
type Target struct {
	o Options

	mu        sync.Mutex
	known     bool
	last      Heartbeat
	heard     time.Time
	coldUntil time.Time
	// suspect is set where the target may have started again: it is taken to be
	// cold until it speaks.
	suspect bool
	// resets counts the connections that broke since the last answer.
	resets   int
	gate     *gate.Gate
	cold     gate.Cold
	shedding shedding.Controller
	// sheds is what the log says last about shedding, notedAt when it said so.
	sheds   bool
	notedAt time.Time
}

// New returns a target that has not announced itself.
func New(o Options) *Target {
	return &Target{o: o, gate: gate.New(1)}
}

// Heartbeat takes one heartbeat in. One that is older than the last, or is
// about another target, changes nothing. It returns the reason why it was
// passed over, or nil.
func (t *Target) Heartbeat(h Heartbeat) error {
	if h.Service != t.o.Service && !h.Gone {
		return fault.New(fault.BadRequest, "the target of service %q is not beside this process, which serves %q", h.Service, t.o.Service)
	}
	if h.Address != t.o.Address && !h.Gone {
		return fault.New(fault.BadRequest, "the address %q is not that of the target beside this process, %s", h.Address, t.o.Address)
	}
	changed, err := t.take(h)
	if changed {
		t.o.Changed()
	}
	return err
}

func (t *Target) take(h Heartbeat) (changed bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.o.Now()
	if h.Gone {
		return t.gone(h)
	}
	if t.known && !h.newer(t.last) {
		return false, fault.New(fault.BadRequest, "heartbeat %d of %q is older than %d of %q", h.Sequence, h.ID, t.last.Sequence, t.last.ID)
	}
	before := t.announcement(now)
	fresh := !t.known || !h.sameIncarnation(t.last)
	if !fresh && t.last.Leaving {
		h.Leaving = true
	}
	t.known = true
	t.last = h
	t.heard = now
	t.suspect = false
	t.coldUntil = now.Add(h.ColdFor)
	t.gate.SetSlots(int(float64(h.Slots) * slotShare))
	if h.Leaving {
		t.gate.Flush()
	}
	t.gate.Next(now)
	after := t.announcement(now)
	if fresh || before != after {
		t.o.Log.Info("target", zap.String("id", h.ID), zap.Int64("started", h.Started), zap.Uint64("sequence", h.Sequence),
			zap.String("state", string(after.State)), zap.Int("slots", h.Slots), zap.Duration("cold_for", h.ColdFor))
	}
	return before != after, nil
}

func (t *Target) gone(h Heartbeat) (changed bool, err error) {
	if !t.known || t.last.ID != h.ID || h.Started != 0 && t.last.Started != 0 && h.Started != t.last.Started {
		return false, fault.New(fault.BadRequest, "the target %q that leaves is not the one beside this process", h.ID)
	}
	t.last.Gone = true
	t.last.Leaving = true
	t.gate.Flush()
	t.o.Log.Info("target", zap.String("id", h.ID), zap.String("state", "gone"))
	return true, nil
}

// Announcement returns what the replicas are told; ok is false where there is
// no target to use.
func (t *Target) Announcement() (a protocol.Announcement, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.o.Now()
	if t.check(now) != nil && !t.last.Leaving {
		return protocol.Announcement{}, false
	}
	return t.announcement(now), t.known && !t.last.Gone
}

func (t *Target) announcement(now time.Time) protocol.Announcement {
	a := protocol.Announcement{
		Service: t.o.Service, Address: t.o.Address, Slots: t.last.Slots,
		Incarnation: t.last.ID + "/" + strconv.FormatInt(t.last.Started, 10), State: protocol.Warm,
	}
	switch {
	case t.last.Leaving:
		a.State = protocol.Leaving
	case t.isCold(now):
		a.State = protocol.Cold
	}
	return a
}

// check returns why the target may get no new work, or nil.
func (t *Target) check(now time.Time) error {
	switch {
	case !t.known:
		return fault.New(fault.NoTarget, "no target has announced itself here")
	case t.last.Leaving:
		return fault.New(fault.TargetLeaving, "the target is leaving")
	case now.Sub(t.heard) > silentFactor*t.o.Interval:
		return fault.New(fault.NoTarget, "the target has been silent for %s", now.Sub(t.heard).Round(time.Millisecond))
	case !t.o.InService():
		return fault.New(fault.OutOfService, "the failure domain is out of service")
	}
	return nil
}

// Slot is the right to send one request to the target.
type Slot struct {
	// ID is the target that the request is meant for.
	ID     string
	target *Target
	ticket *gate.Ticket
}

// Admit waits until the request may be sent, as long as that makes sense. The
// duration is the advised wait where the error is a refusal. On success
// Slot.Done must be called once.
func (t *Target) Admit(ctx context.Context, ask gate.Ask) (*Slot, time.Duration, error) {
	ticket, err := t.offer(ask)
	if err != nil {
		return nil, coldRetry, err
	}
	if ticket.Refused {
		return nil, ticket.RetryAfter, t.overloaded()
	}
	select {
	case <-ticket.Ready:
	case <-ctx.Done():
		return nil, 0, t.abandon(ctx, ticket)
	}
	if ticket.Refused {
		return nil, ticket.RetryAfter, t.overloaded()
	}
	return t.dispatch(ctx, ticket)
}

func (t *Target) overloaded() error {
	return fault.New(fault.Overloaded, "the target of service %s has no room in time", t.o.Service)
}

// offer returns a ticket that runs, waits or is refused.
func (t *Target) offer(ask gate.Ask) (*gate.Ticket, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.o.Now()
	if err := t.check(now); err != nil {
		return nil, err
	}
	capacity := t.capacity(now)
	t.shedding.Offered(now, capacity)
	t.noteLevel(now, capacity)
	ticket, verdict := t.gate.Offer(now, ask)
	if verdict == gate.Run {
		close(ticket.Ready)
	}
	return ticket, nil
}

// abandon takes a request out whose caller has gone or whose time is over.
func (t *Target) abandon(ctx context.Context, ticket *gate.Ticket) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.gate.Leave(ticket) && !ticket.Refused {
		t.gate.Done(t.o.Now(), 0, false)
	}
	if ctx.Err() == context.DeadlineExceeded {
		return fault.New(fault.DeadlineNotRun, "the deadline passed before the target was given the request")
	}
	return fault.New(fault.CallerGone, "the caller left")
}

// dispatch checks again what may have changed while the request waited.
func (t *Target) dispatch(ctx context.Context, ticket *gate.Ticket) (*Slot, time.Duration, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.o.Now()
	err := t.check(now)
	after := coldRetry
	if err == nil && ctx.Err() != nil {
		err = fault.New(fault.CallerGone, "the caller left")
	}
	if err == nil {
		rate := t.o.ColdRate()
		if !t.cold.Take(now, t.isCold(now) && rate > 0, rate) {
			err = fault.New(fault.TargetCold, "the target is cold and has had %v requests in the last second", rate)
			after = t.cold.Wait(now)
		}
	}
	if err != nil {
		t.gate.Done(now, 0, false)
		return nil, after, err
	}
	return &Slot{ID: t.last.ID, target: t, ticket: ticket}, 0, nil
}

// Done gives the slot back. err is the error of the connection, or nil.
func (s *Slot) Done(err error) {
	t := s.target
	t.mu.Lock()
	now := t.o.Now()
	t.gate.Done(now, now.Sub(s.ticket.Started), err == nil)
	changed := t.judge(err)
	t.mu.Unlock()
	if changed {
		t.o.Log.Info("target suspected to have started again", zap.String("id", s.ID), zap.Error(err))
	}
}

// judge looks for signs that the target process has started again: nobody
// listens, or every connection breaks. It reports whether the target became
// suspect just now.
func (t *Target) judge(err error) bool {
	before := t.suspect
	switch fault.KindOf(err) {
	case "":
		t.resets = 0
	case fault.ConnectFailed:
		t.suspect = true
	case fault.ConnectionLost:
		t.resets++
		t.suspect = t.suspect || t.resets >= suspectResets
	}
	return t.suspect && !before
}

// Replaced notes that another target answers at the address than the one that
// announced itself.
func (t *Target) Replaced(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && t.last.ID == id {
		t.suspect = true
	}
}

// noteLevel logs that requests begin or cease to be shed for the target.
func (t *Target) noteLevel(now time.Time, capacity shedding.Capacity) {
	level := t.shedding.Level(now)
	sheds := level >= notedLevel
	if sheds == t.sheds || now.Sub(t.notedAt) < noteGap {
		return
	}
	t.sheds, t.notedAt = sheds, now
	text := "requests are no longer shed for the target"
	if sheds {
		text = "requests are shed for the target"
	}
	running, waiting, slots := t.gate.Load()
	t.o.Log.Info(text, zap.String("service", t.o.Service), zap.String("id", t.last.ID), zap.Float64("level", level),
		zap.Float64("capacity_per_second", capacity.PerSecond), zap.Bool("cold", t.isCold(now)), zap.Duration("service_time", t.gate.Service()),
		zap.Int("running", running), zap.Int("waiting", waiting), zap.Int("slots", slots), zap.Duration("heartbeat_age", now.Sub(t.heard)))
}

// capacity is what the target can do now: what its slots allow, or what it bears
// while it is cold.
func (t *Target) capacity(now time.Time) shedding.Capacity {
	_, waiting, slots := t.gate.Load()
	c := shedding.Capacity{PerSecond: float64(slots) / t.gate.Service().Seconds(), Waiting: waiting}
	if rate := t.o.ColdRate(); rate > 0 && t.isCold(now) {
		c.PerSecond = min(c.PerSecond, rate)
	}
	return c
}

func (t *Target) isCold(now time.Time) bool { return now.Before(t.coldUntil) || t.suspect }

// Level returns the level at which requests for the target are shed, and the
// time that one request takes.
func (t *Target) Level() (level float64, cost time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shedding.Level(t.o.Now()), t.gate.Service()
}

// Load returns the requests that run or wait for each slot.
func (t *Target) Load() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	running, waiting, slots := t.gate.Load()
	return float64(running+waiting) / float64(slots)
}
