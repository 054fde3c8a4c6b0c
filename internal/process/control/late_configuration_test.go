package control_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
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

// stallLeaderAndLoseTwo stalls the leader. Two other replicas lose their disks and start
// again, empty, a little later.
func (c *cluster) stallLeaderAndLoseTwo(seed uint64) {
	leader := c.leader()
	others := slices.DeleteFunc(slices.Clone(c.replicas), func(r *replicaProcess) bool { return r == leader })
	c.net.freeze(leader.address)
	time.AfterFunc(stall, func() { c.net.unfreeze(leader.address) })
	lost := []*replicaProcess{others[seed%4], others[(seed+1)%4]}
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

				c.stallLeaderAndLoseTwo(seed)
				time.Sleep(time.Until(acknowledged.Add(applyLimit)))
				must.SliceEmpty(t, c.daemonsBelow(2), must.Sprintf("daemons that act on the older configuration %s after the acknowledgment", applyLimit))
				must.Eq(t, 2, c.revision())
			})
		})
	}
}

// TestOrderIsSentAgainAfterALostLeader guards against an order that a new leader
// acknowledges at once, because an earlier one has committed it, while daemons that had no
// contact with a quorum in between act on the older configuration.
func TestOrderIsSentAgainAfterALostLeader(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newManagedCluster(t, seed)
				c.addDaemons(16)
				must.NoError(t, c.order(configurationOrder(t, 1, 0), 8*time.Second))
				c.awaitRevision(1, 2*time.Second)

				done := make(chan error, 1)
				go func() { done <- c.order(configurationOrder(t, 2, 1), 12*time.Second) }()
				time.Sleep(time.Duration(seed) * 80 * time.Millisecond)
				c.stallLeaderAndLoseTwo(seed)
				must.NoError(t, <-done)
				must.SliceEmpty(t, c.daemonsBelow(2))
			})
		})
	}
}

// TestOrderWaitsForNoDaemonWithoutContact guards against a daemon that cannot be reached,
// or that does not put a change into effect, and keeps operators from every change.
func TestOrderWaitsForNoDaemonWithoutContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newManagedCluster(t, 1)
		c.addDaemons(4)
		must.NoError(t, c.order(configurationOrder(t, 1, 0), 8*time.Second))
		c.awaitRevision(1, 2*time.Second)
		time.Sleep(time.Second)
		began := time.Now()
		must.NoError(t, c.order(configurationOrder(t, 2, 1), 4*time.Second))
		must.Less(t, time.Second, time.Since(began), must.Sprint("in calm"))

		c.net.isolate("d0", c.addresses(), true)
		began = time.Now()
		must.NoError(t, c.order(configurationOrder(t, 3, 2), 4*time.Second))
		must.Less(t, 2500*time.Millisecond, time.Since(began), must.Sprint("one daemon is cut off"))
		must.Eq(t, []string{"d0"}, c.daemonsBelow(3))
		c.net.isolate("d0", c.addresses(), false)

		ctx, cancel := context.WithCancel(t.Context())
		var renewals sync.WaitGroup
		renewals.Go(func() { c.renewAs(ctx, protocol.RenewRequest{Instance: "stuck", Version: 1, Digest: "x"}) })
		time.Sleep(time.Second)
		began = time.Now()
		must.NoError(t, c.order(configurationOrder(t, 4, 3), 6*time.Second))
		must.Between(t, control.DefaultEffectTimeout, time.Since(began), control.DefaultEffectTimeout+time.Second, must.Sprint("one daemon keeps the older configuration"))
		cancel()
		renewals.Wait()
	})
}

// renewAs sends the same renewal to the first replica again and again until ctx ends.
func (c *cluster) renewAs(ctx context.Context, request protocol.RenewRequest) {
	client := &networkClient{c.net, request.Instance, mesh.Peer{Name: request.Instance, Role: mesh.Daemon}}
	for ctx.Err() == nil {
		if err := client.Call(ctx, c.replicas[0].address, protocol.MethodRenew, request, &protocol.RenewReply{}); err != nil && ctx.Err() == nil {
			c.t.Errorf("renew as %s: %v", request.Instance, err)
			return
		}
		time.Sleep(nodeRenewInterval)
	}
}
