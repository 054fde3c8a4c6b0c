// Package local tracks the local target, which is the one target of this
// daemon, and decides which requests it gets. All requests to the target go
// through this daemon, so these decisions need no coordination with other
// daemons.
package local

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/limiter"
	"github.com/teaselrack/teaselrack/internal/process/quarantine"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
)

const (
	// maxSilentIntervals is the number of heartbeat intervals without a
	// heartbeat after which a target is considered gone. Heartbeats may be late
	// by seconds.
	maxSilentIntervals = 5
	// usableSlotShare is the share of the announced slots that is used. Targets
	// slow down when they are nearly full, and health checks take slots too.
	usableSlotShare = 0.95
	// suspectAfterResets is the number of consecutive connections that must
	// break before a target is suspected to have restarted. A faulty target
	// breaks some connections without a restart.
	suspectAfterResets = 5
	// minLoggedLevel is the shedding level from which the log reports that
	// requests for the target are shed. minLogInterval is the minimum time
	// between two such lines.
	minLoggedLevel = 0.05
	minLogInterval = time.Second
	// coldRetryAfter is the retry-after time while a target is cold or
	// restarts.
	coldRetryAfter = 300 * time.Millisecond
)

// Options are the parameters of a Target.
type Options struct {
	Service string
	Address string
	// Interval is the heartbeat interval.
	Interval time.Duration
	// ColdRate returns the number of requests per second that a cold target can
	// serve, or 0 if the service states no limit.
	ColdRate func() float64
	// Permitted returns nil if the configuration allows the target to get new
	// requests. Errors: OutOfService; LeaseExpired while no configuration is known,
	// since neither the cold rate nor the failure domains in service are known then.
	Permitted func() error
	// Crashed, if set, is called, without a lock held, with the requests that an
	// incarnation of the target was running when it crashed.
	Crashed func(incarnation string, suspects []quarantine.Fingerprint)
	// Reach, if set, opens a connection to the target. Errors: ConnectFailed.
	Reach func(ctx context.Context) error
	// Changed is called, without a lock held, after the announcement has
	// changed, or a departure is to be reported.
	Changed func()
	Now     func() time.Time
	Log     *zap.Logger
}

// Target is the local target. It is safe for concurrent use.
type Target struct {
	options Options

	mu            sync.Mutex
	announced     bool
	lastHeartbeat Heartbeat
	departures    departures
	// departureRecorded is closed, and replaced, when the replicas have recorded departures.
	departureRecorded chan struct{}
	heartbeatAt       time.Time
	// disbelieved holds the heartbeats that were not believed since heartbeatAt.
	disbelieved disbelieved
	coldUntil   time.Time
	// restartSuspected is true if the target may have restarted. It is then
	// treated as cold until the next heartbeat.
	restartSuspected bool
	// resets is the number of connections that broke since the last response.
	resets      int
	limiter     *limiter.Limiter
	coldLimiter limiter.ColdLimiter
	// dispatchScheduled is true while a timer will dispatch waiting requests.
	dispatchScheduled bool
	shedding          shedding.Controller
	// loggedShedding is the shedding state that was last logged, loggedAt the
	// time of that log line.
	loggedShedding bool
	loggedAt       time.Time
	// stated is what the target says about itself in its responses.
	stated protocol.LatestStatement
	// crashes determines what the target was running when it crashed.
	crashes quarantine.Detector
	// reachedAt is when the target was last reached for; see checkReachable.
	reachedAt time.Time
	// responded is true once this incarnation of the target has responded to a request.
	responded bool
	// excessLoggedAt is when the log last reported requests beyond the stated limit.
	excessLoggedAt time.Time
}

// New returns a Target that has not sent a heartbeat.
func New(o Options) *Target {
	return &Target{options: o, limiter: limiter.New(1), departureRecorded: make(chan struct{})}
}

// Heartbeat processes one heartbeat of the target. A heartbeat that is older
// than the last one, that is implausible, or that belongs to another target, is
// ignored; see believe. Errors: BadRequest with the reason why the heartbeat was
// ignored.
func (t *Target) Heartbeat(h Heartbeat) error {
	if h.Service != t.options.Service && !h.Gone {
		return fault.New(fault.BadRequest, "heartbeat of a target of service %q, but the local target serves %q", h.Service, t.options.Service)
	}
	if h.Address != t.options.Address && !h.Gone {
		return fault.New(fault.BadRequest, "heartbeat with address %q, but the local target has address %s", h.Address, t.options.Address)
	}
	changed, previous, err := t.update(h)
	if changed {
		t.options.Changed()
	}
	t.reportCrash(previous)
	return err
}

