package control_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

func announcement(state protocol.TargetState) protocol.Announcement {
	return protocol.Announcement{Service: "tides", Address: "127.0.0.1:9", Incarnation: "a", Slots: 4, Connections: 8, State: state}
}

// TestTargetsOutliveReplicas guards against targets that disappear from the
// daemons while the replicas lose their soft state one after another, and while no
// replica replies.
func TestTargetsOutliveReplicas(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed)
		_, err := c.apply(teamNote)
		must.NoError(t, err)
		c.daemons[0].announce(announcement(protocol.Warm))
		time.Sleep(4 * time.Second)
		stop := make(chan struct{})
		missing := make(chan int, 1)
		go func() { missing <- countMissing(c, stop) }()
		random := rand.New(rand.NewPCG(seed, 5))
		for n := range 30 {
			r := c.replicas[n%len(c.replicas)]
			r.stop()
			r.start()
			time.Sleep(time.Duration(1000+random.IntN(1000)) * time.Millisecond)
		}
		c.net.isolate(c.daemons[1].name, c.names(), true)
		time.Sleep(time.Minute)
		must.True(t, c.daemons[1].run.Load().registry.Stale())
		close(stop)
		must.Eq(t, 0, <-missing)
		c.net.isolate(c.daemons[1].name, c.names(), false)
	})
}

// countMissing counts the samples in which a daemon knew no target, until stop is
// closed.
func countMissing(c *cluster, stop <-chan struct{}) int {
	missing := 0
	for {
		select {
		case <-stop:
			return missing
		case <-time.After(sampleInterval):
		}
		for _, d := range c.daemons {
			if len(d.run.Load().registry.Targets("tides")) == 0 {
				missing++
			}
		}
	}
}

// TestLeavingTargetIsKnownInTime guards against requests to a target that leaves:
// every daemon knows within inEffectLimit that a target is leaving, and later that
// it is gone.
func TestLeavingTargetIsKnownInTime(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed)
		_, err := c.apply(teamNote)
		must.NoError(t, err)
		c.daemons[0].announce(announcement(protocol.Warm))
		time.Sleep(4 * time.Second)
		c.daemons[0].announce(announcement(protocol.Leaving))
		time.Sleep(inEffectLimit)
		for _, d := range c.daemons {
			for _, target := range d.run.Load().registry.Targets("tides") {
				must.Eq(t, protocol.Leaving, target.State)
			}
		}
		c.daemons[0].announce()
		time.Sleep(inEffectLimit)
		for _, d := range c.daemons {
			must.SliceEmpty(t, d.run.Load().registry.Targets("tides"))
		}
	})
}
