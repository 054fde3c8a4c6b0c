package shedding

import (
	"sync"
	"time"
)

const (
	// matchBefore and matchAfter bound how far the deadline of a call may lie
	// from that of the request it belongs to: whole milliseconds and the way
	// over the loopback device.
	matchBefore = 2 * time.Millisecond
	matchAfter  = 2 * time.Millisecond
	// controlShift moves the window in which matches by chance are counted.
	controlShift = 25 * time.Millisecond
	// callsHalfLife is the time in which counts lose half of their weight.
	callsHalfLife = 8 * time.Second
	// leastCalls is the number of calls for each run from which a route counts
	// as calling another, and leastRuns the number of runs before that is said.
	leastCalls = 0.3
	leastRuns  = 5
)

// Calls learns which routes the requests of a route call. A call names no
// parent, but it expires when its parent does: so the requests that run at the
// target beside this process, with that deadline, are its possible parents.
// What matches by chance is estimated by looking for a deadline a little later.
// Its methods may be called from any goroutine.
type Calls struct {
	mu      sync.Mutex
	running map[uint64]parent
	next    uint64
	routes  map[string]*callCounts
}

type parent struct {
	route    string
	deadline time.Time
}

// callCounts are the decaying counts of one route.
type callCounts struct {
	at    time.Time
	runs  float64
	calls map[string]float64 // by called route, less those by chance
}

// Begin notes a request that runs at the target. The function that it returns
// is called when the request has ended.
func (c *Calls) Begin(now time.Time, route string, deadline time.Time) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(map[uint64]parent)
		c.routes = make(map[string]*callCounts)
	}
	c.next++
	id := c.next
	c.running[id] = parent{route, deadline}
	c.counts(now, route).runs++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.running, id)
	}
}

// Called notes a call of the target with its deadline.
func (c *Calls) Called(now time.Time, route string, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.running {
		off := deadline.Sub(p.deadline)
		switch {
		case off >= -matchBefore && off <= matchAfter:
			c.counts(now, p.route).calls[route]++
		case off >= controlShift-matchBefore && off <= controlShift+matchAfter:
			c.counts(now, p.route).calls[route]--
		}
	}
}

// PerRun returns the routes that requests of a route call, with the number of
// calls for each request.
func (c *Calls) PerRun(now time.Time, route string) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.routes[route] == nil {
		return nil
	}
	counts := c.counts(now, route)
	if counts.runs < leastRuns {
		return nil
	}
	perRun := make(map[string]float64, len(counts.calls))
	for name, n := range counts.calls {
		if n/counts.runs >= leastCalls {
			perRun[name] = n / counts.runs
		}
	}
	return perRun
}

// counts returns the counts of a route, brought up to now.
func (c *Calls) counts(now time.Time, route string) *callCounts {
	k, ok := c.routes[route]
	if !ok {
		k = &callCounts{at: now, calls: make(map[string]float64)}
		c.routes[route] = k
		return k
	}
	if passed := now.Sub(k.at); passed >= time.Second {
		keep := halved(passed, callsHalfLife)
		k.runs *= keep
		for name := range k.calls {
			k.calls[name] *= keep
		}
		k.at = now
	}
	return k
}