// update returns the crash of the previous incarnation, if the heartbeat is the first of
// another one.
func (t *Target) update(h Heartbeat) (changed bool, previous crash, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	if h.Gone {
		changed, err = t.exit(now, h)
		return changed, previous, err
	}
	leaving, gone := t.departures.find(now, h)
	if gone && h.Leaving {
		return t.departures.add(now, departure{id: h.ID, started: h.Started}), previous, nil
	}
	if gone {
		return false, previous, fault.New(fault.BadRequest, "heartbeat %d of %q is from before the exit that the target has announced", h.Sequence, h.ID)
	}
	if err := t.believe(now, h); err != nil {
		changed, err = t.ignore(now, h, err)
		return changed, previous, err
	}
	changed, previous = t.accept(now, h, leaving)
	return changed, previous, nil
}

// exit records that the target has announced its exit.
func (t *Target) exit(now time.Time, h Heartbeat) (changed bool, err error) {
	added := t.departures.add(now, departure{id: h.ID, started: t.startOf(h), gone: true})
	changed, err = t.markGone(h)
	return changed || added, err
}

// ignore returns reason, why h is not believed, unless h says that the known incarnation
// leaves: one that leaves never returns, whatever arrived first.
func (t *Target) ignore(now time.Time, h Heartbeat, reason error) (changed bool, err error) {
	if !h.Leaving || !t.announced || !h.sameIncarnation(t.lastHeartbeat) || h.newer(t.lastHeartbeat) {
		return false, reason
	}
	added := t.departures.add(now, departure{id: h.ID, started: h.Started})
	return t.markLeaving() || added, nil
}

// accept makes h the last heartbeat. leaving says whether the target is known to leave.
func (t *Target) accept(now time.Time, h Heartbeat, leaving bool) (changed bool, previous crash) {
	before := t.announcement(now)
	newIncarnation := !t.announced || !h.sameIncarnation(t.lastHeartbeat)
	if newIncarnation {
		previous = t.crashed(now)
		t.crashes.Restarted()
		t.responded = false
		t.forgetStatement(now)
	}
	added := h.Leaving && t.departures.add(now, departure{id: h.ID, started: h.Started})
	// Without a start time, only the sequence shows a restart; see believe.
	restarted := h.Started == 0 && h.Sequence <= t.lastHeartbeat.Sequence
	h.Leaving = h.Leaving || leaving || !newIncarnation && !restarted && t.lastHeartbeat.Leaving
	t.announced = true
	t.lastHeartbeat = h
	t.heartbeatAt = now
	t.restartSuspected = false
	t.coldUntil = now.Add(h.ColdFor)
	t.limiter.SetSlots(int(float64(h.Slots) * usableSlotShare))
	if h.Leaving {
		t.limiter.RejectAll()
	}
	t.dispatchWaiting(now)
	after := t.announcement(now)
	if newIncarnation || before != after {
		t.options.Log.Info("target state changed", zap.String("id", h.ID), zap.Int64("started", h.Started), zap.Uint64("sequence", h.Sequence),
			zap.String("state", string(after.State)), zap.Int("slots", h.Slots), zap.Duration("cold_for", h.ColdFor))
	}
	return before != after || added, previous
}

// Announcement returns the announcement to send to the control replicas. ok is
// false if there is no usable target.
func (t *Target) Announcement() (a protocol.Announcement, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	err := t.check(now)
	usable := err == nil || t.lastHeartbeat.Leaving || fault.Is(err, fault.LeaseExpired)
	if !usable {
		return protocol.Announcement{}, false
	}
	return t.announcement(now), t.announced && !t.lastHeartbeat.Gone
}

func (t *Target) announcement(now time.Time) protocol.Announcement {
	a := protocol.Announcement{
		Service: t.options.Service, Address: t.options.Address, Slots: t.lastHeartbeat.Slots,
		Incarnation: t.lastHeartbeat.incarnation(), State: protocol.Warm,
	}
	switch {
	case t.lastHeartbeat.Leaving:
		a.State = protocol.Leaving
	case t.isCold(now):
		a.State = protocol.Cold
	}
	return a
}

// check returns the reason why the target may not get new requests, or nil.
func (t *Target) check(now time.Time) error {
	switch {
	case !t.announced:
		return fault.New(fault.NoTarget, "the local target has sent no heartbeat yet")
	case t.lastHeartbeat.Leaving:
		return fault.New(fault.TargetLeaving, "the target is leaving")
	case now.Sub(t.heartbeatAt) > maxSilentIntervals*t.options.Interval:
		return fault.New(fault.NoTarget, "no heartbeat of the target for %s", now.Sub(t.heartbeatAt).Round(time.Millisecond))
	}
	return t.options.Permitted()
}

