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
	// decayAfter is how long a level is kept without a new report. It then falls
	// by decayRate.
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
	level     float64
	updatedAt time.Time
}

// routeBottleneck is the bottleneck service of a route, and the time that one
// request of the route costs it.
type routeBottleneck struct {
	service string
	cost    time.Duration
}

// Observe records the bottleneck reported in a response to a request of the
// route. The zero value of reported means that no service has anything to shed.
func (l *Levels) Observe(now time.Time, route string, reported Bottleneck) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services == nil {
		l.services = make(map[string]*serviceLevel)
		l.routes = make(map[string]routeBottleneck)
	}
	if reported.Service == "" {
		l.observeNoShedding(now, route)
		return
	}
	service, ok := l.services[reported.Service]
	if !ok {
		service = &serviceLevel{}
		l.services[reported.Service] = service
	}
	service.decay(now)
	service.level += smoothing * (reported.Level - service.level)
	service.updatedAt = now
	bottleneck, ok := l.routes[route]
	if !ok || bottleneck.service != reported.Service {
		bottleneck = routeBottleneck{service: reported.Service, cost: reported.Cost}
	}
	bottleneck.cost += time.Duration(smoothing * float64(reported.Cost-bottleneck.cost))
	l.routes[route] = bottleneck
}

// observeNoShedding records that the known bottleneck service of the route has
// nothing to shed.
func (l *Levels) observeNoShedding(now time.Time, route string) {
	bottleneck, ok := l.routes[route]
	if !ok {
		return
	}
	service := l.services[bottleneck.service]
	service.decay(now)
	service.level -= smoothing * service.level
	service.updatedAt = now
}

// decay lowers the level if it has not been reported for decayAfter.
func (s *serviceLevel) decay(now time.Time) {
	silent := now.Sub(s.updatedAt) - decayAfter
	if silent <= 0 {
		return
	}
	s.level = max(s.level-decayRate*silent.Seconds(), 0)
	s.updatedAt = now.Add(-decayAfter)
}

// ForRoute returns the bottleneck of a route, or the zero value if none is
// known.
func (l *Levels) ForRoute(now time.Time, route string) Bottleneck {
	l.mu.Lock()
	defer l.mu.Unlock()
	bottleneck, ok := l.routes[route]
	if !ok {
		return Bottleneck{}
	}
	service := l.services[bottleneck.service]
	service.decay(now)
	return Bottleneck{Service: bottleneck.service, Level: service.level, Cost: bottleneck.cost}
}

// Downstream returns the bottleneck with the highest level among the called
// routes. Its Cost is what one request costs that service through all of its
// calls. calls holds the number of calls per request, by route.
func (l *Levels) Downstream(now time.Time, calls map[string]float64) Bottleneck {
	var worst Bottleneck
	costs := make(map[string]time.Duration, len(calls))
	for route, n := range calls {
		bottleneck := l.ForRoute(now, route)
		costs[bottleneck.Service] += time.Duration(n * float64(bottleneck.Cost))
		if worst.Service == "" || bottleneck.Level > worst.Level {
			worst = bottleneck
		}
	}
	worst.Cost = costs[worst.Service]
	return worst
}
