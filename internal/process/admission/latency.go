package admission

import "time"

const (
	fastShare = 1.0 / 8
	slowShare = 1.0 / 256
	// jumpRatio is how far the recent mean must lie above the usual one.
	jumpRatio = 3.0
	// minJump is the least difference that counts as a jump.
	minJump = 2 * time.Millisecond
	// minSamples is how many samples the usual mean needs to be of use.
	minSamples = 16
	// tailQuantile is the quantile that tail follows.
	tailQuantile = 0.95
	// tailStep is the step of tail as a share of the mean.
	tailStep = 0.1
)

// latency follows the times of one target: the usual mean, the mean of the
// last few, and a high quantile.
type latency struct {
	samples int
	fast    float64
	slow    float64
	tail    float64
}

func (l *latency) observe(d time.Duration) {
	v := float64(d)
	l.samples++
	if l.samples == 1 {
		l.fast, l.slow, l.tail = v, v, 2*v
		return
	}
	l.fast += (v - l.fast) * max(fastShare, 1/float64(l.samples))
	l.slow += (v - l.slow) * max(slowShare, 1/float64(l.samples))
	step := l.slow * tailStep
	if v > l.tail {
		l.tail += step * tailQuantile
		return
	}
	l.tail = max(l.tail-step*(1-tailQuantile), 0)
}

// jumped reports whether the last few times lie far above the usual ones.
func (l *latency) jumped() bool {
	if l.samples < minSamples {
		return false
	}
	return l.fast > jumpRatio*l.slow && l.fast-l.slow > float64(minJump)
}

func (l *latency) mean() time.Duration { return time.Duration(l.slow) }

func (l *latency) recent() time.Duration { return time.Duration(l.fast) }
