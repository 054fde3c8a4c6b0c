package routing

import (
	"math"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// latencyAlpha is the weight of one attempt in the mean latency.
	latencyAlpha = 1.0 / 8
	// latencyFloor keeps a target that responds almost immediately from
	// attracting all requests.
	latencyFloor = 100 * time.Microsecond
	// confidenceHalfLife is how long the observations of a target count in
	// full. After that their weight halves in each further confidenceHalfLife.
	confidenceHalfLife = 500 * time.Millisecond
	// failureAlpha is the weight of one attempt in the failure rate.
	failureAlpha = 1.0 / 8
	// failureCost is the relative increase in cost at a failure rate of 1.
	failureCost = 10.0
	// shedCost is the relative increase in cost of a target that sheds
	// everything.
	shedCost = 4.0
	// rampTime is how long a new or returned target takes to reach its full
	// weight, and rampStart the fraction it starts with.
	rampTime  = time.Second
	rampStart = 0.1
	// coldWeight is the weight per slot of a target that announces itself cold.
	coldWeight = 0.02
	// leavingPause is how long a target is paused that rejects a request
	// because it is leaving.
	leavingPause = 500 * time.Millisecond
	// coldPause is how long a target is paused that rejects a request because
	// it is in cold start.
	coldPause = 50 * time.Millisecond
)

// targetStats is the state of one target as observed by this daemon.
type targetStats struct {
	record   protocol.TargetRecord
	inFlight int
	// latency is the mean time to the first byte, in nanoseconds.
	latency float64
	// lastObserved is the time at which the last attempt ended.
	lastObserved time.Time
	// inUseSince is the start of the ramp: when the target last became usable or
	// became warm, or the end of its last pause or ejection.
	inUseSince  time.Time
	pausedUntil time.Time
	ejection    ejection
	passRates   [version.ImportanceCount]passRate
	// usable and listed are set by refresh.
	usable bool
	listed bool
}

// weight returns the number of slots that the target counts for. It is reduced
// while the target is cold or ramps up.
func (t *targetStats) weight(now time.Time) float64 {
	slots := float64(max(t.record.Slots, 1))
	if t.record.State == protocol.Cold {
		return slots * coldWeight
	}
	rampFraction := float64(now.Sub(t.inUseSince)) / float64(rampTime)
	return slots * min(max(rampFraction, rampStart), 1)
}

// cost returns the expected latency, in nanoseconds, of a request of importance
// i at the target, weighted by load, failures and shedding. The lowest cost is
// best.
func (t *targetStats) cost(now time.Time, i version.Importance) float64 {
	confidence := t.confidence(now)
	latency := max(t.latency*confidence, float64(latencyFloor))
	load := float64(t.inFlight+1) / t.weight(now)
	shed := 1 - t.passRates[i-version.Critical].current(now)
	return latency * load * (1 + failureCost*t.ejection.failureRate*confidence) * (1 + shedCost*shed)
}

// confidence returns the weight that earlier observations still have, from 0 to
// 1. It decays because a target with a higher cost than the others is not
// selected, and must be tried again after some time.
func (t *targetStats) confidence(now time.Time) float64 {
	age := now.Sub(t.lastObserved)
	if age <= confidenceHalfLife {
		return 1
	}
	return math.Exp2(-float64(age-confidenceHalfLife) / float64(confidenceHalfLife))
}

// available reports whether the target may be selected now.
func (t *targetStats) available(now time.Time) bool {
	return t.usable && !now.Before(t.pausedUntil) && !t.ejection.active(now)
}

// observe records the end of an attempt. The longer ago the previous attempt
// ended, the higher the weight of this one.
func (t *targetStats) observe(now time.Time, latency time.Duration, failed bool) {
	confidence := t.confidence(now)
	t.lastObserved = now
	t.ejection.failureRate *= confidence
	t.ejection.observe(failed)
	v := float64(latency)
	if t.latency == 0 {
		t.latency = v
		return
	}
	t.latency += (v - t.latency) * max(latencyAlpha, 1-confidence)
}

// pause excludes the target for d. The target then ramps up again.
func (t *targetStats) pause(now time.Time, d time.Duration) {
	until := now.Add(d)
	if until.After(t.pausedUntil) {
		t.pausedUntil = until
		t.inUseSince = until
	}
}
