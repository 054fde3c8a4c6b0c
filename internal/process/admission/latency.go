package admission

import "time"

const (
	fastShare = 1.0 / 8
	slowShare = 1.0 / 256
	// jumpRatio is how far the recent mean must lie above the usual one.
	jumpRatio = 2.0
	// jumpShare is the part of the recent times that must be slow for a jump.
	jumpShare = 0.5
	// jumpStreak is how many slow times in a row are a jump as well.
	jumpStreak = 4
	// minJump is the least difference that counts as a jump.
	minJump = 2 * time.Millisecond
	// minSamples is how many samples the usual mean needs to be of use.
	minSamples = 16
	// tailQuantile is the quantile that tail follows.
	tailQuantile = 0.95
	// tailStep is the step of tail as a share of the mean.
	tailStep = 0.1
	// slowMargin is how far above it a time counts as slow.
	slowMargin = 1.1
)

// latency follows the times of one target: the usual mean, the mean of the
// last few, and a high quantile.
type latency struct {
	samples int
	fast    float64
	slow    float64
	tail    float64
	// peak is the largest of the first samples.
	peak float64
	// share is the part of the last few times that were slow, and streak counts
	// the last ones that all were.
	share  float64
	streak int
}

func (l *latency) observe(d time.Duration) {
	v := float64(d)
	l.samples++
	if l.samples == 1 {
		l.fast, l.slow, l.peak = v, v, v
		return
	}
	l.fast += (v - l.fast) * max(fastShare, 1/float64(l.samples))
	l.slow += (v - l.slow) * l.slowWeight(v)
	l.follow(v)
}

// follow moves tail towards its quantile. It begins at the second largest of the
// first samples, rather low, because it rises faster than it falls.
func (l *latency) follow(v float64) {
	if l.samples <= minSamples {
		l.tail = max(l.tail, min(l.peak, v))
		l.peak = max(l.peak, v)
		return
	}
	l.share -= l.share * fastShare
	if l.slowNow(v) {
		l.share += fastShare
		l.streak++
	} else {
		l.streak = 0
	}
	step := l.slow * tailStep
	if v > l.tail {
		l.tail += step * tailQuantile
		return
	}
	l.tail -= step * (1 - tailQuantile)
}

// slowWeight is the weight of v in the usual mean: a full share while there are
// few samples, but not for those that may belong to a jump.
func (l *latency) slowWeight(v float64) float64 {
	if l.samples >= minSamples && l.slowNow(v) {
		return slowShare
	}
	return max(slowShare, 1/float64(l.samples))
}

// jumped reports whether the last few times lie far above the usual ones: most
// of them, or streak in a row. The mean alone does not show it, because one
// request in many may always take far longer.
func (l *latency) jumped(streak int) bool {
	if l.samples < minSamples {
		return false
	}
	if l.fast-l.slow < float64(minJump) {
		return false
	}
	if l.fast < jumpRatio*l.slow {
		return false
	}
	return l.share > jumpShare || l.streak >= streak
}

// slowNow reports whether v is clearly above the high quantile.
func (l *latency) slowNow(v float64) bool { return v > slowMargin*l.tail }

func (l *latency) mean() time.Duration { return time.Duration(l.slow) }
