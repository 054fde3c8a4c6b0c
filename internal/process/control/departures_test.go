package control_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/process/targetlog"
)

// killAll kills all processes at the same moment and starts them again.
func (c *cluster) killAll() {
	for _, d := range c.daemons {
		d.stop()
	}
	for _, r := range c.replicas {
		r.stop()
	}
	time.Sleep(time.Second)
	for _, r := range c.replicas {
		r.start()
	}
	for _, d := range c.daemons {
		d.start()
	}
}

// depart records departures, however often that takes.
func (d *daemonProcess) depart(incarnations ...string) {
	var err error
	for range 100 {
		if err = d.run.Load().loop.Depart(d.cluster.t.Context(), incarnations); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	must.NoError(d.cluster.t, err)
}

// TestDepartureIsForgottenInARestart guards against replicas that forget that a target
// leaves when all processes are killed, as often as that happens, or when each replica in
// turn loses its disk.
func TestDepartureIsForgottenInARestart(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed)
		_, err := c.apply(teamNote)
		must.NoError(t, err)
		d := c.daemons[0]
		d.depart("a/1", "b/2")
		for range 3 {
			c.killAll()
			time.Sleep(4 * time.Second)
			must.Eq(t, []string{"a/1", "b/2"}, d.knownDepartures())
			must.SliceEmpty(t, c.daemons[1].knownDepartures())
		}
		for _, r := range c.replicas {
			r.replace()
			time.Sleep(4 * time.Second)
		}
		d.stop()
		d.start()
		time.Sleep(4 * time.Second)
		must.Eq(t, []string{"a/1", "b/2"}, d.knownDepartures())
	})
}

// TestRecordedDepartureSurvivesAKill guards against a departure whose recording has returned
// and that is lost because all processes are killed in that moment.
func TestRecordedDepartureSurvivesAKill(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed)
		_, err := c.apply(teamNote)
		must.NoError(t, err)
		for i, d := range c.daemons {
			c.net.setLoss(0.02)
			d.depart("a/1")
			c.net.setLoss(0)
			c.killAll()
			time.Sleep(4 * time.Second)
			for _, departed := range c.daemons[:i+1] {
				must.Eq(t, []string{"a/1"}, departed.knownDepartures())
			}
		}
	})
}

// TestOddDepartureIsRefused checks the bounds of what is recorded.
func TestOddDepartureIsRefused(t *testing.T) {
	for _, odd := range []targetlog.Departure{
		{}, {Instance: "i"}, {Incarnations: []string{"a/1"}}, {Instance: "i", Incarnations: []string{""}},
		{Instance: "i", Incarnations: []string{"a/1\n"}}, {Instance: "i", Incarnations: make([]string, 100)},
	} {
		must.Error(t, odd.Check())
	}
	must.NoError(t, targetlog.Departure{Instance: "i", Incarnations: []string{"a/1"}}.Check())
}
