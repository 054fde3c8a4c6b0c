package local

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/gate"
)

const address = "10.0.0.1:80"

type world struct {
	target    *Target
	inService bool
	changes   int
}

func newWorld() *world {
	w := &world{inService: true}
	w.target = New(Options{
		Service: "s", Address: address, Interval: 1500 * time.Millisecond,
		ColdRate:  func() float64 { return 33 },
		InService: func() bool { return w.inService },
		Changed:   func() { w.changes++ },
		Now:       time.Now, Log: zap.NewNop(),
	})
	return w
}

func beat(sequence uint64) Heartbeat {
	return Heartbeat{ID: "a", Started: 1000, Sequence: sequence, Service: "s", Address: address, Slots: 100}
}

func (w *world) admit(t *testing.T) error {
	slot, _, err := w.target.Admit(t.Context(), gate.Ask{Useful: time.Second})
	if err == nil {
		slot.Done(nil)
	}
	return err
}

func TestNothingBeforeTheFirstHeartbeat(t *testing.T) {
	w := newWorld()
	must.Eq(t, fault.NoTarget, fault.KindOf(w.admit(t)))
	must.NoError(t, w.target.Heartbeat(beat(1)))
	must.NoError(t, w.admit(t))
}

func TestHeartbeatsOfOthersChangeNothing(t *testing.T) {
	w := newWorld()
	other := beat(1)
	other.Service = "other"
	must.Error(t, w.target.Heartbeat(other))
	other = beat(1)
	other.Address = "10.0.0.2:80"
	must.Error(t, w.target.Heartbeat(other))
	must.Error(t, w.admit(t))
}

// TestLeavingTargetGetsNothing: from the acknowledgement on, also where a late
// heartbeat of the time before follows, and also what waited.
func TestLeavingTargetGetsNothing(t *testing.T) {
	w := newWorld()
	must.NoError(t, w.target.Heartbeat(beat(5)))
	leaving := beat(6)
	leaving.Leaving = true
	must.NoError(t, w.target.Heartbeat(leaving))
	must.Eq(t, fault.TargetLeaving, fault.KindOf(w.admit(t)))
	must.Error(t, w.target.Heartbeat(beat(4)))
	must.NoError(t, w.target.Heartbeat(beat(7)))
	must.Eq(t, fault.TargetLeaving, fault.KindOf(w.admit(t)))
	a, ok := w.target.Announcement()
	must.True(t, ok)
	must.Eq(t, protocol.Leaving, a.State)
}

func TestTargetThatSaysItIsGone(t *testing.T) {
	w := newWorld()
	must.NoError(t, w.target.Heartbeat(beat(5)))
	must.Error(t, w.target.Heartbeat(Heartbeat{ID: "b", Gone: true}))
	must.NoError(t, w.admit(t))
	must.NoError(t, w.target.Heartbeat(Heartbeat{ID: "a", Gone: true}))
	must.Eq(t, fault.TargetLeaving, fault.KindOf(w.admit(t)))
	_, ok := w.target.Announcement()
	must.False(t, ok)
}

// TestNewIncarnation: a target starts again under the same id, and then a late
// heartbeat of the earlier one comes.
func TestNewIncarnation(t *testing.T) {
	w := newWorld()
	leaving := beat(90)
	leaving.Leaving = true
	must.NoError(t, w.target.Heartbeat(leaving))
	again := beat(1)
	again.Started = 2000
	must.NoError(t, w.target.Heartbeat(again))
	must.NoError(t, w.admit(t))
	must.Error(t, w.target.Heartbeat(beat(91)))
	must.NoError(t, w.admit(t))
}

