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
	// levelGain is the least part of the excess that one window cuts; where more
	// is refused, that share of it is cut.
	levelGain = 0.5
	// refusedShare is the share of refusals that keeps a target busy and needs
	// no cut.
	refusedShare = 0.2
	// minOpen is the part of the most important requests that always passes, so
	// that the level can be seen to recover.
	minOpen = 0.05
	// firstOpen is the part of an importance that passes first after it was
	// shed altogether.
	firstOpen = 0.05
	// Bounds of the rise in one window.
	minRise = 1.05
	maxRise = 2.0
	// aimUse is the use of the slots that a rise aims at.
	aimUse = 0.95
	// maxMissed bounds the windows made up for after a time without events.
	maxMissed = 4
)

// level is the threshold of importance and cohort that senders are asked to
// shed below. It is kept as one number: its whole part counts the importances
// that pass, the rest is the part of the next one that passes.
type level struct {
	open     float64
	start    time.Time
	arrivals [version.ImportanceCount]int
	refused  int
	// stood is true while the queue has not been empty in this window.
	stood bool
	// busy sums the use of the slots over the window, in seconds.
	busy float64
}

func newLevel(now time.Time) level {
	return level{open: version.ImportanceCount, start: now}
}

func (l *level) arrived(i version.Importance) { l.arrivals[i-version.Critical]++ }

// step closes the windows that ended before now. waiting says whether the
// queue holds anything now.
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
	*l = level{open: l.open, start: now, stood: waiting}
}

func (l *level) adjust(use float64) {
	arrivals := l.total()
	switch {
	case float64(l.refused) > refusedShare*float64(arrivals):
		excess := float64(l.refused) - refusedShare*float64(arrivals)
		l.cut(excess * max(levelGain, float64(l.refused)/float64(arrivals)))
	case l.refused == 0 && !l.stood:
		l.raise(min(max(aimUse/max(use, 0.01), minRise), maxRise))
	}
}

func (l *level) total() int {
	n := 0
	for _, a := range l.arrivals {
		n += a
	}
	return n
}

// cut lowers the level by a volume of requests in a window, least important
// first.
func (l *level) cut(volume float64) {
	for volume > 0 && l.open > 0 {
		i := int(math.Ceil(l.open)) - 1
		passed := float64(l.arrivals[i])
		part := l.open - float64(i)
		if passed > volume {
			l.open = float64(i) + part*(1-volume/passed)
			break
		}
		volume -= passed
		l.open = float64(i)
	}
	l.open = max(l.open, minOpen)
}

// raise lets more of the marginal importance pass, by factor.
func (l *level) raise(factor float64) {
	i := math.Floor(l.open)
	if i >= version.ImportanceCount {
		return
	}
	part := l.open - i
	more := l.growth(int(i), factor)
	l.open = i + min(max(part*more, firstOpen), 1)
}

// growth is the factor for the marginal importance i at which the whole volume
// grows by factor.
func (l *level) growth(i int, factor float64) float64 {
	passed := float64(l.arrivals[i])
	if passed == 0 {
		return maxRise
	}
	return 1 + (factor-1)*float64(l.total())/passed
}

// current returns the level in the form that answers carry.
func (l *level) current() hop.Level {
	i := math.Floor(l.open)
	if i >= version.ImportanceCount {
		return hop.Level{Importance: version.Low, Cohort: envelope.CohortCount}
	}
	cohort := math.Round((l.open - i) * envelope.CohortCount)
	return hop.Level{Importance: version.Critical + version.Importance(i), Cohort: uint8(cohort)}
}
