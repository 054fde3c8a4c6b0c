package shedding

import (
	"sync"
	"time"
)

const (
	// smoothing is the part of a newly stated level or cost in the one that is
	// kept: several targets state levels of their own.
	smoothing = 0.2
	// decayAfter and decayRate let a level that nobody states any more sink.
	decayAfter = 500 * time.Millisecond
	decayRate  = 0.2 // a second
)

// Levels holds what this process knows of the levels of services, and which of
// them binds each route. Its methods may be called from any goroutine.
type Levels struct {
	mu       sync.Mutex
	services map[string]*serviceLevel
	routes   map[string]binding
}

// serviceLevel is the level of one service, smoothed over its targets.
type serviceLevel struct {
	level float64
	at    time.Time
}

// binding is the service that binds a route, and what a request costs it.
type binding struct {
	service string
	cost    time.Duration
}

// Observe takes in what an answer to a request of the route states. The zero
// value says that no service has anything to shed.
func (l *Levels) Observe(now time.Time, route string, s Stated) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services == nil {
		l.services = make(map[string]*serviceLevel)
		l.routes = make(map[string]binding)
	}
	if s.Service == "" {
		l.relax(now, route)
		return
	}
	k, ok := l.services[s.Service]
	if !ok {
		k = &serviceLevel{}
		l.services[s.Service] = k
	}
	k.settle(now)
	k.level += smoothing * (s.Level - k.level)
	k.at = now
	b, ok := l.routes[route]
	if !ok || b.service != s.Service {
		b = binding{service: s.Service, cost: s.Cost}
	}
	b.cost += time.Duration(smoothing * float64(s.Cost-b.cost))
	l.routes[route] = b
}

// relax takes in that the service that bound the route sheds nothing.
func (l *Levels) relax(now time.Time, route string) {
	b, ok := l.routes[route]
	if !ok {
		return
	}
	k := l.services[b.service]
	k.settle(now)
	k.level -= smoothing * k.level
	k.at = now
}

// settle lets the level sink for the time in which nothing was stated.
func (k *serviceLevel) settle(now time.Time) {
	silent := now.Sub(k.at) - decayAfter
	if silent <= 0 {
		return
	}
	k.level = max(k.level-decayRate*silent.Seconds(), 0)
	k.at = now.Add(-decayAfter)
}

// Route returns what is known of a route; the zero value where nothing is.
func (l *Levels) Route(now time.Time, route string) Stated {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.routes[route]
	if !ok {
		return Stated{}
	}
	k := l.services[b.service]
	k.settle(now)
	return Stated{Service: b.service, Level: k.level, Cost: b.cost}
}

// Below returns the service with the highest level of those that the called
// routes need, and what one run costs it. calls holds the calls for each run.
func (l *Levels) Below(now time.Time, calls map[string]float64) Stated {
	var worst Stated
	costs := make(map[string]time.Duration, len(calls))
	for route, n := range calls {
		s := l.Route(now, route)
		costs[s.Service] += time.Duration(n * float64(s.Cost))
		if worst.Service == "" || s.Level > worst.Level {
			worst = s
		}
	}
	worst.Cost = costs[worst.Service]
	return worst
}
