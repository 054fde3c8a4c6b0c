package shedding

import (
	"sync"
	"time"
)

const (
	// smoothing is the weight of a newly reported level or cost in the moving
	// average. Averaging is needed because several targets of a service report
	// different levels.
	smoothing = 0.2
	// decayAfter and decayRate lower a level that is no longer reported.
	decayAfter = 500 * time.Millisecond
	decayRate  = 0.2 // per second
)

// Levels holds the last known level of each service, and the bottleneck service
// of each route. Its methods are safe for concurrent use.
type Levels struct {
	mu       sync.Mutex
	services map[string]*serviceLevel
	routes   map[string]routeBottleneck
}

// serviceLevel is the level of one service, smoothed over its targets.
type serviceLevel struct {
	level float64
	at    time.Time
}

// routeBottleneck is the bottleneck service of a route, and the time that one
// request of the route costs it.
type routeBottleneck struct {
	service string
	cost    time.Duration
}

// Observe records the report on an answer to a request of the route. The zero
// value of s means that no service has anything to shed.
func (l *Levels) Observe(now time.Time, route string, s Bottleneck) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services == nil {
		l.services = make(map[string]*serviceLevel)
		l.routes = make(map[string]routeBottleneck)
	}
	if s.Service == "" {
		l.observeNoShedding(now, route)
		return
	}
	k, ok := l.services[s.Service]
	if !ok {
		k = &serviceLevel{}
		l.services[s.Service] = k
	}
	k.decay(now)
	k.level += smoothing * (s.Level - k.level)
	k.at = now
	b, ok := l.routes[route]
	if !ok || b.service != s.Service {
		b = routeBottleneck{service: s.Service, cost: s.Cost}
	}
	b.cost += time.Duration(smoothing * float64(s.Cost-b.cost))
	l.routes[route] = b
}

// observeNoShedding records that the bottleneck service of the route sheds
// nothing.
func (l *Levels) observeNoShedding(now time.Time, route string) {
	b, ok := l.routes[route]
	if !ok {
		return
	}
	k := l.services[b.service]
	k.decay(now)
	k.level -= smoothing * k.level
	k.at = now
}

// decay lowers the level for the time in which it was not reported.
func (k *serviceLevel) decay(now time.Time) {
	silent := now.Sub(k.at) - decayAfter
	if silent <= 0 {
		return
	}
	k.level = max(k.level-decayRate*silent.Seconds(), 0)
	k.at = now.Add(-decayAfter)
}

// ForRoute returns the bottleneck of a route, or the zero value if none is
// known.
func (l *Levels) ForRoute(now time.Time, route string) Bottleneck {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.routes[route]
	if !ok {
		return Bottleneck{}
	}
	k := l.services[b.service]
	k.decay(now)
	return Bottleneck{Service: b.service, Level: k.level, Cost: b.cost}
}

// Downstream returns the bottleneck with the highest level among the called
// routes, and what one request costs it through all of its calls. calls holds
// the number of calls per request, by route.
func (l *Levels) Downstream(now time.Time, calls map[string]float64) Bottleneck {
	var worst Bottleneck
	costs := make(map[string]time.Duration, len(calls))
	for route, n := range calls {
		s := l.ForRoute(now, route)
		costs[s.Service] += time.Duration(n * float64(s.Cost))
		if worst.Service == "" || s.Level > worst.Level {
			worst = s
		}
	}
	worst.Cost = costs[worst.Service]
	return worst
}