// TestColdTarget: what a cold target gets stays at its rate in each second, and
// a target that nobody reaches is taken to be cold until it speaks.
func TestColdTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		cold := beat(1)
		cold.ColdFor = 3 * time.Second
		must.NoError(t, w.target.Heartbeat(cold))
		must.Eq(t, 33, w.passed(t))
		time.Sleep(time.Second)
		must.Eq(t, 33, w.passed(t))
		time.Sleep(3 * time.Second)
		must.Eq(t, 100, w.passed(t))
		time.Sleep(time.Second)
		slot, _, err := w.target.Admit(t.Context(), gate.Ask{Useful: time.Second})
		must.NoError(t, err)
		slot.Done(fault.New(fault.ConnectFailed, "nobody listens"))
		must.Eq(t, 32, w.passed(t))
		must.NoError(t, w.target.Heartbeat(beat(2)))
		must.Eq(t, 100, w.passed(t))
	})
}

// passed offers a hundred requests and returns how many went in.
func (w *world) passed(t *testing.T) int {
	passed := 0
	for range 100 {
		if w.admit(t) == nil {
			passed++
		}
	}
	return passed
}

func TestFailureDomainOutOfService(t *testing.T) {
	w := newWorld()
	must.NoError(t, w.target.Heartbeat(beat(1)))
	w.inService = false
	must.Eq(t, fault.OutOfService, fault.KindOf(w.admit(t)))
}

// TestWaitingRequestMeetsTheNewState: the failure domain goes out of service
// while a request waits for a slot.
func TestWaitingRequestMeetsTheNewState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		one := beat(1)
		one.Slots = 1
		must.NoError(t, w.target.Heartbeat(one))
		slot, _, err := w.target.Admit(t.Context(), gate.Ask{Useful: time.Second})
		must.NoError(t, err)
		result := make(chan error)
		go func() {
			_, _, err := w.target.Admit(t.Context(), gate.Ask{Useful: time.Second})
			result <- err
		}()
		synctest.Wait()
		w.inService = false
		slot.Done(nil)
		must.Eq(t, fault.OutOfService, fault.KindOf(<-result))
		running, _, _ := w.target.gate.Load()
		must.Eq(t, 0, running)
	})
}

func TestCallerLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		one := beat(1)
		one.Slots = 1
		must.NoError(t, w.target.Heartbeat(one))
		slot, _, err := w.target.Admit(t.Context(), gate.Ask{Useful: time.Second})
		must.NoError(t, err)
		ctx, leave := context.WithCancel(t.Context())
		result := make(chan error)
		go func() {
			_, _, err := w.target.Admit(ctx, gate.Ask{Useful: time.Second})
			result <- err
		}()
		synctest.Wait()
		leave()
		must.Eq(t, fault.CallerGone, fault.KindOf(<-result))
		slot.Done(nil)
		must.NoError(t, w.admit(t))
	})
}

func TestSilentTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		must.NoError(t, w.target.Heartbeat(beat(1)))
		time.Sleep(silentFactor*1500*time.Millisecond + time.Millisecond)
		must.Eq(t, fault.NoTarget, fault.KindOf(w.admit(t)))
		must.NoError(t, w.target.Heartbeat(beat(2)))
		must.NoError(t, w.admit(t))
	})
}

// TestLogSaysWhenRequestsAreShed: a cold target that bears 33 requests a second is
// asked for 500 for three seconds, then for ten. The log has one line when shedding
// begins and one when it ends, with what decided.
func TestLogSaysWhenRequestsAreShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		core, lines := observer.New(zap.InfoLevel)
		w.target.o.Log = zap.New(core)
		cold := beat(1)
		cold.ColdFor = 3 * time.Second
		must.NoError(t, w.target.Heartbeat(cold))
		lines.TakeAll()
		ask := func(perSecond int, d time.Duration) {
			for range int(d.Seconds() * float64(perSecond)) {
				_ = w.admit(t)
				time.Sleep(time.Second / time.Duration(perSecond))
			}
		}
		ask(500, 3*time.Second)
		ask(10, 2*time.Second)
		shed := lines.TakeAll()
		must.Len(t, 2, shed)
		must.Eq(t, "requests are shed for the target", shed[0].Message)
		must.Eq(t, "requests are no longer shed for the target", shed[1].Message)
		fields := shed[0].ContextMap()
		must.Eq(t, true, fields["cold"])
		must.Eq(t, 33.0, fields["capacity_per_second"])
		must.Greater(t, notedLevel, fields["level"].(float64))
	})
}
