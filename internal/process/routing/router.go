package routing

import (
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/hop"
	"github.com/teaselrack/teaselrack/internal/version"
)

// Router chooses targets. It implements hop.Router and may be used from any
// goroutine.
type Router struct {
	options Options
	shards  sync.Map // service to *shard
}

// New returns a Router that knows nothing yet.
func New(o Options) *Router {
	return &Router{options: o.withDefaults()}
}

// Pick chooses a target of e.Service, none of the instances in exclude. Errors:
// NoTarget; Overloaded where the levels that came back shed this importance and
// cohort. The root of a request is the process for which e.Depth is at most 1;
// an empty exclude marks a first attempt.
func (r *Router) Pick(e *envelope.Envelope, exclude []string) (hop.Choice, error) {
	s := r.shard(e.Service)
	p, record, err := s.pick(r.options.Clock(), e, exclude)
	if err != nil {
		return hop.Choice{}, err
	}
	importance := importanceOf(e)
	done := func(latency time.Duration, err error, level *hop.Level) {
		s.done(r.options.Clock(), p, importance, latency, err, level)
	}
	return hop.Choice{Target: record, Done: done}, nil
}

// ShedAtRoot reports whether Pick would shed e at its root, without counting
// it as demand.
func (r *Router) ShedAtRoot(e *envelope.Envelope) bool {
	s := r.shard(e.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(r.options.Clock())
	return s.sheds(e, false)
}

// Requests returns how many first attempts were made to service.
func (r *Router) Requests(service string) uint64 {
	s := r.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (r *Router) shard(service string) *shard {
	if s, ok := r.shards.Load(service); ok {
		return s.(*shard)
	}
	s, _ := r.shards.LoadOrStore(service, newShard(&r.options, service))
	return s.(*shard)
}

// importanceOf treats an unknown importance as the least.
func importanceOf(e *envelope.Envelope) version.Importance {
	if !e.Importance.Valid() {
		return version.Low
	}
	return e.Importance
}
