package main

import (
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestFailedStepHidesNoOther guards against a failed step after which the others do not run.
// Only a failed set-up keeps them from running, and they are counted as not run.
func TestFailedStepHidesNoOther(t *testing.T) {
	fail := func() (string, error) { return "", errors.New("broken") }
	pass := func() (string, error) { return "fine", nil }
	for _, c := range []struct {
		setUp func() (string, error)
		want  string
	}{
		{pass, "ok       set up: fine\nFAILED   first: broken\nok       second: fine\ndemo: 2 steps passed, 1 failed, 0 not run\n"},
		{fail, "FAILED   set up: broken\nnot run  first\nnot run  second\ndemo: 0 steps passed, 1 failed, 2 not run\n"},
	} {
		var out strings.Builder
		d := &driver{out: &out}
		d.setUp("set up", c.setUp)
		d.step("first", fail)
		d.step("second", pass)
		must.False(t, d.summarize())
		must.Eq(t, c.want, out.String())
	}
	d := &driver{out: new(strings.Builder)}
	d.step("only", pass)
	must.True(t, d.summarize())
}
