package routing

import (
	"math"
	"time"

	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/hop"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// passRateWindow is the time constant of the moving average over responses.
	passRateWindow = 100 * time.Millisecond
	// minResponseWeight is the least weight of one response.
	minResponseWeight = 1.0 / 16
	// passRateLifetime is how long a pass rate is valid without a new response.
	// After that it doubles in each further passRateLifetime.
	passRateLifetime = 250 * time.Millisecond
	// probeFraction is the least fraction of the requests of an importance that
	// is sent, so that the end of an overload is noticed.
	probeFraction = 0.01
)

// passRate is the fraction of the requests of one importance that is not shed,
// averaged over the levels in the responses to such requests.
type passRate struct {
	value     float64
	updatedAt time.Time
}

// observe records the fraction that passes at the level of one response. ok is
// false if the request failed. The rarer the responses, the higher the weight of
// each. A failed request does not raise the rate, because hops further
// downstream that it did not reach may shed more.
func (p *passRate) observe(now time.Time, fraction float64, ok bool) {
	if p.updatedAt.IsZero() {
		p.value = 1
	}
	weight := 1 - math.Exp(-float64(now.Sub(p.updatedAt))/float64(passRateWindow))
	v := p.current(now)
	if !ok {
		fraction = min(fraction, v)
	}
	p.value = v + (fraction-v)*max(weight, minResponseWeight)
	p.updatedAt = now
}

// current returns the pass rate at now, from 0 to 1.
func (p *passRate) current(now time.Time) float64 {
	if p.updatedAt.IsZero() {
		return 1
	}
	age := now.Sub(p.updatedAt) - passRateLifetime
	if age <= 0 {
		return p.value
	}
	grown := max(p.value, probeFraction) * math.Exp2(float64(age)/float64(passRateLifetime))
	return min(grown, 1)
}

// passFraction returns the fraction of importance i that passes at level l.
func passFraction(l hop.Level, i version.Importance) float64 {
	switch {
	case i < l.Importance:
		return 1
	case i > l.Importance:
		return 0
	}
	return min(float64(l.Cohort)/envelope.CohortCount, 1)
}
