package admission

import "time"

const (
	// coldLimit is the first limit of a cold target, in concurrent requests.
	coldLimit = 1
	// warmShare is the divisor of the slots that a target gets at once if it
	// announced itself warm from its start.
	warmShare = 8
	// coldRounds is how many times the limit of a cold target must have
	// completed before it doubles; warmRounds the same for one that announced
	// itself warm from its start.
	coldRounds = 2
	warmRounds = 1
	// stageSamples is how many completions a stage needs to be compared.
	stageSamples = 16
	// strainLimit is the least limit at which a jump in latency is put down to
	// the limit.
	strainLimit = 8
	// stageRatio is how far the mean time of a stage must lie above the best
	// one to show that the target does not bear the limit.
	stageRatio = 1.6
)

// coldStart limits a target that has not shown what it bears. The limit
// doubles on evidence only: completions of requests that were dispatched under
// this limit, without an error and without a jump in latency.
type coldStart struct {
	active bool
	limit  int
	rounds int
	// stage numbers the limits; evidence of an earlier stage counts nothing.
	stage     uint64
	completed int
	total     time.Duration
	// best is the least mean time of a stage, 0 before one has ended.
	best time.Duration
}

// verdict is what a completion showed.
type verdict uint8

const (
	// undecided needs more evidence.
	undecided verdict = iota
	// warmed bears the whole limit.
	warmed
	// strained became slower at the last limit.
	strained
)

func (c *coldStart) restart(limit, rounds int) {
	*c = coldStart{active: true, stage: c.stage}
	c.rounds = rounds
	c.advance(max(limit, 1))
}

func (c *coldStart) advance(limit int) {
	c.limit = limit
	c.stage++
	c.completed, c.total = 0, 0
}

// succeeded counts one completion of a request of the given stage. full is the
// limit at which the cold start ends.
func (c *coldStart) succeeded(stage uint64, own time.Duration, full int) verdict {
	if stage != c.stage {
		return undecided
	}
	c.completed++
	c.total += own
	if c.completed < c.rounds*c.limit {
		return undecided
	}
	if c.compare() {
		c.active = false
		return strained
	}
	if c.limit >= full {
		c.active = false
		return warmed
	}
	c.advance(min(2*c.limit, full))
	return undecided
}

// compare reports whether the stage was slower than the best one.
func (c *coldStart) compare() bool {
	if c.completed < stageSamples {
		return false
	}
	mean := c.total / time.Duration(c.completed)
	if c.best > 0 && float64(mean) > stageRatio*float64(c.best) {
		return true
	}
	if c.best == 0 || mean < c.best {
		c.best = mean
	}
	return false
}
