package balancing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

const (
	// staleAfter is how long an idle target that is no longer listed is kept.
	staleAfter = 10 * time.Second
	// leavingStaleAfter is the same for a target that has said that it leaves. It may
	// be listed again while the control replicas have not learned of that.
	leavingStaleAfter = 10 * time.Minute
	// routeStaleAfter is how long what is known of a target and a route is kept without a
	// request. Its weight has faded by then.
	routeStaleAfter = time.Minute
	// absentLoad is the load of a service without a target in the failure domain, and
	// maxDomainLoad the highest load of one with a target there.
	absentLoad    = 2.0
	maxDomainLoad = 2.0
)

// Balancer selects targets by the state that this daemon has observed, kept
// per service. Its methods are safe for concurrent use.
type Balancer struct {
	// FailureDomain is the failure domain of this daemon.
	FailureDomain string
	// List returns the listed targets of a service.
	List func(service string) []protocol.TargetRecord

	mu       sync.Mutex
	services map[string]*serviceTargets
}

// serviceTargets holds the targets of one service. Each service has its own
// lock.
type serviceTargets struct {
	mu      sync.Mutex
	targets map[string]*targetState // by instance
}

// targetState is the observed state of one target.
type targetState struct {
	Target
	// lastListed is when List last returned the target, routesCleanedAt when
	// removeStaleRoutes last did its work.
	lastListed, routesCleanedAt time.Time
}

// Choice is a selected target.
type Choice struct {
	Record  protocol.TargetRecord
	target  *targetState
	service *serviceTargets
	sentRequest
}

// Choose returns a target of the service for a request of a route with a latency objective,
// other than the excluded instances. ok is false if there is none; otherwise the caller must
// call Ended once.
func (b *Balancer) Choose(now time.Time, service, route string, objective time.Duration, excluded []string) (c Choice, ok bool) {
	records := b.List(service)
	s := b.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := make([]*Target, len(records))
	states := make([]*targetState, len(records))
	for i, r := range records {
		states[i] = s.update(now, r, b.FailureDomain)
		states[i].selectRoute(now, route, objective)
		targets[i] = &states[i].Target
	}
	s.removeStale(now)
	at := Choose(now, targets, func(i int) bool {
		return states[i].unusable(records[i]) || contains(excluded, records[i].Instance)
	}, rand.IntN)
	if at < 0 {
		return Choice{}, false
	}
	request := sentRequest{route: route, objective: objective, sentAt: now}
	states[at].sent(request)
	return Choice{Record: records[at], target: states[at], service: s, sentRequest: request}, true
}

// unusable reports whether the target gets no more requests because it or its daemon
// leaves.
func (t *targetState) unusable(r protocol.TargetRecord) bool {
	return r.DaemonLeaving || r.State == protocol.Leaving || t.isLeaving(r.Incarnation)
}

// DomainLoad returns the load of a service in the failure domain of this daemon: that of the
// least loaded target there, or absentLoad if there is none. It is 0 for a service that has
// no targets anywhere.
func (b *Balancer) DomainLoad(now time.Time, service string) float64 {
	records := b.List(service)
	if len(records) == 0 {
		return 0
	}
	s := b.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	least, found := maxDomainLoad, false
	for _, r := range records {
		if r.FailureDomain != b.FailureDomain {
			continue
		}
		state := s.update(now, r, b.FailureDomain)
		if !state.unusable(r) {
			found = true
			state.delay = 0
			least = min(least, state.Load(now))
		}
	}
	if !found {
		return absentLoad
	}
	return least
}

// AllCold reports whether every listed target of the service is cold.
func (b *Balancer) AllCold(service string) bool {
	for _, r := range b.List(service) {
		if r.State == protocol.Warm {
			return false
		}
	}
	return true
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (b *Balancer) service(name string) *serviceTargets {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = make(map[string]*serviceTargets)
	}
	s, ok := b.services[name]
	if !ok {
		s = &serviceTargets{targets: make(map[string]*targetState)}
		b.services[name] = s
	}
	return s
}

func (s *serviceTargets) update(now time.Time, r protocol.TargetRecord, domain string) *targetState {
	state, ok := s.targets[r.Instance]
	if !ok {
		state = &targetState{}
		s.targets[r.Instance] = state
	}
	state.lastListed = now
	state.SameDomain = r.FailureDomain == domain
	state.Slots = r.Slots
	state.Cold = r.State == protocol.Cold
	return state
}

func (s *serviceTargets) removeStale(now time.Time) {
	for instance, state := range s.targets {
		keep := staleAfter
		if state.leaving != "" {
			keep = leavingStaleAfter
		}
		if state.outstanding == 0 && now.Sub(state.lastListed) > keep {
			delete(s.targets, instance)
		}
		state.removeStaleRoutes(now)
	}
}

// Update calls f with the observed state of the selected target, under the lock
// of its service.
func (c Choice) Update(f func(t *Target)) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	f(&c.target.Target)
}

// Ended records that the request has ended.
func (c Choice) Ended() {
	c.Update(func(t *Target) { t.ended(c.sentRequest) })
}
