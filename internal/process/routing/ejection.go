package routing

import "time"

const (
	// ejectSamples is the least number of answers before an ejection.
	ejectSamples = 5
	// ejectFailing is the share of failures that ejects a target.
	ejectFailing = 0.5
	// ejectOutlier is how many times the failures of the others it must reach.
	ejectOutlier = 2.0
	// ejectTime is the first time out; it doubles with each ejection.
	ejectTime    = 500 * time.Millisecond
	ejectTimeMax = 10 * time.Second
	// ejectForget is the time without an ejection that starts over.
	ejectForget = 30 * time.Second
	// ejectDivisor bounds the ejected targets to one in so many, rounded up.
	ejectDivisor = 3
)

// ejection keeps a target's failures and whether it is out because of them.
type ejection struct {
	failing float64
	samples int
	until   time.Time
	count   int
}

func (e *ejection) active(now time.Time) bool { return now.Before(e.until) }

func (e *ejection) observe(failed bool) {
	e.samples++
	v := 0.0
	if failed {
		v = 1
	}
	e.failing += (v - e.failing) * failureShare
}

// due reports whether the target fails enough, also against the others.
func (e *ejection) due(others float64) bool {
	return e.samples >= ejectSamples && e.failing > ejectFailing && e.failing > ejectOutlier*others
}

// eject takes the target out and returns until when.
func (e *ejection) eject(now time.Time) time.Time {
	if now.Sub(e.until) > ejectForget {
		e.count = 0
	}
	d := min(ejectTime<<min(e.count, 8), ejectTimeMax)
	e.count++
	e.until = now.Add(d)
	e.failing, e.samples = 0, 0
	return e.until
}
