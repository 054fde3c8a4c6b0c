package envelope

import (
	"strconv"
	"strings"
	"sync"

	"github.com/teaselrack/teaselrack/internal/version"
)

// Level is a load-shedding threshold. A request is shed if its importance value
// is greater than Importance (a greater value is less important), or if it is
// equal and its cohort is greater than or equal to Cohort.
type Level struct {
	Importance version.Importance
	Cohort     uint8
}

// Stricter returns whichever of the two levels sheds more requests.
func (l Level) Stricter(other Level) Level {
	if l.Importance < other.Importance {
		return l
	}
	if l.Importance == other.Importance && l.Cohort < other.Cohort {
		return l
	}
	return other
}

// String formats the level as a header value, "importance.cohort".
func (l Level) String() string {
	return strconv.Itoa(int(l.Importance)) + "." + strconv.Itoa(int(l.Cohort))
}

// ParseLevel parses a value that String produced. It returns nil if text is
// malformed.
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

// Levels keeps the strictest of the levels that the downstream calls of one
// request returned. It is safe for concurrent use. Observe does nothing if Levels
// is nil.
type Levels struct {
	mu        sync.Mutex
	strictest Level
	observed  bool
}

// Observe records the level of a response. It ignores a nil level.
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

// Strictest returns the strictest of own and the observed levels.
func (l *Levels) Strictest(own Level) Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.observed {
		return own
	}
	return own.Stricter(l.strictest)
}
