package admission

import (
	"context"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/hop"
	"github.com/teaselrack/teaselrack/internal/version"
)

// Controller admits requests to the local targets of this daemon. It implements
// hop.Admission and is safe for concurrent use.
type Controller struct {
	options Options

	mu      sync.RWMutex
	targets map[string]*target
}

// New returns a Controller without targets.
func New(o Options) *Controller {
	return &Controller{options: o.withDefaults(), targets: make(map[string]*target)}
}

// Announce processes an announcement of a local target.
func (c *Controller) Announce(now time.Time, a protocol.Announcement) {
	c.ensure(now, a.Service).announce(now, a)
}

// Expire marks the target of a service as gone after it stopped announcing
// itself.
func (c *Controller) Expire(service string) {
	if tgt := c.find(service); tgt != nil {
		tgt.markGone()
	}
}

// Connections returns the number of connections that the target of service
// accepts, or 0 if none is known.
func (c *Controller) Connections(service string) int {
	tgt := c.find(service)
	if tgt == nil {
		return 0
	}
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	return max(tgt.announcement.Connections, 0)
}

// Level returns the level in effect for the target of service. If none is
// known, it is the level that sheds nothing.
func (c *Controller) Level(service string) hop.Level {
	tgt := c.find(service)
	if tgt == nil {
		return hop.Level{Importance: version.Low, Cohort: envelope.CohortCount}
	}
	return tgt.level()
}

// Admit waits for a slot at the target of e.Service. A rejection has one of the
// kinds fault.NoTarget, fault.TargetLeaving, fault.TargetCold,
// fault.Overloaded, fault.DeadlineNotRun and fault.CallerGone.
func (c *Controller) Admit(ctx context.Context, e *envelope.Envelope) (hop.Slot, error) {
	tgt := c.find(e.Service)
	if tgt == nil {
		return hop.Slot{}, fault.New(fault.NoTarget, "no local target of service %s", e.Service)
	}
	o := c.occupancy(ctx, e, tgt)
	t := &o.ticket
	phase, ready, address := tgt.offer(t)
	if phase == Waiting {
		phase = c.wait(ctx, tgt, t, ready)
	}
	if phase == Running {
		return hop.Slot{Address: address, Occupancy: o}, nil
	}
	return hop.Slot{}, rejection(e.Service, t.Kind)
}

func (c *Controller) occupancy(ctx context.Context, e *envelope.Envelope, tgt *target) *occupancy {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = c.options.Clock().Add(e.Remaining)
	}
	return &occupancy{target: tgt, ticket: Ticket{
		Team:       e.Team,
		Weight:     c.options.Weight(e.Team),
		Importance: validImportance(e.Importance),
		Deadline:   deadline,
	}}
}

// validImportance maps an unknown importance to the lowest one.
func validImportance(i version.Importance) version.Importance {
	if !i.Valid() {
		return version.Low
	}
	return i
}

// wait blocks until t no longer waits and returns its phase.
func (c *Controller) wait(ctx context.Context, tgt *target, t *Ticket, ready <-chan struct{}) Phase {
	timer := time.NewTimer(t.WaitDeadline.Sub(c.options.Clock()))
	defer timer.Stop()
	select {
	case <-ready:
		return t.Phase
	case <-timer.C:
		return tgt.expire(t)
	case <-ctx.Done():
		tgt.cancel(t)
		t.Kind = cancelKind(ctx)
		return Rejected
	}
}

// cancelKind returns the rejection kind for a wait that ended because ctx did.
func cancelKind(ctx context.Context) fault.Kind {
	return fault.KindOf(fault.OfContext(ctx, nil, false))
}

func rejection(service string, kind fault.Kind) error {
	switch kind {
	case fault.DeadlineNotRun:
		return fault.New(kind, "the deadline does not leave enough time for service %s", service)
	case fault.TargetCold:
		return fault.New(kind, "the target of service %s is in cold start", service)
	case fault.TargetLeaving:
		return fault.New(kind, "the target of service %s is leaving", service)
	case fault.NoTarget:
		return fault.New(kind, "the target of service %s no longer announces itself", service)
	case fault.CallerGone:
		return fault.New(kind, "the caller canceled the request")
	case fault.ShuttingDown:
		return fault.New(kind, "this process stopped before the request was sent to the target")
	}
	return fault.New(kind, "the target of service %s is overloaded", service)
}

func (c *Controller) find(service string) *target {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.targets[service]
}

func (c *Controller) ensure(now time.Time, service string) *target {
	c.mu.Lock()
	defer c.mu.Unlock()
	tgt, ok := c.targets[service]
	if !ok {
		tgt = &target{clock: c.options.Clock}
		tgt.queue = NewQueue(now, wakeCaller, c.eventRecorder(service))
		c.targets[service] = tgt
	}
	return tgt
}

// eventRecorder returns the function that records the events of one target.
func (c *Controller) eventRecorder(service string) func(name, detail string) {
	return func(name, detail string) {
		if c.options.Events == nil {
			return
		}
		c.options.Events.Record(protocol.Event{
			Process: c.options.Instance,
			Name:    name,
			Target:  service + "/" + c.options.Instance,
			Detail:  detail,
		})
	}
}
