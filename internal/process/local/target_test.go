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
	"github.com/teaselrack/teaselrack/internal/process/limiter"
)

const (
	address  = "10.0.0.1:80"
	interval = 1500 * time.Millisecond
)

// fixture is a Target and the conditions that it reads.
type fixture struct {
	target *Target
	// notPermitted is the error of Options.Permitted.
	notPermitted error
	changes      int
}

func newFixture() *fixture {
	f := &fixture{}
	f.target = New(Options{
		Service: "s", Address: address, Interval: interval,
		ColdRate:  func() float64 { return 33 },
		Permitted: func() error { return f.notPermitted },
		Changed:   func() { f.changes++ },
		Now:       time.Now, Log: zap.NewNop(),
	})
	return f
}

func heartbeat(sequence uint64) Heartbeat {
	return Heartbeat{ID: "a", Started: 1000, Sequence: sequence, Service: "s", Address: address, Slots: 100}
}

// admit sends one request and releases its slot at once.
func (f *fixture) admit(t *testing.T) error {
	slot, _, err := f.target.Admit(t.Context(), limiter.Request{ObjectiveRemaining: time.Second})
	if err == nil {
		slot.Done(nil)
	}
	return err
}

func TestNothingBeforeTheFirstHeartbeat(t *testing.T) {
	f := newFixture()
	must.Eq(t, fault.NoTarget, fault.KindOf(f.admit(t)))
	must.NoError(t, f.target.Heartbeat(heartbeat(1)))
	must.NoError(t, f.admit(t))
}

// TestDeadlineIsNotTakenForACancellation guards against callers that are cut off because
// their deadline passes between the turn of a request and its dispatch.
func TestDeadlineIsNotTakenForACancellation(t *testing.T) {
	f := newFixture()
	must.NoError(t, f.target.Heartbeat(heartbeat(1)))
	ctx, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	<-ctx.Done()
	for range 100 { // whether the turn or the deadline is noticed first is random
		_, _, err := f.target.Admit(ctx, limiter.Request{ObjectiveRemaining: time.Second})
		must.Eq(t, fault.DeadlineNotRun, fault.KindOf(err))
	}
}

func TestHeartbeatsOfOthersChangeNothing(t *testing.T) {
	f := newFixture()
	other := heartbeat(1)
	other.Service = "other"
	must.Error(t, f.target.Heartbeat(other))
	other = heartbeat(1)
	other.Address = "10.0.0.2:80"
	must.Error(t, f.target.Heartbeat(other))
	must.Error(t, f.admit(t))
}

// TestLeavingTargetGetsNothing guards against requests sent to a target that
// has announced that it leaves, also if a delayed or later heartbeat does not
// say so.
func TestLeavingTargetGetsNothing(t *testing.T) {
	f := newFixture()
	must.NoError(t, f.target.Heartbeat(heartbeat(5)))
	leaving := heartbeat(6)
	leaving.Leaving = true
	must.NoError(t, f.target.Heartbeat(leaving))
	must.Eq(t, fault.TargetLeaving, fault.KindOf(f.admit(t)))
	must.Error(t, f.target.Heartbeat(heartbeat(4)))
	must.NoError(t, f.target.Heartbeat(heartbeat(7)))
	must.Eq(t, fault.TargetLeaving, fault.KindOf(f.admit(t)))
	a, ok := f.target.Announcement()
	must.True(t, ok)
	must.Eq(t, protocol.Leaving, a.State)
}

func TestTargetThatSaysItIsGone(t *testing.T) {
	f := newFixture()
	must.NoError(t, f.target.Heartbeat(heartbeat(5)))
	must.Error(t, f.target.Heartbeat(Heartbeat{ID: "b", Gone: true}))
	must.NoError(t, f.admit(t))
	must.NoError(t, f.target.Heartbeat(Heartbeat{ID: "a", Gone: true}))
	must.Eq(t, fault.TargetLeaving, fault.KindOf(f.admit(t)))
	_, ok := f.target.Announcement()
	must.False(t, ok)
}

// TestTargetThatLeftIsUsedAfterARestart guards against a delayed heartbeat that makes a
// restarted daemon use a target whose exit it has acknowledged before it knew the target.
func TestTargetThatLeftIsUsedAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		must.Error(t, f.target.Heartbeat(Heartbeat{ID: "a", Started: 1000, Gone: true}))
		time.Sleep(2 * time.Second)
		must.Error(t, f.target.Heartbeat(heartbeat(14)))
		must.Eq(t, fault.NoTarget, fault.KindOf(f.admit(t)))
		_, ok := f.target.Announcement()
		must.False(t, ok)
		restarted := heartbeat(1)
		restarted.Started = 2000
		must.NoError(t, f.target.Heartbeat(restarted))
		must.NoError(t, f.admit(t))
	})
}

