package local

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/limiter"
)

// renewalInterval is that of the daemon.
const renewalInterval = 500 * time.Millisecond

// rememberFor renews for d. The replicas record departures, and tell the daemon of all of
// them with each reply.
func (f *fixture) rememberFor(recorded map[string]bool, d time.Duration) {
	for range d / renewalInterval {
		time.Sleep(renewalInterval)
		incarnations := f.target.UnrecordedDepartures()
		for _, incarnation := range incarnations {
			recorded[incarnation] = true
		}
		f.target.DeparturesRecorded(incarnations)
		f.target.AdoptDepartures(slices.Sorted(maps.Keys(recorded)))
	}
}

// TestDepartureWithoutAStartTimeNeverEnds guards against a daemon that takes its own report
// of a departure, which the replicas send back, for a new one: the ID could not be used
// again for good.
func TestDepartureWithoutAStartTimeNeverEnds(t *testing.T) {
	for name, last := range map[string]Heartbeat{
		"leaving": {ID: "a", Sequence: 5, Service: "s", Address: address, Slots: 100, Leaving: true},
		"gone":    {ID: "a", Gone: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			_ = f.target.Heartbeat(last)
			recorded := make(map[string]bool)
			f.rememberFor(recorded, 3*recordPeriod)
			must.MapLen(t, 1, recorded, must.Sprint(name))
			must.SliceEmpty(t, f.target.UnrecordedDepartures(), must.Sprint(name))
			l := f.lifetime(2000)
			for range 10 {
				f.rememberFor(recorded, interval)
				_ = l.beat()
			}
			must.NoError(t, f.admit(t), must.Sprint(name))
		})
	}
}

// TestRestartAfterAnExitWithoutAStartTime guards against an exit that does not say when the
// target started, and that keeps its next incarnation, which says so, from being used while
// the daemon knows which one has left.
func TestRestartAfterAnExitWithoutAStartTime(t *testing.T) {
	f := newFixture()
	must.NoError(t, f.target.Heartbeat(heartbeat(5)))
	must.NoError(t, f.target.Heartbeat(Heartbeat{ID: "a", Gone: true}))
	must.Error(t, f.target.Heartbeat(heartbeat(6)))
	must.Error(t, f.admit(t))
	restarted := heartbeat(1)
	restarted.Started = 2000
	must.NoError(t, f.target.Heartbeat(restarted))
	must.NoError(t, f.admit(t))
}

// TestReplicasLearnAtOnceOfEachDeparture guards against a daemon that acknowledges a
// departure and reports it only with its next regular renewal, because nothing changes in
// what it announces. One that is killed before has forgotten it.
func TestReplicasLearnAtOnceOfEachDeparture(t *testing.T) {
	f := newFixture()
	must.Error(t, f.target.Heartbeat(Heartbeat{ID: "a", Started: 1000, Gone: true}))
	must.Eq(t, 1, f.changes, must.Sprint("exit of an unknown target"))
	must.Error(t, f.target.Heartbeat(Heartbeat{ID: "a", Started: 1000, Gone: true}))
	must.Eq(t, 1, f.changes, must.Sprint("once more"))
	next := heartbeat(3)
	next.Started = 2000
	must.NoError(t, f.target.Heartbeat(next))
	slot, _, err := f.target.Admit(t.Context(), limiter.Request{ObjectiveRemaining: time.Second})
	must.NoError(t, err)
	slot.ReportStatement(&protocol.Statement{Leaving: true})
	slot.Done(nil)
	must.Eq(t, 3, f.changes, must.Sprint("a response says that the target leaves"))
	next.Sequence, next.Leaving = 4, true
	must.NoError(t, f.target.Heartbeat(next))
	must.Eq(t, 4, f.changes, must.Sprint("its heartbeat says so too"))
}

// TestRestartWithoutAStartTimeAfterLeaving guards against a target that states no start, and
// that is never used again once it has left and restarted under its ID.
func TestRestartWithoutAStartTimeAfterLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		l := f.lifetime(0)
		must.Eq(t, 4, l.beatFor(4*interval))
		l.last.Leaving = true
		must.NoError(t, l.beat())
		time.Sleep(time.Minute)
		next := f.lifetime(0)
		next.beatFor(20 * interval)
		must.NoError(t, f.admit(t))
	})
}

// TestDepartureIsRecordedForItsIncarnation checks which departures the sender of a heartbeat
// waits for: that of its own incarnation, until the replicas have recorded it.
func TestDepartureIsRecordedForItsIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		await := func(h Heartbeat) error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			return f.target.AwaitRecorded(ctx, h)
		}
		must.NoError(t, f.target.Heartbeat(heartbeat(1)))
		leaving := heartbeat(2)
		leaving.Leaving = true
		must.NoError(t, f.target.Heartbeat(leaving))
		must.Eq(t, fault.NoLeader, fault.KindOf(await(leaving)))
		f.target.DeparturesRecorded([]string{"a/2000"})
		must.Error(t, await(leaving))
		time.AfterFunc(500*time.Millisecond, func() { f.target.DeparturesRecorded(f.target.UnrecordedDepartures()) })
		must.NoError(t, await(leaving))
		must.NoError(t, await(Heartbeat{ID: "a", Gone: true}), must.Sprint("without a start time"))
		must.Error(t, await(Heartbeat{ID: "b", Gone: true}))
		restarted := heartbeat(1)
		restarted.Started, restarted.Leaving = 2000, true
		must.NoError(t, f.target.Heartbeat(restarted))
		must.Error(t, await(restarted))

		f = newFixture()
		must.Error(t, f.target.Heartbeat(Heartbeat{ID: "a", Gone: true}))
		must.NoError(t, f.target.Heartbeat(leaving), must.Sprint("its exit is known without a start time"))
		must.Len(t, 2, f.target.UnrecordedDepartures())
		f.target.AdoptDepartures([]string{"a/1000"})
		must.NoError(t, await(leaving))
		must.Error(t, await(restarted))
	})
}
