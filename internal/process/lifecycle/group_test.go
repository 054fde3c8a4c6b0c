package lifecycle

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

type closerFunc func() error

func (f closerFunc) Close() error { return f() }

// TestAWaitIsNamed guards against a process that outlasts its grace time without a word:
// the log names the components and closers that do not end.
func TestAWaitIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zapcore.InfoLevel)
		g := New(zap.New(core))
		failed := errors.New("failed")
		stop := make(chan struct{})
		g.Add("quick", func() error { <-stop; return nil }, func(error) { close(stop) })
		g.Add("first", func() error { time.Sleep(time.Second); return failed }, func(error) {})
		release := make(chan struct{})
		g.Add("slow", func() error { <-release; return nil }, func(error) { time.AfterFunc(250*time.Millisecond, func() { close(release) }) })
		g.AddCloser("stalled", closerFunc(func() error { time.Sleep(500 * time.Millisecond); return nil }))
		must.ErrorIs(t, g.Run(), failed)
		g.Close()
		time.Sleep(time.Minute)
		lines := logs.FilterMessage("the process waits for its components to stop").All()
		must.Len(t, 2, lines, must.Sprint("after 200 ms and 600 ms; Close ended after 750 ms"))
		must.Eq(t, []any{"slow"}, lines[0].ContextMap()["running"].([]any))
		must.Eq(t, []any{}, lines[0].ContextMap()["ending"].([]any))
		must.Eq(t, []any{}, lines[1].ContextMap()["running"].([]any))
		must.Eq(t, []any{"stalled"}, lines[1].ContextMap()["ending"].([]any))
	})
}

// TestAQuickStopIsNotLogged checks that a process that stops at once writes no such line.
func TestAQuickStopIsNotLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zapcore.InfoLevel)
		g := New(zap.New(core))
		g.Add("first", func() error { time.Sleep(time.Hour); return nil }, func(error) {})
		must.NoError(t, g.Run())
		g.Close()
		time.Sleep(time.Minute)
		must.Eq(t, 0, logs.Len())
	})
}
