package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/control"
	"github.com/teaselrack/teaselrack/internal/process/storage/storagetest"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	managedReplicas = 5
	toleratedLosses = 2
	// catchUpLimit is the time within which a replacement must be a voter.
	catchUpLimit = 4 * time.Second
)

// newManagedCluster starts a cluster of replicas that found, join and repair the
// group without an operator. Their seed addresses are the first three.
func newManagedCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{t: t, net: newNetwork(seed)}
	t.Cleanup(c.close)
	c.operator = &networkClient{c.net, operatorName, mesh.Peer{Name: operatorName, Role: mesh.Operator}}
	for i := range managedReplicas {
		c.add(seed, i, i == 0)
	}
	for _, r := range c.replicas {
		r.start()
	}
	return c
}

// add adds a replica, not yet started, with automatic membership.
func (c *cluster) add(seed uint64, i int, founder bool) *replicaProcess {
	r := &replicaProcess{
		cluster: c, address: fmt.Sprintf("10.0.0.%d:1", i+1), disks: make(map[string]*storagetest.Disk),
		random:        rand.New(rand.NewPCG(seed, uint64(i))),
		membership:    &control.AutoMembership{ToleratedLosses: toleratedLosses, Founder: founder},
		seedAddresses: func() []string { return []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} },
	}
	c.replicas = append(c.replicas, r)
	return r
}

// configurationOrder returns an encoded order with a full configuration.
func configurationOrder(t *testing.T, revision, base uint64) []byte {
	t.Helper()
	note := version.Note{Order: &version.Order{Configuration: &version.FullConfiguration{
		Revision: revision, Base: base, Source: []byte(fmt.Sprint("revision ", revision)),
		Entries: version.Entries{
			Services: []version.Service{{Name: "s"}},
			Routes:   []version.Route{{Name: "r", Host: "h", Path: "/", Service: "s", Timeout: time.Second}},
		},
	}}}
	encoded, err := note.Encode()
	must.NoError(t, err)
	return encoded
}

// order sends an order to the replicas in turn until one returns success or a final error.
func (c *cluster) order(encoded []byte, within time.Duration) error {
	err := fault.New(fault.NoLeader, "no replica is running")
	for start := time.Now(); time.Since(start) < within; time.Sleep(20 * time.Millisecond) {
		for _, r := range c.replicas {
			if err = c.sendOrder(r.address, encoded); err == nil || fault.Is(err, fault.RevisionConflict) || fault.Is(err, fault.NoteInvalid) {
				return err
			}
		}
	}
	return err
}

// sendOrder sends an order to one replica. An operator waits for a second.
func (c *cluster) sendOrder(address string, encoded []byte) error {
	ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
	defer cancel()
	return c.operator.Call(ctx, address, protocol.MethodOrder, protocol.OrderRequest{Order: encoded}, &protocol.ApplyReply{})
}

// revision returns the revision of the state in effect, from a linearizable read.
func (c *cluster) revision() uint64 {
	for range 200 {
		for _, r := range c.replicas {
			if r.role == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(c.t.Context(), 500*time.Millisecond)
			state, err := r.role.Service().Confirmed(ctx)
			cancel()
			if err == nil {
				return state.Revision()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatal("no replica could confirm the state")
	return 0
}

// voters returns "address id" of each voter, as the leader reports them.
func (c *cluster) voters() map[string]bool {
	voters := make(map[string]bool)
	for _, r := range c.replicas {
		if r.role == nil {
			continue
		}
		status, err := r.role.Service().Status(c.t.Context(), mesh.Peer{}, protocol.Empty{})
		if err != nil || status.Replicas[0].Role != protocol.RoleLeader {
			continue
		}
		for _, m := range status.Replicas[0].Members {
			if !m.Learner {
				voters[m.Address+" "+m.ID] = true
			}
		}
		return voters
	}
	return voters
}

// TestFoundedFromSeeds guards against an order that is accepted before the group
// can survive the tolerated losses. The group forms without an operator, and two
// disks are lost right after the first order.
func TestFoundedFromSeeds(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newManagedCluster(t, seed)
				must.NoError(t, c.order(configurationOrder(t, 7, 0), 8*time.Second))
				for _, i := range []int{int(seed) % 5, int(seed+2) % 5} {
					c.replicas[i].stop()
					clear(c.replicas[i].disks)
					c.replicas[i].membership.Founder = false
				}
				for _, r := range c.replicas {
					if r.role == nil {
						r.start()
					}
				}
				must.Eq(t, 7, c.revision())
				must.NoError(t, c.order(configurationOrder(t, 9, 7), 8*time.Second))
				must.NoError(t, c.order(configurationOrder(t, 7, 0), 8*time.Second), must.Sprint("an accepted order is acknowledged again"))
				must.Eq(t, fault.RevisionConflict, fault.KindOf(c.order(configurationOrder(t, 10, 7), 8*time.Second)))
				must.Eq(t, 9, c.revision())
			})
		})
	}
}

// TestReplacedAtAnotherAddress guards against a replacement that is not a voter
// in time. A member is lost for good. An empty replacement starts at another
// address and becomes a voter within catchUpLimit. Then two more disks are lost.
func TestReplacedAtAnotherAddress(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newManagedCluster(t, seed)
				must.NoError(t, c.order(configurationOrder(t, 1, 0), 8*time.Second))
				lost := c.replicas[seed]
				lost.stop()
				time.Sleep(time.Second)
				replacement := c.add(seed, managedReplicas, false)
				replacement.start()
				time.Sleep(catchUpLimit)
				voters := c.voters()
				must.MapLen(t, managedReplicas, voters)
				for name := range voters {
					must.StrNotContains(t, name, lost.address+" ")
				}
				must.NoError(t, c.order(configurationOrder(t, 2, 1), 4*time.Second))
				for _, r := range c.replicas[3:5] {
					r.stop()
					clear(r.disks)
					r.start()
				}
				must.Eq(t, 2, c.revision())
				time.Sleep(2 * catchUpLimit)
				must.MapLen(t, managedReplicas, c.voters())
			})
		})
	}
}

// TestAllReplicasRestartAtOnce guards against data loss when every process stops at the same time
// and restarts a second later.
func TestAllReplicasRestartAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newManagedCluster(t, 1)
		must.NoError(t, c.order(configurationOrder(t, 1, 0), 8*time.Second))
		for _, r := range c.replicas {
			r.stop()
		}
		time.Sleep(time.Second)
		for _, r := range c.replicas {
			r.start()
		}
		must.Eq(t, 1, c.revision())
		must.NoError(t, c.order(configurationOrder(t, 2, 1), 4*time.Second))
	})
}

// TestDomainOrders checks that orders that take a failure domain out of service or
// back into service are idempotent, and that a new full configuration does not
// change whether the domain is in service.
func TestDomainOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newManagedCluster(t, 1)
		must.NoError(t, c.order(configurationOrder(t, 1, 0), 8*time.Second))
		setInService := func(inService bool) {
			must.NoError(t, c.order(c.setInService(inService), 4*time.Second))
		}
		inService := func() bool {
			state, err := c.replicas[0].role.Service().Confirmed(t.Context())
			must.NoError(t, err)
			return state.DomainInService("z")
		}
		setInService(false)
		must.False(t, inService())
		must.NoError(t, c.order(configurationOrder(t, 2, 1), 4*time.Second))
		must.False(t, inService())
		setInService(true)
		must.True(t, inService())
	})
}
