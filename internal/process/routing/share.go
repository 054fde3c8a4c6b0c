package routing

import "slices"

const (
	// demandKeep is the part of a team's counted demand that the next refresh
	// keeps.
	demandKeep = 0.75
	// minDemand is the demand below which a team is forgotten.
	minDemand = 0.05
)

// demand is what one team asked for lately, and the part of it that passes.
type demand struct {
	team   string
	count  float64
	weight float64
	part   float64
}

// shares divides what passes of one importance among teams: a team below its
// fair share keeps all, the others the same amount for each unit of weight.
type shares struct {
	teams map[string]*demand
	// order holds the same demands, so that sums are the same each run.
	order []*demand
}

// arrived counts one request of team.
func (s *shares) arrived(team string, weight uint32) *demand {
	if s.teams == nil {
		s.teams = make(map[string]*demand)
	}
	d, ok := s.teams[team]
	if !ok {
		d = &demand{team: team, part: 1}
		s.teams[team] = d
		s.order = append(s.order, d)
	}
	d.weight = float64(max(weight, 1))
	d.count++
	return d
}

// divide sets each team's part so that together they make up part of the whole
// demand, and lets the counts fade.
func (s *shares) divide(part float64) {
	s.forget()
	total := 0.0
	for _, d := range s.order {
		total += d.count
	}
	slices.SortStableFunc(s.order, byNeed)
	fill(s.order, part*total)
	for _, d := range s.order {
		d.count *= demandKeep
	}
}

// forget drops the teams that ask for nothing any more.
func (s *shares) forget() {
	s.order = slices.DeleteFunc(s.order, func(d *demand) bool {
		if d.count >= minDemand {
			return false
		}
		delete(s.teams, d.team)
		return true
	})
}

// fill gives each of the sorted demands its max-min fair part of room.
func fill(sorted []*demand, room float64) {
	weights := 0.0
	for _, d := range sorted {
		weights += d.weight
	}
	for _, d := range sorted {
		fair := room * d.weight / weights
		given := min(fair, d.count)
		d.part = given / d.count
		room -= given
		weights -= d.weight
	}
}

func byNeed(a, b *demand) int {
	x, y := a.count*b.weight, b.count*a.weight
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}
