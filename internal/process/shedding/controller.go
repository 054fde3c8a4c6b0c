// Package shedding rejects whole requests at the entry daemon, before any work
// is spent on them, while a service further downstream is overloaded. It does
// no I/O; time and randomness are passed in.
//
// It is built for a deep service that receives more load than it can serve for
// many seconds. Most of its load is calls for requests that entered elsewhere,
// so rejecting calls there wastes all the work done upstream. The daemon of
// each target of the deep service computes a level: the fraction of the work on
// the service that is to be shed. Responses carry the level back hop by hop, with
// the time that one request of the route costs the deep service. The entry
// daemons shed that fraction of the recent work: the least urgent rank first,
// and within a rank the routes that cost the deep service most.
package shedding

import (
	"math"
	"time"
)

const (
	// Interval is the time between two adjustments of a level.
	Interval = 100 * time.Millisecond
	// MaxLevel is the highest level. The remaining requests show when there is
	// capacity again.
	MaxLevel = 0.98
	// targetLoad is the load that the controller aims at, as a fraction of the
	// capacity. Waiting requests count as load, so a short queue keeps the
	// target busy.
	targetLoad = 1.0
	// gain is the exponent with which the admitted fraction follows the load: in
	// each interval it is multiplied by (targetLoad/load)^gain. A change takes
	// about half a second to show up in the load. Twice this gain would
	// oscillate.
	gain = 0.12
	// idleGain replaces gain while the load is below idleLoad and nothing waits: a burst
	// that has been served is no reason to go on shedding. A target that keeps shedding is
	// busy.
	idleGain = 0.3
	idleLoad = 0.7
	// minLoad and maxLoad clamp the load measured in one interval. The capacity
	// of a target changes by such factors between cold and warm.
	minLoad = 0.02
	maxLoad = 20.0
	// surgeLoad is the load, as a multiple of the capacity, above which the
	// level is set to its final value in one step. This happens only while
	// nothing is shed, since all of the demand is visible then. Bursty calls do
	// not reach this load in one interval. holdTime is how long the level does
	// not rise after such a step: the time until the change shows up in the
	// load.
	surgeLoad = 4
	holdTime  = 500 * time.Millisecond
	// stepRatio is the ratio of two capacities above which the level follows the change
	// at once. Changes of the service time stay below it.
	stepRatio = 3
	// drainTime is the time in which the waiting requests should be served.
	drainTime = 150 * time.Millisecond
)

// Capacity is the momentary capacity of a target.
type Capacity struct {
	// PerSecond is the number of requests that the target can serve per second.
	PerSecond float64
	// Waiting is the number of requests that wait for the target.
	Waiting int
	// ColdFor is the time after which PerSecond is no longer that of a cold target; 0 if
	// it is not, or if the time is unknown.
	ColdFor time.Duration
}

// Controller computes the level of one target. It is not safe for concurrent
// use: the caller must hold a lock around each call.
type Controller struct {
	// level is the level computed at updatedAt.
	level     float64
	updatedAt time.Time
	// offered counts the requests that arrived since updatedAt.
	offered  int
	capacity Capacity
	// holdUntil is the time before which the level does not rise, because the
	// last one-step change has not shown up in the load yet.
	holdUntil time.Time
}

// Offered counts a request that arrives at the target.
func (c *Controller) Offered(now time.Time, capacity Capacity) {
	c.Observe(now, capacity)
	c.offered++
}

// Observe updates the capacity. If it has grown in a step, because a cold target has become
// warm, the admitted fraction grows with it.
func (c *Controller) Observe(now time.Time, capacity Capacity) {
	if before := c.capacity.PerSecond; before > 0 && capacity.PerSecond > stepRatio*before {
		admitted := (1 - c.level) * capacity.PerSecond / before
		c.level = max(1-admitted, 0)
	}
	c.capacity = capacity
	c.advance(now)
}

// Level returns the level at now, between 0 and MaxLevel.
func (c *Controller) Level(now time.Time) float64 {
	c.advance(now)
	return c.level
}

// advance adjusts the level if at least one interval has passed since the last
// adjustment.
func (c *Controller) advance(now time.Time) {
	if c.updatedAt.IsZero() {
		c.updatedAt = now
		return
	}
	elapsed := now.Sub(c.updatedAt)
	if elapsed < Interval {
		return
	}
	load := min(max(c.load(elapsed), minLoad), maxLoad)
	c.adjust(now, load, float64(elapsed)/float64(Interval))
	c.updatedAt = now
	c.offered = 0
}

// adjust updates the level for the load measured over steps intervals.
func (c *Controller) adjust(now time.Time, load, steps float64) {
	if c.level == 0 && load > surgeLoad {
		c.level = min(1-targetLoad/load, MaxLevel)
		c.holdUntil = now.Add(holdTime)
		return
	}
	if load > targetLoad && now.Before(c.holdUntil) {
		return
	}
	admitted := (1 - c.level) * math.Pow(targetLoad/load, c.gainAt(load)*steps)
	c.level = min(max(1-admitted, 0), MaxLevel)
}

// gainAt returns the gain for a load.
func (c *Controller) gainAt(load float64) float64 {
	if load < idleLoad && c.capacity.Waiting == 0 {
		return idleGain
	}
	return gain
}

// load returns the arriving and the waiting work as a fraction of the capacity.
func (c *Controller) load(elapsed time.Duration) float64 {
	if c.capacity.PerSecond <= 0 {
		return maxLoad
	}
	arrivalRate := float64(c.offered) / elapsed.Seconds()
	drainRate := float64(c.capacity.Waiting) / drainTime.Seconds()
	return (arrivalRate + drainRate) / c.capacity.PerSecond
}
