package routing

import "time"

const (
	// ejectSamples is the least number of attempts before an ejection.
	ejectSamples = 5
	// ejectFailureRate is the failure rate above which a target may be ejected.
	ejectFailureRate = 0.5
	// ejectOutlier is the ratio of the target's failure rate to the mean of the
	// other targets that must be exceeded as well.
	ejectOutlier = 2.0
	// ejectTime is the duration of the first ejection. It doubles with each
	// further one up to ejectTimeMax.
	ejectTime    = 500 * time.Millisecond
	ejectTimeMax = 10 * time.Second
	// ejectResetAfter is the time without an ejection after which the duration
	// starts at ejectTime again.
	ejectResetAfter = 30 * time.Second
	// ejectDivisor bounds the number of ejected targets to one in ejectDivisor,
	// rounded up.
	ejectDivisor = 3
)

// ejection tracks the failure rate of a target for outlier ejection, and
// whether the target is ejected.
type ejection struct {
	failureRate float64
	samples     int // attempts since the last ejection
	until       time.Time
	count       int // consecutive ejections, reset after ejectResetAfter
}

func (e *ejection) active(now time.Time) bool { return now.Before(e.until) }

func (e *ejection) observe(failed bool) {
	e.samples++
	v := 0.0
	if failed {
		v = 1
	}
	e.failureRate += (v - e.failureRate) * failureAlpha
}

// shouldEject reports whether the failure rate of the target is high, both in
// itself and compared with othersRate, the mean of the other targets.
func (e *ejection) shouldEject(othersRate float64) bool {
	return e.samples >= ejectSamples && e.failureRate > ejectFailureRate && e.failureRate > ejectOutlier*othersRate
}

// eject ejects the target and returns the end of the ejection.
func (e *ejection) eject(now time.Time) time.Time {
	if now.Sub(e.until) > ejectResetAfter {
		e.count = 0
	}
	d := min(ejectTime<<min(e.count, 8), ejectTimeMax)
	e.count++
	e.until = now.Add(d)
	e.failureRate, e.samples = 0, 0
	return e.until
}
