package routing

import (
	"math"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// latencyShare is the weight of one answer in the latency.
	latencyShare = 1.0 / 8
	// latencyFloor keeps a target that answers at once from drawing everything.
	latencyFloor = 100 * time.Microsecond
	// knownLife is how long what was learnt of a target counts in full; after
	// it, it halves once in each knownLife.
	knownLife = 500 * time.Millisecond
	// failureShare is the weight of one answer in the share of failures.
	failureShare = 1.0 / 8
	// failureCost is how much a share of failures of 1 adds to the cost.
	failureCost = 10.0
	// shedCost is how much a target that sheds everything adds to the cost.
	shedCost = 4.0
	// rampTime is how long a newcomer or a returned target takes to its full
	// weight, and rampStart where it begins.
	rampTime  = time.Second
	rampStart = 0.1
	// coldWeight is the weight of a target that announces itself cold.
	coldWeight = 0.02
	// leavingPause is how long a target that refuses as leaving is left alone.
	leavingPause = 500 * time.Millisecond
	// coldPause is how long a target that refuses in cold start is left alone.
	coldPause = 50 * time.Millisecond
)

// peer is one target as this process sees it.
type peer struct {
	record   protocol.TargetRecord
	inFlight int
	// latency is the mean time to the first byte, in nanoseconds.
	latency float64
	// heard is when the last answer came.
	heard time.Time
	// since is when the target was last taken into use.
	since    time.Time
	paused   time.Time
	ejection ejection
	passing  [version.ImportanceCount]passing
	// usable and listed are set by refresh.
	usable bool
	listed bool
}

// weight is the share of work that the target should get, in slots.
func (p *peer) weight(now time.Time) float64 {
	slots := float64(max(p.record.Slots, 1))
	if p.record.State == protocol.Cold {
		return slots * coldWeight
	}
	part := float64(now.Sub(p.since)) / float64(rampTime)
	return slots * min(max(part, rampStart), 1)
}

// cost is the expected wait at the target of a request of importance i; the
// lowest is best.
func (p *peer) cost(now time.Time, i version.Importance) float64 {
	known := p.known(now)
	latency := max(p.latency*known, float64(latencyFloor))
	load := float64(p.inFlight+1) / p.weight(now)
	shed := 1 - p.passing[i-version.Critical].current(now)
	return latency * load * (1 + failureCost*p.ejection.failing*known) * (1 + shedCost*shed)
}

// known is how much of what was learnt still counts: a target that costs more
// than the others is not chosen, so it must be tried again after a time.
func (p *peer) known(now time.Time) float64 {
	age := now.Sub(p.heard)
	if age <= knownLife {
		return 1
	}
	return math.Exp2(-float64(age-knownLife) / float64(knownLife))
}

// available reports whether the target may be chosen now.
func (p *peer) available(now time.Time) bool {
	return p.usable && !now.Before(p.paused) && !p.ejection.active(now)
}

// answered takes the end of an attempt. The longer nothing was heard, the more
// it counts.
func (p *peer) answered(now time.Time, latency time.Duration, failed bool) {
	known := p.known(now)
	p.heard = now
	p.ejection.failing *= known
	p.ejection.observe(failed)
	v := float64(latency)
	if p.latency == 0 {
		p.latency = v
		return
	}
	p.latency += (v - p.latency) * max(latencyShare, 1-known)
}

// pause leaves the target alone for d; it comes back by ramp.
func (p *peer) pause(now time.Time, d time.Duration) {
	until := now.Add(d)
	if until.After(p.paused) {
		p.paused = until
		p.since = until
	}
}