// Slot is the permission to send one request to the target.
type Slot struct {
	// ID is the ID of the target that the request is meant for.
	ID     string
	target *Target
	ticket *limiter.Ticket
	// Content identifies the request; set it before Done.
	Content quarantine.Fingerprint
	// Ran is true if the target ran the request without failing; set it before Done.
	// Only the time that such requests take is a service time.
	Ran bool
	// Answered is true if the target ran the request to the end, also if it failed it;
	// set it before Done.
	Answered bool
	// heartbeat is the last one of the target when the request was admitted.
	heartbeat Heartbeat
}

// Admit waits until the request may be sent, for as long as it can still finish
// in time. If it returns an error, the duration is the retry-after time, or 0 if
// there is none. On success the caller must call Slot.Done once. Errors: NoTarget,
// TargetLeaving, TargetCold, OutOfService, LeaseExpired, Overloaded, ShuttingDown,
// DeadlineNotRun, CallerGone.
func (t *Target) Admit(ctx context.Context, request limiter.Request) (*Slot, time.Duration, error) {
	ticket, decision, err := t.enqueue(request)
	if err != nil {
		return nil, coldRetryAfter, err
	}
	if decision == limiter.Reject {
		return nil, ticket.RetryAfter, t.overloaded()
	}
	select {
	case <-ticket.Ready:
	case <-ctx.Done():
		return nil, 0, t.cancel(ctx, ticket)
	}
	if ticket.Rejected {
		return nil, ticket.RetryAfter, t.overloaded()
	}
	return t.dispatch(ctx, ticket)
}

func (t *Target) overloaded() error {
	return fault.New(fault.Overloaded, "no slot of the target of service %s becomes free in time", t.options.Service)
}

// enqueue returns a ticket that is admitted, queued or rejected. Fields of a queued
// ticket may be read once it is ready. The error is the one of check.
func (t *Target) enqueue(request limiter.Request) (*limiter.Ticket, limiter.Decision, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	if err := t.check(now); err != nil {
		return nil, limiter.Reject, err
	}
	capacity := t.capacity(now)
	t.shedding.Offered(now, capacity)
	t.logShedding(now, capacity)
	ticket, decision := t.limiter.Offer(now, request)
	if decision == limiter.Run {
		close(ticket.Ready)
	}
	t.scheduleDispatch()
	return ticket, decision, nil
}

// dispatchWaiting starts waiting requests.
func (t *Target) dispatchWaiting(now time.Time) {
	t.limiter.Dispatch(now)
	t.scheduleDispatch()
}

// scheduleDispatch starts a timer that dispatches the next waiting request once the
// rate limit allows it.
func (t *Target) scheduleDispatch() {
	wait, ok := t.limiter.NextDispatch()
	if !ok || t.dispatchScheduled {
		return
	}
	t.dispatchScheduled = true
	time.AfterFunc(wait, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.dispatchScheduled = false
		t.dispatchWaiting(t.options.Now())
	})
}

// release frees the slot of a running request and starts waiting ones. See
// limiter.Limiter.Done.
func (t *Target) release(now time.Time, took time.Duration, end limiter.End) {
	t.limiter.Done(now, took, end)
	t.scheduleDispatch()
}

// cancel removes a request that the caller canceled or whose deadline has
// passed. If the request has been admitted meanwhile, its slot is released. Errors: see
// fault.OfContext.
func (t *Target) cancel(ctx context.Context, ticket *limiter.Ticket) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.limiter.Cancel(ticket) && !ticket.Rejected {
		t.release(t.options.Now(), 0, limiter.NoEvidence)
	}
	return fault.OfContext(ctx, nil, false)
}

// dispatch repeats the checks whose result may have changed while the request
// was queued, and enforces the cold rate.
func (t *Target) dispatch(ctx context.Context, ticket *limiter.Ticket) (*Slot, time.Duration, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	err := t.check(now)
	retryAfter := coldRetryAfter
	if err == nil && ctx.Err() != nil {
		err = fault.OfContext(ctx, nil, false)
	}
	if err == nil {
		rate := t.options.ColdRate()
		if !t.coldLimiter.Allow(now, t.isCold(now) && rate > 0, rate) {
			err = fault.New(fault.TargetCold, "the target is cold and has reached its limit of %v requests per second", rate)
			retryAfter = max(t.coldLimiter.RetryAfter(now), t.warmIn(now))
		}
	}
	if err != nil {
		t.release(now, 0, limiter.NoEvidence)
		return nil, retryAfter, err
	}
	return &Slot{ID: t.lastHeartbeat.ID, target: t, ticket: ticket, heartbeat: t.lastHeartbeat}, 0, nil
}

