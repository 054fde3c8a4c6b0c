package local

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// lifetime sends the heartbeats of one incarnation.
type lifetime struct {
	f    *fixture
	last Heartbeat
}

func (f *fixture) lifetime(started int64) *lifetime {
	h := heartbeat(0)
	h.Started = started
	return &lifetime{f, h}
}

func (l *lifetime) beat() error {
	l.last.Sequence++
	return l.f.target.Heartbeat(l.last)
}

// beatFor sends a heartbeat per interval for d and returns how many were believed.
func (l *lifetime) beatFor(d time.Duration) int {
	believed := 0
	for range d / interval {
		time.Sleep(interval)
		if l.beat() == nil {
			believed++
		}
	}
	return believed
}

// follows reports whether the heartbeats of l take effect.
func (l *lifetime) follows(t *testing.T) bool {
	t.Helper()
	slots := l.last.Slots
	l.last.Slots = slots + 1
	defer func() { l.last.Slots = slots }()
	if l.beat() != nil {
		return false
	}
	a, ok := l.f.target.Announcement()
	return ok && a.Slots == l.last.Slots
}

// odd returns heartbeats that another writer may send under the ID of the target.
func odd(genuine Heartbeat) map[string]Heartbeat {
	all := make(map[string]Heartbeat)
	add := func(name string, change func(h *Heartbeat)) {
		h := genuine
		h.Sequence++
		change(&h)
		all[name] = h
	}
	add("sequence", func(h *Heartbeat) { h.Sequence = math.MaxInt64 })
	add("sequence a little too high", func(h *Heartbeat) { h.Sequence += 50 })
	add("start", func(h *Heartbeat) { h.Started = math.MaxInt64 })
	add("start a little too late", func(h *Heartbeat) { h.Started += 2000 })
	add("start and sequence", func(h *Heartbeat) { h.Started += 2000; h.Sequence = math.MaxInt64 })
	add("no start", func(h *Heartbeat) { h.Started = 0 })
	add("no start and sequence", func(h *Heartbeat) { h.Started, h.Sequence = 0, math.MaxInt64 })
	add("ID", func(h *Heartbeat) { h.ID = "x" })
	add("ID and start", func(h *Heartbeat) { h.ID, h.Started = "x", math.MaxInt64 })
	return all
}

// TestOddHeartbeatDoesNotHoldForGood guards against a daemon that never follows its
// target again after one heartbeat of another writer.
func TestOddHeartbeatDoesNotHoldForGood(t *testing.T) {
	for _, first := range []bool{false, true} {
		for name := range odd(heartbeat(1)) {
			t.Run(map[bool]string{false: "later/", true: "first/"}[first]+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture()
					genuine := f.lifetime(time.Now().UnixMilli())
					if !first {
						must.Eq(t, 4, genuine.beatFor(4*interval))
					}
					_ = f.target.Heartbeat(odd(genuine.last)[name])
					genuine.beatFor(maxSilentIntervals * interval)
					must.True(t, genuine.follows(t))
					must.NoError(t, f.admit(t))
					restarted := f.lifetime(genuine.last.Started + 10_000)
					must.True(t, restarted.follows(t), must.Sprint("a restart of the target"))
				})
			})
		}
	}
}

// TestImplausibleHeartbeatChangesNothing guards against the loss of a target's requests
// to one heartbeat that cannot be its own.
func TestImplausibleHeartbeatChangesNothing(t *testing.T) {
	for _, name := range []string{"sequence", "start", "start and sequence", "no start", "no start and sequence", "ID and start"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				genuine := f.lifetime(time.Now().UnixMilli())
				must.Eq(t, 4, genuine.beatFor(4*interval))
				before, _ := f.target.Announcement()
				h := odd(genuine.last)[name]
				h.Slots = 1
				for range 3 {
					must.Error(t, f.target.Heartbeat(h))
					after, ok := f.target.Announcement()
					must.True(t, ok)
					must.Eq(t, before, after)
					must.NoError(t, genuine.beat())
				}
			})
		})
	}
}

