package admission

import "time"

const (
	// limitWindow is the least duration of a full measurement window.
	limitWindow = 50 * time.Millisecond
	// limitWindowMax is the duration after which a window with few completions
	// is closed.
	limitWindowMax = time.Second
	// limitSamples is the least number of completions in a full window.
	limitSamples = 64
	// slowRatio is the ratio of the mean latency to the baseline above which a
	// lower limit is tried.
	slowRatio = 2.0
	// trialCut is the fraction by which a trial lowers the limit.
	trialCut = 0.2
	// failureCut is the fraction by which failures lower the limit.
	failureCut = 0.3
	// maxFailureFraction is the fraction of failures above which the limit is
	// lowered.
	maxFailureFraction = 0.2
	// growthFraction is the fraction by which the limit grows in a window.
	growthFraction = 1.0 / 16
	// busyFraction is the fraction of the limit that must have been in use for a
	// window to count as evidence about the limit.
	busyFraction = 0.8
	// maxPause is the longest pause between trials, in windows.
	maxPause = 64
)

// limit learns how many concurrent requests a target sustains. Higher latency
// is only a hint, because a target may be slow at any limit. The limit is
// therefore lowered for one window, and stays lowered only if the throughput
// did not fall with it. Failures lower it at once.
type limit struct {
	announced int
	value     float64
	// baseline is the lowest mean latency of a window, in nanoseconds. It is
	// set anew when a trial shows that the target is slow at any limit.
	baseline float64
	trial    trial
	// pause is the number of windows until the next trial or growth, and
	// nextPause the pause after the next trial that does not lower the limit.
	pause     int
	nextPause int

	start       time.Time
	completions int
	failures    int
	total       time.Duration
	peak        int // highest number of requests in flight in the window
}

// trial is a lowered limit whose throughput is being measured.
type trial struct {
	active   bool
	previous float64 // limit before the trial
	rate     float64 // completions per second before the trial
}

func newLimit(now time.Time, announced int) limit {
	return limit{announced: announced, value: float64(announced), nextPause: 1, start: now}
}

// announce sets the number of announced slots. A change resets the learned
// limit.
func (l *limit) announce(slots int) {
	if slots == l.announced {
		return
	}
	l.announced = slots
	l.value = float64(slots)
	l.trial = trial{}
}

// current returns the limit in concurrent requests, at least 1 if any slots are
// announced.
func (l *limit) current() int {
	return min(max(int(l.value), 1), l.announced)
}

func (l *limit) dispatched(inFlight int) { l.peak = max(l.peak, inFlight) }

// completed counts one response and closes the window when it is full.
func (l *limit) completed(now time.Time, took time.Duration, failed bool) {
	l.completions++
	l.total += took
	if failed {
		l.failures++
	}
	age := now.Sub(l.start)
	full := l.completions >= max(limitSamples, 4*l.current()) && age >= limitWindow
	if full || age >= limitWindowMax {
		l.decide(age)
		l.restart(now)
	}
}

func (l *limit) restart(now time.Time) {
	l.start = now
	l.completions, l.failures, l.total, l.peak = 0, 0, 0, 0
}

// decide adjusts the limit by the results of a window that lasted age.
func (l *limit) decide(age time.Duration) {
	if float64(l.failures) > maxFailureFraction*float64(l.completions) {
		l.trial = trial{}
		l.value = max(1, l.value*(1-failureCut))
		return
	}
	mean := float64(l.total) / float64(l.completions)
	rate := float64(l.completions) / age.Seconds()
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	}
	busy := float64(l.peak) >= busyFraction*l.value
	switch {
	case l.trial.active:
		l.endTrial(mean, rate)
	case l.pause > 0:
		l.pause--
	case busy && mean > slowRatio*l.baseline:
		l.beginTrial(rate)
	case busy:
		l.value = min(float64(l.announced), l.value+max(1, l.value*growthFraction))
	}
}

func (l *limit) beginTrial(rate float64) {
	l.trial = trial{active: true, previous: l.value, rate: rate}
	l.value = max(1, l.value*(1-trialCut))
}

// endTrial ends a trial. mean and rate are the mean latency in nanoseconds and
// the throughput during it. If the throughput fell with the limit, the target is
// slow for another reason and the limit is restored.
func (l *limit) endTrial(mean, rate float64) {
	previous, previousRate := l.trial.previous, l.trial.rate
	l.trial = trial{}
	if rate >= previousRate*(1-trialCut/2) {
		l.nextPause = 1
		return
	}
	l.value = min(previous, float64(l.announced))
	l.baseline = mean
	l.pause = l.nextPause
	l.nextPause = min(2*l.nextPause, maxPause)
}