// Done releases the slot. err is the error of the connection, or nil.
func (s *Slot) Done(err error) {
	t := s.target
	t.mu.Lock()
	now := t.options.Now()
	t.release(now, now.Sub(s.ticket.Started), s.end(err))
	changed := t.detectRestart(err)
	detected := t.detectCrash(now, s, err)
	check := t.mayHaveCrashed(now, s, err)
	t.mu.Unlock()
	t.reportCrash(detected)
	if check {
		go t.checkReachable(s.heartbeat)
	}
	if changed {
		t.options.Log.Info("target is suspected to have restarted", zap.String("id", s.ID), zap.Error(err))
	}
}

// end returns what the end of the request shows about the service time of the target.
func (s *Slot) end(err error) limiter.End {
	switch {
	case err == nil && s.Ran:
		return limiter.Completed
	case fault.Is(err, fault.DeadlineUnknown) || fault.Is(err, fault.CallerGone) || fault.Is(err, fault.Interrupted):
		return limiter.Abandoned
	}
	return limiter.NoEvidence
}

// detectRestart looks for signs that the target process has restarted: a
// connection cannot be opened, or several in a row break. It reports whether this
// call is the first to suspect a restart.
func (t *Target) detectRestart(err error) bool {
	before := t.restartSuspected
	switch fault.KindOf(err) {
	case "":
		t.resets = 0
	case fault.ConnectFailed:
		t.restartSuspected = true
	case fault.ConnectionLost:
		t.resets++
		t.restartSuspected = t.restartSuspected || t.resets >= suspectAfterResets
	}
	return t.restartSuspected && !before
}

// ReportReplaced records that the target with this ID no longer responds at its
// address, but another one does. The local target is then suspected to have
// restarted.
func (t *Target) ReportReplaced(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announced && t.lastHeartbeat.ID == id {
		t.restartSuspected = true
	}
}

// logShedding logs that shedding of requests for the target has begun or ended.
func (t *Target) logShedding(now time.Time, capacity shedding.Capacity) {
	level := t.shedding.Level(now)
	active := level >= minLoggedLevel
	if active == t.loggedShedding || now.Sub(t.loggedAt) < minLogInterval {
		return
	}
	t.loggedShedding, t.loggedAt = active, now
	message := "requests are no longer shed for the target"
	if active {
		message = "requests are shed for the target"
	}
	running, waiting, slots := t.limiter.Load()
	t.options.Log.Info(message, zap.String("service", t.options.Service), zap.String("id", t.lastHeartbeat.ID), zap.Float64("level", level),
		zap.Float64("capacity_per_second", capacity.PerSecond), zap.Bool("cold", t.isCold(now)), zap.Duration("service_time", t.limiter.ServiceTime()),
		zap.Int("running", running), zap.Int("waiting", waiting), zap.Int("slots", slots), zap.Duration("heartbeat_age", now.Sub(t.heartbeatAt)))
}

// capacity returns the current throughput limit of the target: the limit given
// by its slots, or the cold rate if that is lower while the target is cold. A stated
// limit is left out: it is that of one target, and entries shed requests for all
// targets of a service. It counts as load instead, which moves requests to others.
func (t *Target) capacity(now time.Time) shedding.Capacity {
	_, waiting, slots := t.limiter.Load()
	c := shedding.Capacity{PerSecond: float64(slots) / t.limiter.ServiceTime().Seconds(), Waiting: waiting}
	if rate := t.options.ColdRate(); rate > 0 && rate < c.PerSecond && t.isCold(now) {
		c.PerSecond = rate
		c.ColdFor = t.warmIn(now)
	}
	return c
}

// warmIn returns the time until a cold target is warm, or 0 if that is unknown.
func (t *Target) warmIn(now time.Time) time.Duration {
	if t.restartSuspected {
		return 0
	}
	return max(t.coldUntil.Sub(now), 0)
}

func (t *Target) isCold(now time.Time) bool { return now.Before(t.coldUntil) || t.restartSuspected }

// Bottleneck returns the shedding level of the target, and the average service time of a
// request as its cost.
func (t *Target) Bottleneck() shedding.Bottleneck {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	capacity := t.capacity(now)
	t.shedding.Observe(now, capacity)
	return shedding.Bottleneck{
		Service: t.options.Service, Level: t.shedding.Level(now), Cost: t.limiter.ServiceTime(), EndsIn: capacity.ColdFor,
	}
}

// Load returns the number of running and queued requests per request that the target
// can run at once.
func (t *Target) Load() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	running, waiting, _ := t.limiter.Load()
	return float64(running+waiting) / t.limiter.Concurrency()
}