// TestSecondHeartbeatConfirmsTheFirst guards against a genuine target that is never
// followed, because its clock is wrong or many of its heartbeats were lost.
func TestSecondHeartbeatConfirmsTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		ahead := f.lifetime(time.Now().Add(time.Hour).UnixMilli())
		must.Error(t, ahead.beat())
		must.NoError(t, ahead.beat())
		must.NoError(t, ahead.beat())

		ahead.last.Sequence += 1_000_000
		must.Error(t, ahead.beat())
		must.NoError(t, ahead.beat())
		must.True(t, ahead.follows(t))
	})
}

// TestClockStepsBackBetweenTwoLifetimes guards against a restarted target that is never
// followed, because its clock has stepped back behind the start of the earlier lifetime.
func TestClockStepsBackBetweenTwoLifetimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		before := f.lifetime(time.Now().UnixMilli())
		must.Eq(t, 4, before.beatFor(4*interval))
		restarted := f.lifetime(before.last.Started - 6000)
		restarted.beatFor(maxSilentIntervals * interval)
		must.True(t, restarted.follows(t))
	})
}

// TestHeartbeatsOfAnEarlierLifetimeNeverDisplaceALaterOne guards against delayed
// heartbeats that are taken for a reason to believe an earlier lifetime again: beside
// those of the later one, and in a burst while those of the later one are late.
func TestHeartbeatsOfAnEarlierLifetimeNeverDisplaceALaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		earlier := f.lifetime(time.Now().UnixMilli())
		must.NoError(t, earlier.beat())
		later := f.lifetime(earlier.last.Started + 1000)
		must.NoError(t, later.beat())
		for range 20 {
			must.Eq(t, 1, later.beatFor(interval))
			must.Error(t, earlier.beat())
		}
		time.Sleep(maxSilentIntervals*interval - time.Millisecond)
		for range 20 {
			must.Error(t, earlier.beat())
		}
		must.True(t, later.follows(t))
	})
}

// TestHeartbeatsOutOfOrderAndRepeated checks that delayed and repeated heartbeats of
// one lifetime change nothing, however many arrive beside newer ones.
func TestHeartbeatsOutOfOrderAndRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		genuine := f.lifetime(time.Now().UnixMilli())
		must.Eq(t, 10, genuine.beatFor(10*interval))
		for range 20 {
			must.Eq(t, 1, genuine.beatFor(interval))
			for back := range uint64(5) {
				late := genuine.last
				late.Sequence -= back
				late.Slots = 1
				err := f.target.Heartbeat(late)
				must.Eq(t, fault.BadRequest, fault.KindOf(err))
			}
			a, _ := f.target.Announcement()
			must.Eq(t, genuine.last.Slots, a.Slots)
		}
	})
}

// TestSequencePlausibility checks the bounds at their edges, also where the interval is
// not set.
func TestSequencePlausibility(t *testing.T) {
	for _, interval := range []time.Duration{0, time.Second, math.MaxInt64} {
		target := New(Options{Service: "s", Address: address, Interval: interval, Now: time.Now, Changed: func() {}, Permitted: func() error { return nil }, ColdRate: func() float64 { return 0 }, Log: zap.NewNop()})
		for _, sequence := range []uint64{0, 1, math.MaxUint64} {
			for _, started := range []int64{0, 1, 1000, math.MaxInt64} {
				h := heartbeat(sequence)
				h.Started = started
				_ = target.Heartbeat(h)
			}
		}
	}
}

// TestLeavingHoldsBehindAnOddHeartbeat guards against requests to a target that has said
// that it leaves, in a heartbeat that seems older than one of another writer.
func TestLeavingHoldsBehindAnOddHeartbeat(t *testing.T) {
	f := newFixture()
	must.NoError(t, f.target.Heartbeat(heartbeat(5)))
	must.NoError(t, f.target.Heartbeat(odd(heartbeat(5))["sequence a little too high"]))
	leaving := heartbeat(6)
	leaving.Leaving = true
	must.NoError(t, f.target.Heartbeat(leaving))
	must.Eq(t, fault.TargetLeaving, fault.KindOf(f.admit(t)))
	a, ok := f.target.Announcement()
	must.True(t, ok)
	must.Eq(t, protocol.Leaving, a.State)
	must.Eq(t, 2, f.changes)
	must.NoError(t, f.target.Heartbeat(leaving), must.Sprint("repeated, since the acknowledgement was lost"))
}
