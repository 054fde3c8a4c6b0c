package admission

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
}

func (c *coldStart) restart(limit, rounds int) {
	c.active = true
	c.limit = max(limit, 1)
	c.rounds = rounds
	c.stage++
	c.completed = 0
}

// succeeded counts one completion and returns true where the target has become
// warm.
func (c *coldStart) succeeded(stage uint64, full int) bool {
	if !c.active || stage != c.stage {
		return false
	}
	c.completed++
	if c.completed < c.rounds*c.limit {
		return false
	}
	if c.limit >= full {
		c.active = false
		return true
	}
	c.limit = min(2*c.limit, full)
	c.stage++
	c.completed = 0
	return false
}
