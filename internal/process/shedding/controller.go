// Package shedding turns whole requests away where they enter, before any work
// is spent on them, while a service that they need further down has no room. It
// does no I/O; time and randomness come in as arguments.
//
// Load pattern: one deep service is asked for more than it can do for many
// seconds. Most of its load are calls for requests that entered elsewhere, so
// turning calls away there wastes all the work above them. The daemon beside a
// target of the deep service states a level; it travels back on answers, hop by
// hop, to where requests enter. There the requests of the least urgent rank go
// first, and within a rank those that load the deep service by calls, since
// each of them causes several.
package shedding

import "time"

const (
	// Interval is the time between two changes of a level.
	Interval = 100 * time.Millisecond
	// rise is how much the level grows in an interval in which every request
	// was turned away.
	rise = 0.5
	// waitRise is how much it grows in an interval in which requests waited all
	// the time, though none was turned away.
	waitRise = 0.03
	// fall is how much the level sinks in an interval without waiting.
	fall = 0.04
	// decayAfter and decayRate let a level that nobody states any more sink.
	decayAfter = 500 * time.Millisecond
	decayRate  = 0.5 // a second
)

// Controller keeps the level of one target. Its user holds a lock around each
// call.
type Controller struct {
	level float64
	at    time.Time
	// offered and refused are counted since at; waited is how often something
	// waited when a request arrived.
	offered, refused, waited int
}

// Offered counts a request that arrived: whether others waited, and whether it
// was turned away for want of room.
func (c *Controller) Offered(now time.Time, waiting, refused bool) {
	c.advance(now)
	c.offered++
	if waiting {
		c.waited++
	}
	if refused {
		c.refused++
	}
}

// Level returns the level at now, between 0 and Most.
func (c *Controller) Level(now time.Time) float64 {
	c.advance(now)
	return c.level
}

// Most is the highest level: every rank and both sorts of requests are shed.
const Most = 16

func (c *Controller) advance(now time.Time) {
	if c.at.IsZero() {
		c.at = now
		return
	}
	passed := now.Sub(c.at)
	if passed < Interval {
		return
	}
	steps := float64(passed) / float64(Interval)
	c.level += c.change(steps)
	c.level = min(max(c.level, 0), Most)
	c.at = now
	c.offered, c.refused, c.waited = 0, 0, 0
}

func (c *Controller) change(steps float64) float64 {
	if c.offered == 0 {
		return -fall * steps
	}
	n := float64(c.offered)
	if c.refused > 0 {
		return rise * float64(c.refused) / n
	}
	if share := float64(c.waited) / n; share > 0.5 {
		return waitRise * share
	}
	return -fall * steps
}