// TestRestartedDaemonUsesALeavingTarget guards against a delayed heartbeat that makes a
// daemon use a target again that had announced that it leaves before the daemon restarted.
func TestRestartedDaemonUsesALeavingTarget(t *testing.T) {
	before, after := newFixture(), newFixture()
	leaving := heartbeat(20)
	leaving.Leaving = true
	must.NoError(t, before.target.Heartbeat(leaving))
	for _, late := range []bool{false, true} {
		if late {
			must.NoError(t, after.target.Heartbeat(heartbeat(19)))
			must.NoError(t, after.admit(t))
		}
		after.target.AdoptDepartures(before.target.UnrecordedDepartures())
		must.NoError(t, after.target.Heartbeat(heartbeat(21)))
		must.Eq(t, fault.TargetLeaving, fault.KindOf(after.admit(t)))
		a, ok := after.target.Announcement()
		must.True(t, ok)
		must.Eq(t, protocol.Leaving, a.State)
		after = newFixture()
	}
	after.target.AdoptDepartures([]string{"", "a", "a/x", "a/-1", "b/1000"})
	must.NoError(t, after.target.Heartbeat(heartbeat(19)))
	must.NoError(t, after.admit(t))
}

// TestDeparturesAreReportedForATime checks that reports of a departure end, and that those
// of many incarnations are bounded.
func TestDeparturesAreReportedForATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		for started := range int64(2 * maxDepartures) {
			must.Error(t, f.target.Heartbeat(Heartbeat{ID: "a", Started: started + 1, Gone: true}))
		}
		must.Len(t, maxDepartures, f.target.UnrecordedDepartures())
		time.Sleep(recordPeriod)
		must.SliceEmpty(t, f.target.UnrecordedDepartures())
	})
}

// TestExitOfAnUnknownIncarnation checks that an exit without a start time counts as long as
// heartbeats may be delayed, and does not exclude a later start under the same ID.
func TestExitOfAnUnknownIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		must.Error(t, f.target.Heartbeat(Heartbeat{ID: "a", Gone: true}))
		time.Sleep(maxHeartbeatDelay - time.Millisecond)
		must.Error(t, f.target.Heartbeat(heartbeat(14)))
		time.Sleep(time.Millisecond)
		must.NoError(t, f.target.Heartbeat(heartbeat(1)))
		must.NoError(t, f.admit(t))
	})
}

// TestNewIncarnation guards against a delayed heartbeat of an earlier
// incarnation that overrides the state of a target restarted under the same ID.
func TestNewIncarnation(t *testing.T) {
	f := newFixture()
	leaving := heartbeat(90)
	leaving.Leaving = true
	must.NoError(t, f.target.Heartbeat(leaving))
	restarted := heartbeat(1)
	restarted.Started = 2000
	must.NoError(t, f.target.Heartbeat(restarted))
	must.NoError(t, f.admit(t))
	must.Error(t, f.target.Heartbeat(heartbeat(91)))
	must.NoError(t, f.admit(t))
}

// TestColdTarget checks that a cold target gets no more than its cold rate in
// each second, and that a target that refuses connections is treated as cold
// until its next heartbeat.
func TestColdTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		cold := heartbeat(1)
		cold.ColdFor = 3 * time.Second
		must.NoError(t, f.target.Heartbeat(cold))
		must.Eq(t, 33, f.countAdmitted(t))
		time.Sleep(time.Second)
		must.Eq(t, 33, f.countAdmitted(t))
		time.Sleep(3 * time.Second)
		must.Eq(t, 100, f.countAdmitted(t))
		time.Sleep(time.Second)
		slot, _, err := f.target.Admit(t.Context(), limiter.Request{ObjectiveRemaining: time.Second})
		must.NoError(t, err)
		slot.Done(fault.New(fault.ConnectFailed, "nobody listens"))
		must.Eq(t, 32, f.countAdmitted(t))
		must.NoError(t, f.target.Heartbeat(heartbeat(2)))
		must.Eq(t, 100, f.countAdmitted(t))
	})
}

// countAdmitted sends a hundred requests and returns how many were admitted.
func (f *fixture) countAdmitted(t *testing.T) int {
	admitted := 0
	for range 100 {
		if f.admit(t) == nil {
			admitted++
		}
	}
	return admitted
}

func TestFailureDomainOutOfService(t *testing.T) {
	f := newFixture()
	must.NoError(t, f.target.Heartbeat(heartbeat(1)))
	f.notPermitted = fault.New(fault.OutOfService, "out of service")
	must.Eq(t, fault.OutOfService, fault.KindOf(f.admit(t)))
}

