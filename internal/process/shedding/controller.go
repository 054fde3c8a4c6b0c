// Package shedding turns whole requests away where they enter, before any work
// is spent on them, while a service that they need further down has no room. It
// does no I/O; time and randomness come in as arguments.
//
// Load pattern: one deep service is asked for more than it can do for many
// seconds. Most of its load are calls for requests that entered elsewhere, so
// turning calls away there wastes all the work above them. The daemon beside a
// target of the deep service states a level: the part of the work on it that is
// to be shed. The level travels back on answers, hop by hop, together with what
// one request of the route costs the deep service. Where requests enter, that
// part of the recent work is shed: the least urgent rank first, and within a
// rank what costs the deep service most.
package shedding

import (
	"math"
	"time"
)

const (
	// Interval is the time between two changes of a level.
	Interval = 100 * time.Millisecond
	// MaxLevel is the highest level; the rest shows when there is room again.
	MaxLevel = 0.98
	// targetLoad is the part of the capacity that is to be used, what waits
	// included: so a short queue keeps the target busy.
	targetLoad = 1.0
	// gain is the exponent by which the part that passes follows the load in
	// each interval. A change takes about half a second to come back as load;
	// twice this gain would swing.
	gain = 0.12
	// leastLoad and mostLoad bound what one interval counts for. Between cold and
	// warm, what a target can do changes by such factors.
	leastLoad = 0.02
	mostLoad  = 20.0
	// floodLoad is the load from which the level is set at once where nothing is
	// shed yet, since all of the demand arrives then: more than one interval of
	// bursty calls comes to. settleTime is how long it does not rise after that,
	// the time in which a change comes back as load.
	floodLoad  = 4
	settleTime = 500 * time.Millisecond
	// drainTime is the time in which waiting requests are to be worked off.
	drainTime = 150 * time.Millisecond
)

// Capacity is what a target can do at a moment.
type Capacity struct {
	// PerSecond is the number of requests that it can serve a second.
	PerSecond float64
	// Waiting is the number of requests that wait for it.
	Waiting int
}

// Controller keeps the level of one target. Its user holds a lock around each
// call.
type Controller struct {
	// shed is the level, brought up to date at at.
	shed float64
	at   time.Time
	// offered is counted since at.
	offered  int
	capacity Capacity
	// settled is when the last level that was set at once has come back as load.
	settled time.Time
}

// Offered counts a request that arrives at the target.
func (c *Controller) Offered(now time.Time, capacity Capacity) {
	c.capacity = capacity
	c.advance(now)
	c.offered++
}

// Level returns the level at now, between 0 and MaxLevel.
func (c *Controller) Level(now time.Time) float64 {
	c.advance(now)
	return c.shed
}

func (c *Controller) advance(now time.Time) {
	if c.at.IsZero() {
		c.at = now
		return
	}
	elapsed := now.Sub(c.at)
	if elapsed < Interval {
		return
	}
	load := min(max(c.load(elapsed), leastLoad), mostLoad)
	c.adjust(now, load, float64(elapsed)/float64(Interval))
	c.at = now
	c.offered = 0
}

// adjust moves the level by what the load of some intervals showed.
func (c *Controller) adjust(now time.Time, load, steps float64) {
	if c.shed == 0 && load > floodLoad {
		c.shed = min(1-targetLoad/load, MaxLevel)
		c.settled = now.Add(settleTime)
		return
	}
	if load > targetLoad && now.Before(c.settled) {
		return
	}
	passes := (1 - c.shed) * math.Pow(targetLoad/load, gain*steps)
	c.shed = min(max(1-passes, 0), MaxLevel)
}

// load returns the work that arrived and that waits, as a part of what the
// target can do.
func (c *Controller) load(elapsed time.Duration) float64 {
	if c.capacity.PerSecond <= 0 {
		return mostLoad
	}
	arrived := float64(c.offered) / elapsed.Seconds()
	waits := float64(c.capacity.Waiting) / drainTime.Seconds()
	return (arrived + waits) / c.capacity.PerSecond
}
