package routing

import "slices"

const (
	// demandDecay is the factor applied to the counted demand of a team at each
	// refresh.
	demandDecay = 0.75
	// minDemand is the demand below which a team is removed.
	minDemand = 0.05
)

// demand is the recent demand of one team and the fraction of it that passes.
type demand struct {
	team     string
	count    float64
	weight   float64
	fraction float64
}

// shares divides the requests of one importance that pass among teams: teams
// below their fair share pass completely, the others get the same number of
// requests per unit of weight.
type shares struct {
	teams map[string]*demand
	// order holds the same demands in a fixed order, so that floating-point
	// sums are reproducible.
	order []*demand
}

// arrived counts one request of team and returns the demand of the team.
func (s *shares) arrived(team string, weight uint32) *demand {
	if s.teams == nil {
		s.teams = make(map[string]*demand)
	}
	d, ok := s.teams[team]
	if !ok {
		d = &demand{team: team, fraction: 1}
		s.teams[team] = d
		s.order = append(s.order, d)
	}
	d.weight = float64(max(weight, 1))
	d.count++
	return d
}

// divide sets the fraction of each team so that together they make up the given
// fraction of the total demand, and decays the counts.
func (s *shares) divide(fraction float64) {
	s.removeIdle()
	total := 0.0
	for _, d := range s.order {
		total += d.count
	}
	slices.SortStableFunc(s.order, byDemandPerWeight)
	allocate(s.order, fraction*total)
	for _, d := range s.order {
		d.count *= demandDecay
	}
}

// removeIdle removes the teams whose demand is below minDemand.
func (s *shares) removeIdle() {
	s.order = slices.DeleteFunc(s.order, func(d *demand) bool {
		if d.count >= minDemand {
			return false
		}
		delete(s.teams, d.team)
		return true
	})
}

// allocate gives each of the sorted demands its max-min fair share of capacity.
func allocate(sorted []*demand, capacity float64) {
	weights := 0.0
	for _, d := range sorted {
		weights += d.weight
	}
	for _, d := range sorted {
		fair := capacity * d.weight / weights
		allocated := min(fair, d.count)
		d.fraction = allocated / d.count
		capacity -= allocated
		weights -= d.weight
	}
}

func byDemandPerWeight(a, b *demand) int {
	x, y := a.count*b.weight, b.count*a.weight
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}
