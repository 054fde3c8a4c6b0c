package admission

import "time"

const (
	// recentAlpha and usualAlpha are the weights of one sample in the recent and
	// in the usual mean.
	recentAlpha = 1.0 / 8
	usualAlpha  = 1.0 / 256
	// jumpRatio is the ratio of the recent mean to the usual mean from which
	// the difference counts as a jump.
	jumpRatio = 2.0
	// jumpFraction is the fraction of recent latencies that must be slow for a
	// jump.
	jumpFraction = 0.5
	// jumpStreak is the number of consecutive slow latencies that counts as a
	// jump as well.
	jumpStreak = 4
	// minJump is the least difference of the means that counts as a jump.
	minJump = 2 * time.Millisecond
	// minSamples is the number of samples from which the usual mean is
	// reliable.
	minSamples = 16
	// tailQuantile is the quantile that tail estimates.
	tailQuantile = 0.95
	// tailStep is the step size of the tail estimate as a fraction of the usual
	// mean.
	tailStep = 0.1
	// slowMargin is the ratio to the tail estimate above which a latency counts
	// as slow.
	slowMargin = 1.1
)

// latency tracks the latencies of one target: the usual mean, which is a
// long-term average, the mean of the last few samples, and a high quantile. The
// values are in nanoseconds.
type latency struct {
	samples    int
	recentMean float64
	usualMean  float64
	tail       float64
	// peak is the largest of the first minSamples samples.
	peak float64
	// slowFraction is the fraction of recent samples that were slow, and streak
	// the number of consecutive slow ones at the end.
	slowFraction float64
	streak       int
	// held is the number of slow samples that have had no effect on tail yet.
	held int
}

func (l *latency) observe(d time.Duration) {
	v := float64(d)
	l.samples++
	if l.samples == 1 {
		l.recentMean, l.usualMean, l.peak = v, v, v
		return
	}
	l.recentMean += (v - l.recentMean) * max(recentAlpha, 1/float64(l.samples))
	l.usualMean += (v - l.usualMean) * l.usualWeight(v)
	l.updateTail(v)
}

// updateTail moves tail towards its quantile. The estimate starts low, at the
// second largest of the first samples, because it rises faster than it falls. Up to
// jumpStreak consecutive slow samples take effect only after the streak, so that a
// jump does not raise the tail by which it is judged.
func (l *latency) updateTail(v float64) {
	if l.samples <= minSamples {
		l.tail = max(l.tail, min(l.peak, v))
		l.peak = max(l.peak, v)
		return
	}
	l.slowFraction -= l.slowFraction * recentAlpha
	step := l.usualMean * tailStep
	if l.isSlow(v) {
		l.slowFraction += recentAlpha
		l.streak++
		l.held++
		if l.streak > jumpStreak {
			l.raiseHeld(step)
		}
		return
	}
	l.streak = 0
	l.raiseHeld(step)
	if v > l.tail {
		l.tail += step * tailQuantile
		return
	}
	l.tail -= step * (1 - tailQuantile)
}

// raiseHeld raises tail by the slow samples that have had no effect on it yet.
func (l *latency) raiseHeld(step float64) {
	l.tail += float64(l.held) * step * tailQuantile
	l.held = 0
}

// usualWeight returns the weight of v in the usual mean: that of a plain
// average while there are few samples, except for slow samples that may belong
// to a jump.
func (l *latency) usualWeight(v float64) float64 {
	if l.samples >= minSamples && l.isSlow(v) {
		return usualAlpha
	}
	return max(usualAlpha, 1/float64(l.samples))
}

// jumped reports whether the last few latencies are far above the usual ones:
// most of them are slow, or at least streak in a row are. The recent mean alone
// is no evidence, because one request in many may always take far longer.
func (l *latency) jumped(streak int) bool {
	if l.samples < minSamples {
		return false
	}
	if l.recentMean-l.usualMean < float64(minJump) {
		return false
	}
	if l.recentMean < jumpRatio*l.usualMean {
		return false
	}
	return l.slowFraction > jumpFraction || l.streak >= streak
}

// isSlow reports whether v is clearly above the tail estimate.
func (l *latency) isSlow(v float64) bool { return v > slowMargin*l.tail }

func (l *latency) mean() time.Duration { return time.Duration(l.usualMean) }
