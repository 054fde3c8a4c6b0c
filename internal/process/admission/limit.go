package admission

import "time"

const (
	// limitWindow is the least time over which figures are compared.
	limitWindow = 50 * time.Millisecond
	// limitWindowMax closes a window that has few completions.
	limitWindowMax = time.Second
	// limitSamples is the least number of completions in a full window.
	limitSamples = 64
	// slowRatio is the latency against the best one at which a lower limit is
	// tried.
	slowRatio = 2.0
	// cutShare is how much a trial lowers the limit.
	cutShare = 0.2
	// failCutShare is how much failures lower the limit.
	failCutShare = 0.3
	// failShare is the share of failures that lowers the limit.
	failShare = 0.2
	// growShare is how much the limit rises in a window.
	growShare = 1.0 / 16
	// busyShare is the part of the limit that must be in use for a window to
	// say anything about it.
	busyShare = 0.8
	// maxPause is the longest pause between trials, in windows.
	maxPause = 64
)

// limit learns how many concurrent requests a target bears. A rise in latency
// is only a hint, because a target may have become slow at any limit: the
// limit is lowered for one window and stays lowered only if the throughput did
// not fall with it. Failures lower it at once.
type limit struct {
	announced int
	value     float64
	// base is the best mean latency of a window, in nanoseconds, since a trial
	// last showed that the target is slow at any limit.
	base  float64
	trial trial
	pause int
	next  int

	start       time.Time
	completions int
	failures    int
	total       time.Duration
	peak        int
}

// trial is a lowered limit whose throughput is being measured.
type trial struct {
	active bool
	from   float64
	rate   float64
}

func newLimit(now time.Time, announced int) limit {
	return limit{announced: announced, value: float64(announced), next: 1, start: now}
}

// announce takes a changed number of slots.
func (l *limit) announce(slots int) {
	if slots == l.announced {
		return
	}
	l.announced = slots
	l.value = float64(slots)
	l.trial = trial{}
}

// current returns the limit in concurrent requests, at least 1 where any slot is
// announced.
func (l *limit) current() int {
	return min(max(int(l.value), 1), l.announced)
}

func (l *limit) dispatched(inFlight int) { l.peak = max(l.peak, inFlight) }

// completed counts one answer and closes the window where it is full.
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

func (l *limit) decide(age time.Duration) {
	if float64(l.failures) > failShare*float64(l.completions) {
		l.trial = trial{}
		l.value = max(1, l.value*(1-failCutShare))
		return
	}
	mean := float64(l.total) / float64(l.completions)
	rate := float64(l.completions) / age.Seconds()
	if l.base == 0 || mean < l.base {
		l.base = mean
	}
	busy := float64(l.peak) >= busyShare*l.value
	switch {
	case l.trial.active:
		l.judge(mean, rate)
	case l.pause > 0:
		l.pause--
	case busy && mean > slowRatio*l.base:
		l.lower(rate)
	case busy:
		l.value = min(float64(l.announced), l.value+max(1, l.value*growShare))
	}
}

func (l *limit) lower(rate float64) {
	l.trial = trial{active: true, from: l.value, rate: rate}
	l.value = max(1, l.value*(1-cutShare))
}

// judge ends a trial: a throughput that fell with the limit shows that the
// target is slow for another reason.
func (l *limit) judge(mean, rate float64) {
	from, before := l.trial.from, l.trial.rate
	l.trial = trial{}
	if rate >= before*(1-cutShare/2) {
		l.next = 1
		return
	}
	l.value = min(from, float64(l.announced))
	l.base = mean
	l.pause = l.next
	l.next = min(2*l.next, maxPause)
}
