package control_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/control"
)

// memberCall is one membership change that an operator requests.
type memberCall struct {
	method  string
	request any
}

func removal(id string, asOf map[string]uint64) memberCall {
	return memberCall{protocol.MethodRemove, protocol.RemoveRequest{ID: id, AsOf: asOf}}
}

func admission(address string, asOf map[string]uint64) memberCall {
	return memberCall{protocol.MethodAdmit, protocol.AdmitRequest{Address: address, AsOf: asOf}}
}

// changeMembers sends a membership change to one replica.
func (c *cluster) changeMembers(address string, call memberCall) error {
	ctx, cancel := context.WithTimeout(c.t.Context(), 10*time.Second)
	defer cancel()
	return c.operator.Call(ctx, address, call.method, call.request, &protocol.Empty{})
}

// groupStatus returns the status of the leader of the configuration group.
func (c *cluster) groupStatus() protocol.StatusReply {
	c.t.Helper()
	var reply protocol.StatusReply
	must.NoError(c.t, c.operator.Call(c.t.Context(), c.leader().address, protocol.MethodStatus, protocol.Empty{}, &reply))
	return reply
}

// memberID returns the ID of the member at an address in the configuration group, empty if there
// is none.
func (c *cluster) memberID(address string) string {
	for _, group := range c.groupStatus().Replicas {
		for _, m := range group.Members {
			if group.Group == control.ConfigurationGroup && m.Address == address && !m.Learner {
				return m.ID
			}
		}
	}
	return ""
}

// TestLateMembershipChangeHasNoEffect guards against a removal or an admission that a replica
// hands on after a newer change was acknowledged, and that undoes it.
func TestLateMembershipChangeHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		follower := c.replicas[0]
		for _, r := range c.replicas {
			if r != c.leader() {
				follower = r
			}
		}
		current := func() map[string]uint64 { return commitIndexes(c.groupStatus()) }
		accept := func(call memberCall) {
			t.Helper()
			must.NoError(t, c.changeMembers(c.leader().address, call))
		}
		late := func(call memberCall, wantMember bool) {
			t.Helper()
			for _, r := range c.replicas {
				if !wantMember && r == follower {
					continue
				}
				must.Eq(t, fault.OrderOutdated, fault.KindOf(c.changeMembers(r.address, call)), must.Sprint(r.address))
				must.Eq(t, wantMember, c.memberID(follower.address) != "")
			}
		}
		id := c.memberID(follower.address)
		remove := removal(id, current())
		accept(remove)
		must.NoError(t, c.changeMembers(c.leader().address, remove), must.Sprint("a change is acknowledged again"))
		must.Eq(t, "", c.memberID(follower.address))

		admit := admission(follower.address, current())
		accept(admit)
		accept(admit)
		must.Eq(t, id, c.memberID(follower.address))
		late(remove, true)

		// Nobody accepts this removal, and the admission that follows changes nothing.
		givenUp := removal(id, current())
		accept(admission(follower.address, current()))
		late(givenUp, true)

		accept(removal(id, current()))
		late(admit, false)
		byAddress := removal(follower.address, current())
		accept(byAddress)
		accept(admission(follower.address, current()))
		late(byAddress, true)

		must.Eq(t, fault.BadRequest, fault.KindOf(c.changeMembers(c.leader().address, removal(id, nil))))
		must.Eq(t, fault.BadRequest, fault.KindOf(c.changeMembers(c.leader().address, admission(follower.address, nil))))
	})
}
