package envelope

import (
	"strconv"
	"strings"
	"sync"

	"github.com/teaselrack/teaselrack/internal/version"
)

// Level is a threshold of importance and cohort: work is shed where its
// importance is above Importance, or equal with a cohort at or above Cohort.
type Level struct {
	Importance version.Importance
	Cohort     uint8
}

// Stricter returns the one of the two levels that sheds more.
func (l Level) Stricter(other Level) Level {
	if l.Importance < other.Importance {
		return l
	}
	if l.Importance == other.Importance && l.Cohort < other.Cohort {
		return l
	}
	return other
}

// String writes the level as it travels in a header.
func (l Level) String() string {
	return strconv.Itoa(int(l.Importance)) + "." + strconv.Itoa(int(l.Cohort))
}

// ParseLevel returns nil for anything that String did not write.
func ParseLevel(text string) *Level {
	importance, cohort, ok := strings.Cut(text, ".")
	if !ok {
		return nil
	}
	i, err := strconv.ParseUint(importance, 10, 8)
	if err != nil {
		return nil
	}
	c, err := strconv.ParseUint(cohort, 10, 8)
	if err != nil {
		return nil
	}
	return &Level{Importance: version.Importance(i), Cohort: uint8(c)}
}

// Levels collects the levels that came back from the deeper calls of one
// request. It may be used by any number of goroutines; a nil one collects
// nothing.
type Levels struct {
	mu        sync.Mutex
	strictest Level
	observed  bool
}

// Observe takes the level that came back with an answer.
func (l *Levels) Observe(level *Level) {
	if l == nil || level == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.observed {
		l.strictest = l.strictest.Stricter(*level)
		return
	}
	l.strictest = *level
	l.observed = true
}

// Strictest returns the strictest of own and the levels observed.
func (l *Levels) Strictest(own Level) Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.observed {
		return own
	}
	return own.Stricter(l.strictest)
}
