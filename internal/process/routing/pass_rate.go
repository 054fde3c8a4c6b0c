package routing

import (
	"math"
	"time"

	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/hop"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// passingTime is the time over which answers are averaged.
	passingTime = 100 * time.Millisecond
	// passingShare is the least weight of one answer.
	passingShare = 1.0 / 16
	// passingLife is how long a level is good without a new answer; after it,
	// the part that passes doubles once in each passingLife.
	passingLife = 250 * time.Millisecond
	// probePart is the least part of an importance that is sent, so that the
	// end of an overload is noticed.
	probePart = 0.01
)

// passing is the part of one importance that passes, by the levels that came
// back on answers to that importance.
type passing struct {
	part float64
	at   time.Time
}

// observe takes the level of one answer: the rarer they are, the more each
// counts. A refusal does not raise the part, because the deeper hops that the
// request did not reach may shed more.
func (p *passing) observe(now time.Time, part float64, whole bool) {
	if p.at.IsZero() {
		p.part = 1
	}
	weight := 1 - math.Exp(-float64(now.Sub(p.at))/float64(passingTime))
	v := p.current(now)
	if !whole {
		part = min(part, v)
	}
	p.part = v + (part-v)*max(weight, passingShare)
	p.at = now
}

// current is the part from 0 to 1.
func (p *passing) current(now time.Time) float64 {
	if p.at.IsZero() {
		return 1
	}
	age := now.Sub(p.at) - passingLife
	if age <= 0 {
		return p.part
	}
	grown := max(p.part, probePart) * math.Exp2(float64(age)/float64(passingLife))
	return min(grown, 1)
}

// partOf is the part of importance i that passes at level l.
func partOf(l hop.Level, i version.Importance) float64 {
	switch {
	case i < l.Importance:
		return 1
	case i > l.Importance:
		return 0
	}
	return min(float64(l.Cohort)/envelope.CohortCount, 1)
}
