package control_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/process/control"
)

const (
	// applyLimit is the operators' bound from the acknowledgment of an order until
	// every daemon acts on it.
	applyLimit = 2 * time.Second
	// nodeRenewInterval is the interval at which daemons of the platform renew.
	nodeRenewInterval = 500 * time.Millisecond
	// stall is how long a replica that is short of disk or processor time does nothing.
	stall = 3500 * time.Millisecond
)

// addDaemons starts daemons that renew every nodeRenewInterval and hold the content only,
// as those of the platform do.
func (c *cluster) addDaemons(count int) {
	for i := range count {
		d := &daemonProcess{cluster: c, name: fmt.Sprintf("d%d", i), contentOnly: true, interval: nodeRenewInterval}
		c.daemons = append(c.daemons, d)
		d.start()
	}
}

// leader returns the replica that leads the configuration group.
func (c *cluster) leader() *replicaProcess {
	for _, r := range c.replicas {
		if r.role != nil && r.role.Status().Role == "leader" {
			return r
		}
	}
	c.t.Fatal("no replica leads the group")
	return nil
}

// awaitRevision returns once each daemon has the revision in effect.
func (c *cluster) awaitRevision(revision uint64, within time.Duration) {
	c.t.Helper()
	for deadline := time.Now().Add(within); len(c.daemonsBelow(revision)) > 0; time.Sleep(sampleInterval) {
		must.True(c.t, time.Now().Before(deadline), must.Sprintf("daemons %v do not have revision %d after %s", c.daemonsBelow(revision), revision, within))
	}
}

// daemonsBelow returns the names of the daemons that act on an older revision.
func (c *cluster) daemonsBelow(revision uint64) []string {
	var behind []string
	for _, d := range c.daemons {
		if d.run.Load().configuration.Current().Revision() < revision {
			behind = append(behind, d.name)
		}
	}
	return behind
}

// loseReplicas stops replicas, which lose their disks, and starts them again, empty, a
// little later.
func (c *cluster) loseReplicas(lost ...*replicaProcess) {
	for _, r := range lost {
		r.stop()
		clear(r.disks)
		r.membership = &control.AutoMembership{ToleratedLosses: toleratedLosses}
	}
	time.Sleep(500 * time.Millisecond)
	for _, r := range lost {
		r.start()
	}
}

// TestAcknowledgedOrderIsNotInForceInTime guards against an acknowledgment that says
// nothing about the daemons: replicas fail right after it, and daemons that did not have
// the change yet go on with the older configuration until there is a leader again.
func TestAcknowledgedOrderIsNotInForceInTime(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newManagedCluster(t, seed)
				c.addDaemons(16)
				must.NoError(t, c.order(configurationOrder(t, 1, 0), 8*time.Second))
				c.awaitRevision(1, 2*time.Second)
				must.NoError(t, c.order(configurationOrder(t, 2, 1), 4*time.Second))
				acknowledged := time.Now()

				leader := c.leader()
				others := slices.DeleteFunc(slices.Clone(c.replicas), func(r *replicaProcess) bool { return r == leader })
				c.net.freeze(leader.address)
				time.AfterFunc(stall, func() { c.net.unfreeze(leader.address) })
				c.loseReplicas(others[seed%4], others[(seed+1)%4])
				time.Sleep(time.Until(acknowledged.Add(applyLimit)))
				must.SliceEmpty(t, c.daemonsBelow(2), must.Sprintf("daemons that act on the older configuration %s after the acknowledgment", applyLimit))
				must.Eq(t, 2, c.revision())
			})
		})
	}
}
