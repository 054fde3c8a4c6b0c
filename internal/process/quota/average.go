package quota

import (
	"math"
	"time"
)

// usageWindow is the time over which a team's spending rate is averaged.
const usageWindow = 3 * time.Second

// average is an exponential moving average of events per second over usageWindow. The
// averages of parts add up to that of the whole.
type average struct {
	perSecond float64
	updatedAt time.Time
}

// add counts n events.
func (a *average) add(now time.Time, n int) {
	a.decay(now)
	a.perSecond += float64(n) / usageWindow.Seconds()
}

// value returns the average at now.
func (a *average) value(now time.Time) float64 {
	a.decay(now)
	return a.perSecond
}

func (a *average) decay(now time.Time) {
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		a.perSecond *= math.Exp(-elapsed.Seconds() / usageWindow.Seconds())
		a.updatedAt = now
	}
}
