// Package clock reads the clock by which permissions of limited duration expire:
// leases and quota tokens.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock runs at the rate of real time and, unlike the monotonic part of time.Now, also
// while the machine is suspended. A permission that ran out meanwhile has ended when
// the process goes on. Steps of the time of day do not affect it. It is safe for
// concurrent use.
type Clock struct {
	// sinceBoot returns the time since the machine was started.
	sinceBoot func() time.Duration
	// start is the time of day at startedAt since boot.
	start     time.Time
	startedAt time.Duration
}

// New returns a Clock that starts at the current time of day.
func New() *Clock { return newClock(sinceBoot) }

func newClock(sinceBoot func() time.Duration) *Clock {
	return &Clock{sinceBoot: sinceBoot, start: time.Now().Round(0), startedAt: sinceBoot()}
}

// Now returns the time by this clock. Two results of one Clock can be compared; a
// result has no monotonic part.
func (c *Clock) Now() time.Time { return c.start.Add(c.sinceBoot() - c.startedAt) }

// processStart is the reference of the fallback of sinceBoot.
var processStart = time.Now()

// sinceBoot reads CLOCK_BOOTTIME. On a system without it, it returns the time since
// the start of the process, without suspensions.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}
