package admission

import "time"

const (
	// coldLimit is the first limit of a cold target, in concurrent requests.
	coldLimit = 1
	// warmDivisor divides the slots to give the first limit of a new
	// incarnation that announces itself warm.
	warmDivisor = 8
	// coldRounds times the limit is the number of requests that must complete
	// before the limit of a cold target doubles. warmRounds is the same for a
	// new incarnation that announces itself warm.
	coldRounds = 2
	warmRounds = 1
	// stageSamples is the number of completions from which the mean latency of a
	// stage is compared with that of the best stage.
	stageSamples = 16
	// minSaturatedLimit is the lowest limit at which a latency jump is
	// attributed to the limit.
	minSaturatedLimit = 8
	// stageRatio bounds the ratio of the mean latency of a stage to that of the
	// best stage. Above it, the limit exceeds the target's capacity.
	stageRatio = 1.6
)

// coldStart limits a target whose capacity is not known yet. The limit doubles
// only on evidence: completions of requests that were dispatched under the
// current limit, without an error and without a latency jump.
type coldStart struct {
	active bool
	limit  int
	rounds int
	// stage numbers the limits. Completions of requests from an earlier stage
	// are not counted.
	stage     uint64
	completed int
	// total is the sum of the target's own times of the completed requests.
	total time.Duration
	// bestMean is the lowest mean latency of a completed stage, 0 before the
	// first one.
	bestMean time.Duration
}

// stageResult is the conclusion from a completion.
type stageResult uint8

const (
	// undecided means that more completions are needed.
	undecided stageResult = iota
	// warmed means that the target sustains the full limit.
	warmed
	// saturated means that the latency rose at the last limit.
	saturated
)

func (c *coldStart) restart(limit, rounds int) {
	*c = coldStart{active: true, stage: c.stage}
	c.rounds = rounds
	c.advance(max(limit, 1))
}

// advance begins the next stage, with the given limit.
func (c *coldStart) advance(limit int) {
	c.limit = limit
	c.stage++
	c.completed, c.total = 0, 0
}

// succeeded counts one completion of a request of the given stage. full is the
// limit at which the cold start ends.
func (c *coldStart) succeeded(stage uint64, ownTime time.Duration, full int) stageResult {
	if stage != c.stage {
		return undecided
	}
	c.completed++
	c.total += ownTime
	if c.completed < c.rounds*c.limit {
		return undecided
	}
	if c.slowerThanBest() {
		c.active = false
		return saturated
	}
	if c.limit >= full {
		c.active = false
		return warmed
	}
	c.advance(min(2*c.limit, full))
	return undecided
}

// slowerThanBest reports whether the current stage was slower than the best one
// by more than stageRatio, and updates the best mean.
func (c *coldStart) slowerThanBest() bool {
	if c.completed < stageSamples {
		return false
	}
	mean := c.total / time.Duration(c.completed)
	if c.bestMean > 0 && float64(mean) > stageRatio*float64(c.bestMean) {
		return true
	}
	if c.bestMean == 0 || mean < c.bestMean {
		c.bestMean = mean
	}
	return false
}
