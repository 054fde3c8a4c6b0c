package shedding

import (
	"maps"
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
	sweptAt  time.Time
}

// serviceLevel is the level of one service, smoothed over its targets: the higher of two
// levels.
type serviceLevel struct {
	// lasting follows the load of the targets.
	lasting   float64
	updatedAt time.Time
	// passing is that of cold targets. It ends at passingEnds, also where no response
	// tells that the targets are warm.
	passing     float64
	passingEnds time.Time
}

// at returns the level at now.
func (s *serviceLevel) at(now time.Time) float64 {
	s.decay(now)
	if now.Before(s.passingEnds) {
		return max(s.lasting, s.passing)
	}
	return s.lasting
}

// observe records the level that a response reports.
func (s *serviceLevel) observe(now time.Time, reported Bottleneck) {
	s.decay(now)
	s.updatedAt = now
	if !now.Before(s.passingEnds) {
		s.passing = 0
	}
	if reported.EndsIn <= 0 {
		s.lasting += smoothing * (reported.Level - s.lasting)
		s.passing -= smoothing * s.passing
		return
	}
	s.passing += smoothing * (reported.Level - s.passing)
	if ends := now.Add(reported.EndsIn); ends.After(s.passingEnds) {
		s.passingEnds = ends
	}
}

// endsIn returns the time until the level falls because cold targets turn warm, or 0 if
// that is not its cause.
func (s *serviceLevel) endsIn(now time.Time) time.Duration {
	if s.passing <= s.lasting {
		return 0
	}
	return max(s.passingEnds.Sub(now), 0)
}

// routeBottleneck is the bottleneck service of a route, and the time that one
// request of the route costs it.
type routeBottleneck struct {
	service string
	cost    time.Duration
	// reportedAt is when it was last reported.
	reportedAt time.Time
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
	l.forgetStale(now)
	if reported.Service == "" {
		l.observeNoShedding(now, route)
		return
	}
	if _, known := l.routes[route]; !known && len(l.routes) >= maxRoutes {
		return
	}
	service, ok := l.services[reported.Service]
	if !ok {
		service = &serviceLevel{}
		l.services[reported.Service] = service
	}
	service.observe(now, reported)
	bottleneck, ok := l.routes[route]
	if !ok || bottleneck.service != reported.Service {
		bottleneck = routeBottleneck{service: reported.Service, cost: reported.Cost}
	}
	bottleneck.cost += time.Duration(smoothing * float64(reported.Cost-bottleneck.cost))
	bottleneck.reportedAt = now
	l.routes[route] = bottleneck
}

// forgetStale forgets the routes that no response has named for routeStaleAfter, and the
// services that are the bottleneck of no route.
func (l *Levels) forgetStale(now time.Time) {
	if !sweepDue(now, &l.sweptAt) {
		return
	}
	bottlenecks := make(map[string]bool)
	for route, b := range l.routes {
		if now.Sub(b.reportedAt) >= routeStaleAfter {
			delete(l.routes, route)
			continue
		}
		bottlenecks[b.service] = true
	}
	maps.DeleteFunc(l.services, func(name string, _ *serviceLevel) bool { return !bottlenecks[name] })
}

// Routes returns the number of routes, and of services, for which something is kept.
func (l *Levels) Routes() (routes, services int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.routes), len(l.services)
}

// observeNoShedding records that the known bottleneck service of the route has
// nothing to shed.
func (l *Levels) observeNoShedding(now time.Time, route string) {
	bottleneck, ok := l.routes[route]
	if !ok {
		return
	}
	l.services[bottleneck.service].observe(now, Bottleneck{})
	bottleneck.reportedAt = now
	l.routes[route] = bottleneck
}

// decay lowers the lasting level if it has not been reported for decayAfter.
func (s *serviceLevel) decay(now time.Time) {
	silent := now.Sub(s.updatedAt) - decayAfter
	if silent <= 0 {
		return
	}
	s.lasting = max(s.lasting-decayRate*silent.Seconds(), 0)
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
	return Bottleneck{Service: bottleneck.service, Level: service.at(now), Cost: bottleneck.cost, EndsIn: service.endsIn(now)}
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
