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
	// tailFirst widens the first steps.
	tailFirst = 2.0
	// streakLength is how many times in a row above the high quantile count as
	// a jump, where the recent mean also lies streakRatio above the usual one.
	streakLength = 3
	streakRatio  = 2.0
)

// latency follows the times of one target: the usual mean, the mean of the
// last few, and a high quantile.
type latency struct {
	samples int
	fast    float64
	slow    float64
	tail    float64
	// streak counts the last times that were all above tail.
	streak int
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
	step := l.slow * max(tailStep, tailFirst/float64(l.samples))
	if v > l.tail {
		l.streak++
		l.tail += step * tailQuantile
		return
	}
	l.streak = 0
	l.tail = max(l.tail-step*(1-tailQuantile), 0)
}

// jumped reports whether the last few times lie far above the usual ones.
func (l *latency) jumped() bool {
	if l.samples < minSamples {
		return false
	}
	if l.fast-l.slow < float64(minJump) {
		return false
	}
	if l.streak >= streakLength && l.fast > streakRatio*l.slow {
		return true
	}
	return l.fast > jumpRatio*l.slow
}

// slowNow reports whether d is above the high quantile.
func (l *latency) slowNow(d time.Duration) bool { return float64(d) > l.tail }

func (l *latency) mean() time.Duration { return time.Duration(l.slow) }
