package local

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/limiter"
	"github.com/teaselrack/teaselrack/internal/process/quarantine"
)

// lose sends requests with these contents that are lost with their connections.
func (f *fixture) lose(t *testing.T, contents ...quarantine.Fingerprint) {
	var slots []*Slot
	for _, content := range contents {
		slot, _, err := f.target.Admit(t.Context(), limiter.Request{ObjectiveRemaining: time.Second})
		must.NoError(t, err)
		slot.Content = content
		slots = append(slots, slot)
	}
	for _, slot := range slots {
		slot.Done(fault.New(fault.ConnectionLost, "reset"))
	}
}

// TestSuspectsOfACrash checks which requests are reported: those that were lost at the
// end of an incarnation, and none at the end of one that announced its exit.
func TestSuspectsOfACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		reported := make(map[string][]quarantine.Fingerprint)
		f.target.options.Crashed = func(incarnation string, suspects []quarantine.Fingerprint) {
			reported[incarnation] = append(reported[incarnation], suspects...)
		}
		must.NoError(t, f.target.Heartbeat(heartbeat(1)))
		f.lose(t, 1)
		time.Sleep(time.Second)
		must.NoError(t, f.admit(t))
		time.Sleep(time.Second)
		f.lose(t, 2, 3)
		must.MapEmpty(t, reported, must.Sprint("two broken connections are no crash"))
		restarted := heartbeat(1)
		restarted.Started = 2000
		must.NoError(t, f.target.Heartbeat(restarted))
		must.Eq(t, map[string][]quarantine.Fingerprint{"a/1000": {2, 3}}, reported)

		f.lose(t, 4, 5, 6, 7, 8, 9)
		must.Eq(t, []quarantine.Fingerprint{4, 5, 6, 7, 8, 9}, reported["a/2000"], must.Sprint("six in a row are one"))

		leaving := heartbeat(2)
		leaving.Started = 2000
		must.NoError(t, f.target.Heartbeat(leaving))
		must.NoError(t, f.admit(t))
		f.lose(t, 10)
		leaving.Sequence, leaving.Leaving = 3, true
		must.NoError(t, f.target.Heartbeat(leaving))
		restarted.Started = 3000
		must.NoError(t, f.target.Heartbeat(restarted))
		must.MapLen(t, 2, reported)
		must.SliceLen(t, 6, reported["a/2000"])
	})
}

// TestCrashOnAQuietServiceIsFoundLate guards against a crash that shows only in the first
// heartbeat after the restart, because no further request is sent. A target that breaks off
// single connections is reached for at most once per reachInterval.
func TestCrashOnAQuietServiceIsFoundLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		var down atomic.Bool
		var reached atomic.Int64
		var reported []quarantine.Fingerprint
		f.target.options.Crashed = func(_ string, suspects []quarantine.Fingerprint) { reported = append(reported, suspects...) }
		f.target.options.Reach = func(context.Context) error {
			reached.Add(1)
			if down.Load() {
				return fault.New(fault.ConnectFailed, "refused")
			}
			return nil
		}
		must.NoError(t, f.target.Heartbeat(heartbeat(1)))
		const lost = 40
		for content := range quarantine.Fingerprint(lost) {
			f.lose(t, content)
			time.Sleep(reachInterval / 4)
			must.NoError(t, f.admit(t))
		}
		must.SliceEmpty(t, reported)
		must.Eq(t, lost/4, reached.Load())
		time.Sleep(reachInterval)
		down.Store(true)
		f.lose(t, lost)
		synctest.Wait()
		must.Eq(t, []quarantine.Fingerprint{lost}, reported)
		a, _ := f.target.Announcement()
		must.Eq(t, protocol.Cold, a.State)
		must.NoError(t, f.target.Heartbeat(heartbeat(2)))
		a, _ = f.target.Announcement()
		must.Eq(t, protocol.Warm, a.State)
	})
}
