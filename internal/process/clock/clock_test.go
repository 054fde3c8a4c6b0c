package clock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestClockCountsSuspendedTime checks that the clock follows the time since boot, which
// goes on while the machine is suspended.
func TestClockCountsSuspendedTime(t *testing.T) {
	boot := 100 * time.Hour
	c := newClock(func() time.Duration { return boot })
	before := c.Now()
	boot += 7 * time.Second // suspended
	must.Eq(t, 7*time.Second, c.Now().Sub(before))
}

// TestClockRuns checks that the clock of the system goes on and not back, and is near the
// time of day at its start.
func TestClockRuns(t *testing.T) {
	c := New()
	first := c.Now()
	last := first
	must.Less(t, time.Minute, time.Since(last).Abs())
	for range 1000 {
		now := c.Now()
		must.False(t, now.Before(last))
		last = now
	}
	for range 10_000_000 {
		if c.Now().After(first) {
			return
		}
	}
	t.Fatal("the clock stands")
}
