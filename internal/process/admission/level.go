package admission

import (
	"math"
	"time"

	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/hop"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// levelWindow is the time between two adjustments of the level.
	levelWindow = 50 * time.Millisecond
	// levelGain is the least fraction of the excess rejections that one window
	// cuts. If the fraction of rejected requests is larger, that fraction of the
	// excess is cut.
	levelGain = 0.5
	// maxRejectedFraction is the fraction of rejected requests up to which the
	// level is not cut: that many rejections keep the target busy.
	maxRejectedFraction = 0.2
	// minOpen is the fraction of the most important requests that always
	// passes, so that the end of an overload can be observed.
	minOpen = 0.05
	// firstOpen is the fraction of an importance that passes first after all of
	// it was shed.
	firstOpen = 0.05
	// minRise and maxRise bound the growth factor of one window.
	minRise = 1.05
	maxRise = 2.0
	// targetUtilization is the slot utilization that a rise aims at.
	targetUtilization = 0.95
	// maxMissed bounds the number of windows that one step accounts for after a
	// time without events.
	maxMissed = 4
)

// level is the threshold of importance and cohort below which senders are told
// to shed. It is kept as one number, open: its integer part counts the
// importances that pass, the remainder is the fraction of the next one that
// passes.
type level struct {
	open     float64
	start    time.Time
	arrivals [version.ImportanceCount]int
	rejected int
	// standing is true while the queue has not been empty in this window.
	standing bool
	// busy is the slot utilization integrated over the window, in seconds.
	busy float64
}

func newLevel(now time.Time) level {
	return level{open: version.ImportanceCount, start: now}
}

func (l *level) arrived(i version.Importance) { l.arrivals[i-version.Critical]++ }

// step closes the windows that ended before now. waiting reports whether the
// queue is non-empty now.
func (l *level) step(now time.Time, waiting bool) {
	age := now.Sub(l.start)
	if age < levelWindow {
		return
	}
	missed := min(int(age/levelWindow), maxMissed)
	l.adjust(l.busy / age.Seconds())
	for range missed - 1 {
		l.raise(maxRise)
	}
	*l = level{open: l.open, start: now, standing: waiting}
}

// adjust cuts or raises the level at the end of a window. utilization is the
// fraction of the slots that were in use.
func (l *level) adjust(utilization float64) {
	arrivals := l.total()
	switch {
	case float64(l.rejected) > maxRejectedFraction*float64(arrivals):
		excess := float64(l.rejected) - maxRejectedFraction*float64(arrivals)
		l.cut(excess * max(levelGain, float64(l.rejected)/float64(arrivals)))
	case l.rejected == 0 && !l.standing:
		l.raise(min(max(targetUtilization/max(utilization, 0.01), minRise), maxRise))
	}
}

func (l *level) total() int {
	n := 0
	for _, a := range l.arrivals {
		n += a
	}
	return n
}

// cut lowers the level so that volume fewer requests pass per window, the least
// important first.
func (l *level) cut(volume float64) {
	for volume > 0 && l.open > 0 {
		i := int(math.Ceil(l.open)) - 1
		passing := float64(l.arrivals[i])
		fraction := l.open - float64(i)
		if passing > volume {
			l.open = float64(i) + fraction*(1-volume/passing)
			break
		}
		volume -= passing
		l.open = float64(i)
	}
	l.open = max(l.open, minOpen)
}

// raise increases the passing fraction of the marginal importance so that the
// total volume grows by factor.
func (l *level) raise(factor float64) {
	i := math.Floor(l.open)
	if i >= version.ImportanceCount {
		return
	}
	fraction := l.open - i
	growth := l.growth(int(i), factor)
	l.open = i + min(max(fraction*growth, firstOpen), 1)
}

// growth returns the factor for the marginal importance i at which the total
// volume grows by factor.
func (l *level) growth(i int, factor float64) float64 {
	passing := float64(l.arrivals[i])
	if passing == 0 {
		return maxRise
	}
	return 1 + (factor-1)*float64(l.total())/passing
}

// current returns the level in the form that responses carry.
func (l *level) current() hop.Level {
	i := math.Floor(l.open)
	if i >= version.ImportanceCount {
		return hop.Level{Importance: version.Low, Cohort: envelope.CohortCount}
	}
	cohort := math.Round((l.open - i) * envelope.CohortCount)
	return hop.Level{Importance: version.Critical + version.Importance(i), Cohort: uint8(cohort)}
}
