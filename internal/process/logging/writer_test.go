package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap/zapcore"
)

// output blocks while it is held.
type output struct {
	gate chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	<-o.gate
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// TestBlockedOutput: nobody reads the log for a while. Writers never wait, the
// lines beyond the bound are dropped, and a line says how many.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{gate: make(chan struct{})}
		w := NewWriter(out)
		log := New(w, zapcore.InfoLevel)
		before := time.Now()
		for range 2 * queueLines {
			log.Info("line")
		}
		must.Eq(t, before, time.Now())
		must.Greater(t, uint64(queueLines-10), w.Dropped())
		close(out.gate)
		time.Sleep(2 * reportInterval)
		must.NoError(t, w.Close())
		must.StrContains(t, out.String(), "log lines dropped")
		must.Greater(t, queueLines-10, strings.Count(out.String(), `"msg":"line"`))
	})
}

func TestCloseWritesWhatWaits(t *testing.T) {
	out := &output{gate: make(chan struct{})}
	close(out.gate)
	w := NewWriter(out)
	New(w, zapcore.InfoLevel).Info("last")
	must.NoError(t, w.Close())
	must.StrContains(t, out.String(), "last")
}
