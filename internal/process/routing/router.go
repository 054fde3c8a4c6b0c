package routing

import (
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/hop"
	"github.com/teaselrack/teaselrack/internal/version"
)

// Router selects targets. It implements hop.Router and is safe for concurrent
// use.
type Router struct {
	options  Options
	services sync.Map // service to *serviceState
}

// New returns a Router without any observations.
func New(o Options) *Router {
	return &Router{options: o.withDefaults()}
}

// Pick selects a target of e.Service other than the instances in exclude. It
// fails with fault.NoTarget if no target is available, and with
// fault.Overloaded if the reported levels shed the importance and cohort of e.
// Only the root of a request sheds it: the daemon for which e.Depth is at most
// 1. An empty exclude marks a first attempt.
func (r *Router) Pick(e *envelope.Envelope, exclude []string) (hop.Choice, error) {
	s := r.service(e.Service)
	t, record, err := s.pick(r.options.Clock(), e, exclude)
	if err != nil {
		return hop.Choice{}, err
	}
	importance := importanceOf(e)
	done := func(latency time.Duration, err error, level *hop.Level) {
		s.done(r.options.Clock(), t, importance, latency, err, level)
	}
	return hop.Choice{Target: record, Done: done}, nil
}

// ShedAtRoot reports whether Pick would shed e, which only the root of a request
// does. It does not count e as demand.
func (r *Router) ShedAtRoot(e *envelope.Envelope) bool {
	s := r.service(e.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(r.options.Clock())
	return s.sheds(e, false)
}

// Requests returns the number of first attempts to service.
func (r *Router) Requests(service string) uint64 {
	s := r.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (r *Router) service(service string) *serviceState {
	if s, ok := r.services.Load(service); ok {
		return s.(*serviceState)
	}
	s, _ := r.services.LoadOrStore(service, newServiceState(&r.options, service))
	return s.(*serviceState)
}

// importanceOf returns the importance of e, or the lowest one if that of e is
// unknown.
func importanceOf(e *envelope.Envelope) version.Importance {
	if !e.Importance.Valid() {
		return version.Low
	}
	return e.Importance
}
