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

// blockedOutput blocks writes until unblocked is closed.
type blockedOutput struct {
	unblocked chan struct{}
	mu        sync.Mutex
	text      bytes.Buffer
}

func (o *blockedOutput) Write(b []byte) (int, error) {
	<-o.unblocked
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *blockedOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// TestBlockedOutput checks that Write does not block while the output does, that
// lines beyond the queue's bound are dropped, and that their number is logged.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedOutput{unblocked: make(chan struct{})}
		w := NewWriter(out)
		log := New(w, zapcore.InfoLevel)
		before := time.Now()
		for range 2 * queueLines {
			log.Info("line")
		}
		must.Eq(t, before, time.Now())
		must.Greater(t, uint64(queueLines-10), w.Dropped())
		close(out.unblocked)
		time.Sleep(2 * reportInterval)
		must.NoError(t, w.Close())
		must.StrContains(t, out.String(), "log lines dropped")
		must.Greater(t, queueLines-10, strings.Count(out.String(), `"msg":"line"`))
	})
}

func TestCloseWritesWhatWaits(t *testing.T) {
	out := &blockedOutput{unblocked: make(chan struct{})}
	close(out.unblocked)
	w := NewWriter(out)
	New(w, zapcore.InfoLevel).Info("last")
	must.NoError(t, w.Close())
	must.StrContains(t, out.String(), "last")
}
