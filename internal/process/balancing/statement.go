package balancing

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// RecordStatement records what the target said about itself in a response.
func (t *Target) RecordStatement(now time.Time, s protocol.Statement) {
	if s.Leaving {
		t.leaving = s.Incarnation
	}
	t.stated.Observe(now, s)
}

// isLeaving reports whether this incarnation of the target has said that it leaves.
func (t *Target) isLeaving(incarnation string) bool {
	return t.leaving != "" && t.leaving == incarnation
}

// Stated returns what the selected target last said about itself.
func (c Choice) Stated() (s protocol.Statement) {
	c.Update(func(t *Target) { s = t.stated.Statement })
	return s
}
