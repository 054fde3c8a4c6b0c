package shedding

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// matchBefore and matchAfter bound the difference between the deadline of a
	// call and that of its parent request. It comes from rounding to whole
	// milliseconds and from the transfer over the loopback device.
	matchBefore = 2 * time.Millisecond
	matchAfter  = 2 * time.Millisecond
	// controlShift is the offset of the control window that counts chance
	// matches.
	controlShift = 25 * time.Millisecond
	// callsHalfLife is the half-life of the counts.
	callsHalfLife = 8 * time.Second
	// minCallsPerRequest is the number of calls per request from which a route
	// counts as calling another. minRequests is the number of requests of a
	// route below which nothing is reported for it.
	minCallsPerRequest = 0.3
	minRequests        = 5
	// minCalls is the count of calls below which a called route is forgotten.
	minCalls = 0.01
)

// CallGraph learns which routes are called by the requests of a route. A call
// carries no ID of its parent, but it has the parent's deadline: the candidates
// are the requests with that deadline that are running at the local target.
// Chance matches are estimated with a control window at a slightly later
// deadline and subtracted. Its methods are safe for concurrent use.
type CallGraph struct {
	mu      sync.Mutex
	running map[uint64]*parent
	lastID  uint64
	routes  map[string]*callCounts
	// services holds the service that the last call of a route was for.
	services map[string]string
	sweptAt  time.Time
}

// parent is a running request that may be the parent of a call.
type parent struct {
	route    string
	deadline time.Time
	// repeat is true for a run that repeats another one.
	repeat bool
	// calls is the number of calls attributed to the request.
	calls int
}

// Call is what is known of a call from the request that makes it.
type Call struct {
	// Repeat says that the call belongs to a run that repeats another one.
	Repeat bool
	// Remaining is the part of the request's calls that is still to come after this
	// one, from 0 to 1.
	Remaining float64
}

// callCounts holds the decaying counts of one route.
type callCounts struct {
	updatedAt time.Time
	requests  float64
	calls     map[string]float64 // by called route, chance matches subtracted
}

// Begin records a request that runs at the target. repeat says that it repeats another
// one. The caller must call end when the request has ended.
func (c *CallGraph) Begin(now time.Time, route string, deadline time.Time, repeat bool) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(map[uint64]*parent)
		c.routes = make(map[string]*callCounts)
		c.services = make(map[string]string)
	}
	c.lastID++
	id := c.lastID
	c.running[id] = &parent{route: route, deadline: deadline, repeat: repeat}
	c.counts(now, route).requests++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.running, id)
	}
}

// ObserveCall records a call of route, for a service, that the local target makes, with
// the call's deadline. It returns what is known of the call from the candidate with the
// nearest deadline.
func (c *CallGraph) ObserveCall(now time.Time, route, service string, deadline time.Time) Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nearest *parent
	for _, p := range c.running {
		offset := deadline.Sub(p.deadline)
		switch {
		case offset >= -matchBefore && offset <= matchAfter:
			c.counts(now, p.route).calls[route]++
			if nearest == nil || offset.Abs() < deadline.Sub(nearest.deadline).Abs() {
				nearest = p
			}
		case offset >= controlShift-matchBefore && offset <= controlShift+matchAfter:
			c.counts(now, p.route).calls[route]--
		}
	}
	if nearest == nil {
		return Call{Remaining: 1}
	}
	c.services[route] = service
	nearest.calls++
	return Call{Repeat: nearest.repeat, Remaining: c.remaining(now, nearest)}
}

// remaining returns the part of the calls of a request that is still to come, judged by
// the usual number of calls of its route.
func (c *CallGraph) remaining(now time.Time, p *parent) float64 {
	counts := c.counts(now, p.route)
	if counts.requests < minRequests {
		return 1
	}
	usual := 0.0
	for _, n := range counts.calls {
		usual += max(n, 0) / counts.requests
	}
	return max(1-float64(p.calls)/max(usual, 1), 0)
}

// CallsPerRequest returns the routes that requests of a route call, with the
// number of calls per request. It leaves out routes with fewer than
// minCallsPerRequest, and returns nil before minRequests requests.
func (c *CallGraph) CallsPerRequest(now time.Time, route string) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.routes[route] == nil {
		return nil
	}
	counts := c.counts(now, route)
	if counts.requests < minRequests {
		return nil
	}
	perRequest := make(map[string]float64, len(counts.calls))
	for name, n := range counts.calls {
		if n/counts.requests >= minCallsPerRequest {
			perRequest[name] = n / counts.requests
		}
	}
	return perRequest
}

// Routes returns the routes for which something is kept, sorted.
func (c *CallGraph) Routes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.routes))
}

// Service returns the service that a called route is for.
func (c *CallGraph) Service(route string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.services[route]
}

// counts returns the counts of a route, decayed up to now. If there are maxRoutes others, they
// are not kept.
func (c *CallGraph) counts(now time.Time, route string) *callCounts {
	c.forgetStale(now)
	counts, ok := c.routes[route]
	if !ok {
		counts = &callCounts{updatedAt: now, calls: make(map[string]float64)}
		if len(c.routes) < maxRoutes {
			c.routes[route] = counts
		}
		return counts
	}
	if elapsed := now.Sub(counts.updatedAt); elapsed >= time.Second {
		keep := decayFactor(elapsed, callsHalfLife)
		counts.requests *= keep
		for name := range counts.calls {
			counts.calls[name] *= keep
		}
		counts.updatedAt = now
	}
	return counts
}

// forgetStale forgets the routes that have had no request for routeStaleAfter, the calls of
// which next to nothing is left, and the services of routes that none calls.
func (c *CallGraph) forgetStale(now time.Time) {
	if !sweepDue(now, &c.sweptAt) {
		return
	}
	called := make(map[string]bool)
	for route, counts := range c.routes {
		if now.Sub(counts.updatedAt) >= routeStaleAfter {
			delete(c.routes, route)
			continue
		}
		for name, n := range counts.calls {
			if math.Abs(n) < minCalls {
				delete(counts.calls, name)
				continue
			}
			called[name] = true
		}
	}
	maps.DeleteFunc(c.services, func(route, _ string) bool { return !called[route] })
}
