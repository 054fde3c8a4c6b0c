package version

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// TestProblemsAreBounded guards against an error, which is sent and logged, that repeats
// all of what it refuses.
func TestProblemsAreBounded(t *testing.T) {
	c := FullConfiguration{Revision: 1}
	for range 2 * maxProblems {
		c.Entries.Routes = append(c.Entries.Routes, Route{Name: "r", Path: strings.Repeat("x", 1<<14)})
	}
	err := c.Validate()
	must.Eq(t, fault.NoteInvalid, fault.KindOf(err))
	must.LessEq(t, (maxProblems+1)*(maxProblemBytes+4), len(fault.Message(err)))
}
