package shedding

import (
	"sync"
	"time"
)

const (
	// demandHalfLife is the time in which an arrival loses half of its weight.
	demandHalfLife = 3 * time.Second
	// mostShare is the largest part of one class of requests that is shed; the rest
	// shows that there is room again, and keeps every route alive.
	mostShare = 0.98
	// leastLevel is the level from which a route counts as bound by a service.
	leastLevel = 0.01
)

// Demand counts the work that requests of callers would cause, to tell which of
// them a level sheds. Its methods may be called from any goroutine.
type Demand struct {
	mu       sync.Mutex
	at       time.Time
	arrivals map[class]*arrivals
}

// class is what requests are told apart by.
type class struct {
	rank  int
	route string
}

// arrivals are the decaying count of one class and its last known cost.
type arrivals struct {
	count float64
	bound Stated
}

// work is the time of the service that the arrivals take.
func (a *arrivals) work() float64 { return a.count * a.bound.Cost.Seconds() }

// Share counts a request of a route and returns the part of its class that is to
// be shed, for what is known of the route.
func (d *Demand) Share(now time.Time, rank int, route string, s Stated) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	key := class{rank, route}
	own, ok := d.arrivals[key]
	if !ok {
		own = &arrivals{}
		d.arrivals[key] = own
	}
	own.count++
	own.bound = s
	if s.Level < leastLevel || own.work() <= 0 {
		return 0
	}
	total, before := d.before(key, own)
	return min(max((s.Level*total-before)/own.work(), 0), mostShare)
}

// before returns the work on the service of own, and the part of it that is
// shed before own is.
func (d *Demand) before(key class, own *arrivals) (total, before float64) {
	for k, a := range d.arrivals {
		if a.bound.Service != own.bound.Service {
			continue
		}
		total += a.work()
		if shedBefore(k, a, key, own) {
			before += a.work()
		}
	}
	return total, before
}

// shedBefore reports whether requests of class x go before those of y: the less
// urgent rank first, then the higher cost.
func shedBefore(x class, a *arrivals, y class, b *arrivals) bool {
	if x.rank != y.rank {
		return x.rank > y.rank
	}
	if a.bound.Cost != b.bound.Cost {
		return a.bound.Cost > b.bound.Cost
	}
	return x.route < y.route
}

func (d *Demand) decay(now time.Time) {
	if d.arrivals == nil {
		d.arrivals = make(map[class]*arrivals)
		d.at = now
	}
	elapsed := now.Sub(d.at)
	if elapsed < Interval {
		return
	}
	keep := halved(elapsed, demandHalfLife)
	for key, a := range d.arrivals {
		a.count *= keep
		if a.count < 0.01 {
			delete(d.arrivals, key)
		}
	}
	d.at = now
}