// TestWaitingRequestMeetsTheNewState guards against sending a queued request
// after its failure domain went out of service.
func TestWaitingRequestMeetsTheNewState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		oneSlot := heartbeat(1)
		oneSlot.Slots = 1
		must.NoError(t, f.target.Heartbeat(oneSlot))
		slot, _, err := f.target.Admit(t.Context(), limiter.Request{ObjectiveRemaining: time.Second})
		must.NoError(t, err)
		result := make(chan error)
		go func() {
			_, _, err := f.target.Admit(t.Context(), limiter.Request{ObjectiveRemaining: time.Second})
			result <- err
		}()
		synctest.Wait()
		f.notPermitted = fault.New(fault.OutOfService, "out of service")
		slot.Done(nil)
		must.Eq(t, fault.OutOfService, fault.KindOf(<-result))
		running, _, _ := f.target.limiter.Load()
		must.Eq(t, 0, running)
	})
}

func TestCallerLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		oneSlot := heartbeat(1)
		oneSlot.Slots = 1
		must.NoError(t, f.target.Heartbeat(oneSlot))
		slot, _, err := f.target.Admit(t.Context(), limiter.Request{ObjectiveRemaining: time.Second})
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		result := make(chan error)
		go func() {
			_, _, err := f.target.Admit(ctx, limiter.Request{ObjectiveRemaining: time.Second})
			result <- err
		}()
		synctest.Wait()
		cancel()
		must.Eq(t, fault.CallerGone, fault.KindOf(<-result))
		slot.Done(nil)
		must.NoError(t, f.admit(t))
	})
}

func TestSilentTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		must.NoError(t, f.target.Heartbeat(heartbeat(1)))
		time.Sleep(maxSilentIntervals*1500*time.Millisecond + time.Millisecond)
		must.Eq(t, fault.NoTarget, fault.KindOf(f.admit(t)))
		must.NoError(t, f.target.Heartbeat(heartbeat(2)))
		must.NoError(t, f.admit(t))
	})
}

// TestLogSaysWhenRequestsAreShed sends 500 requests per second for three
// seconds to a cold target that can serve 33, and then 10 per second. The log
// has one line when shedding begins and one when it ends, with the values that
// led to the decision.
func TestLogSaysWhenRequestsAreShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		core, lines := observer.New(zap.InfoLevel)
		f.target.options.Log = zap.New(core)
		cold := heartbeat(1)
		cold.ColdFor = 3 * time.Second
		must.NoError(t, f.target.Heartbeat(cold))
		lines.TakeAll()
		sendRequests := func(perSecond int, d time.Duration) {
			for range int(d.Seconds() * float64(perSecond)) {
				_ = f.admit(t)
				time.Sleep(time.Second / time.Duration(perSecond))
			}
		}
		sendRequests(500, 3*time.Second)
		sendRequests(10, 2*time.Second)
		shed := lines.TakeAll()
		must.Len(t, 2, shed)
		must.Eq(t, "requests are shed for the target", shed[0].Message)
		must.Eq(t, "requests are no longer shed for the target", shed[1].Message)
		fields := shed[0].ContextMap()
		must.Eq(t, true, fields["cold"])
		must.Eq(t, 33.0, fields["capacity_per_second"])
		must.Greater(t, minLoggedLevel, fields["level"].(float64))
	})
}

// TestNothingBeforeTheConfiguration replays a restart of all processes: other daemons
// have the configuration already and forward requests, while the daemon beside a cold
// target does not know yet how many the target can take. The target gets none, but is
// announced, so that it is known as soon as its daemon is ready.
func TestNothingBeforeTheConfiguration(t *testing.T) {
	f := newFixture()
	f.notPermitted = fault.New(fault.LeaseExpired, "no configuration yet")
	cold := heartbeat(1)
	cold.ColdFor = 3 * time.Second
	must.NoError(t, f.target.Heartbeat(cold))
	for range 40 {
		must.Eq(t, fault.LeaseExpired, fault.KindOf(f.admit(t)))
	}
	announcement, ok := f.target.Announcement()
	must.True(t, ok)
	must.Eq(t, protocol.Cold, announcement.State)
	f.notPermitted = nil
	must.NoError(t, f.admit(t))
}

// TestTargetLeavesAfterItsExitIsKnown checks that a target that repeats that it leaves
// after it has announced its exit is acknowledged, since that has taken effect.
func TestTargetLeavesAfterItsExitIsKnown(t *testing.T) {
	f := newFixture()
	must.NoError(t, f.target.Heartbeat(heartbeat(5)))
	must.NoError(t, f.target.Heartbeat(Heartbeat{ID: "a", Started: 1000, Gone: true}))
	leaving := heartbeat(6)
	leaving.Leaving = true
	must.NoError(t, f.target.Heartbeat(leaving))
	must.Error(t, f.target.Heartbeat(heartbeat(7)))
	must.Eq(t, fault.TargetLeaving, fault.KindOf(f.admit(t)))
}
