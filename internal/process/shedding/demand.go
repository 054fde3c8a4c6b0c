package shedding

import (
	"sync"
	"time"
)

const (
	// demandHalfLife is the half-life of the counted arrivals.
	demandHalfLife = 3 * time.Second
	// maxShedFraction is the largest fraction of one class that is shed. The
	// remaining requests show when there is capacity again, and keep every
	// route from being shut off completely.
	maxShedFraction = 0.98
	// minLevel is the level below which nothing is shed.
	minLevel = 0.01
)

// Demand estimates the work that arriving client requests would cause, to
// decide which of them a level sheds. Its methods are safe for concurrent use.
type Demand struct {
	mu        sync.Mutex
	updatedAt time.Time
	arrivals  map[class]*arrivals
}

// class identifies requests that are shed alike.
type class struct {
	rank  int
	route string
}

// arrivals holds the decaying count of one class and its last known bottleneck.
type arrivals struct {
	count      float64
	bottleneck Bottleneck
}

// work returns the processing time, in seconds, that the arrivals take at the
// bottleneck service.
func (a *arrivals) work() float64 { return a.count * a.bottleneck.Cost.Seconds() }

// ShedFraction counts a request of a rank and a route, and returns the fraction
// of such requests that is to be shed. bottleneck is that of the route.
func (d *Demand) ShedFraction(now time.Time, rank int, route string, bottleneck Bottleneck) float64 {
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
	own.bottleneck = bottleneck
	if bottleneck.Level < minLevel || own.work() <= 0 {
		return 0
	}
	total, before := d.workBefore(key, own)
	return min(max((bottleneck.Level*total-before)/own.work(), 0), maxShedFraction)
}

// workBefore returns the total work on the bottleneck service of own, and the
// part of it that is shed before own.
func (d *Demand) workBefore(key class, own *arrivals) (total, before float64) {
	for k, a := range d.arrivals {
		if a.bottleneck.Service != own.bottleneck.Service {
			continue
		}
		total += a.work()
		if shedBefore(k, a, key, own) {
			before += a.work()
		}
	}
	return total, before
}

// shedBefore reports whether requests of class x are shed before those of class
// y: the less urgent rank first, then the higher cost.
func shedBefore(x class, a *arrivals, y class, b *arrivals) bool {
	if x.rank != y.rank {
		return x.rank > y.rank
	}
	if a.bottleneck.Cost != b.bottleneck.Cost {
		return a.bottleneck.Cost > b.bottleneck.Cost
	}
	return x.route < y.route
}

func (d *Demand) decay(now time.Time) {
	if d.arrivals == nil {
		d.arrivals = make(map[class]*arrivals)
		d.updatedAt = now
	}
	elapsed := now.Sub(d.updatedAt)
	if elapsed < Interval {
		return
	}
	keep := decayFactor(elapsed, demandHalfLife)
	for key, a := range d.arrivals {
		a.count *= keep
		if a.count < 0.01 {
			delete(d.arrivals, key)
		}
	}
	d.updatedAt = now
}
