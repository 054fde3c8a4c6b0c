package control_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/operate"
	"github.com/teaselrack/teaselrack/internal/process/storage/storagetest"
)

// TestLateFoundingHasNoEffect guards against a request to found the groups that a replica reads
// after its sender had them founded elsewhere, and that founds a second system.
func TestLateFoundingHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		other := &replicaProcess{cluster: c, address: "10.0.0.9:1", disks: make(map[string]*storagetest.Disk), random: c.replicas[0].random}
		c.replicas = append(c.replicas, other)
		other.start()
		ticket := func() string {
			t.Helper()
			var reply protocol.TicketReply
			must.NoError(t, c.operator.Call(t.Context(), other.address, protocol.MethodTicket, protocol.Empty{}, &reply))
			return reply.Ticket
		}
		found := func(ticket string) error {
			return c.operator.Call(t.Context(), other.address, protocol.MethodFound, protocol.FoundRequest{Ticket: ticket}, &protocol.FoundReply{})
		}
		late := ticket()
		time.Sleep(5 * time.Second)
		must.Eq(t, fault.OrderOutdated, fault.KindOf(found(late)), must.Sprint("a late request"))
		must.Eq(t, fault.OrderOutdated, fault.KindOf(found("")), must.Sprint("a request of an earlier build"))
		must.Eq(t, fault.OrderOutdated, fault.KindOf(found(c.replicas[0].address)), must.Sprint("a ticket of another replica"))
		replaced := ticket()
		ticket()
		must.Eq(t, fault.OrderOutdated, fault.KindOf(found(replaced)), must.Sprint("a ticket that another one replaced"))

		must.NoError(t, c.changeMembers(c.leader().address, admission(other.address, commitIndexes(c.groupStatus()))))
		must.NotEq(t, "", c.memberID(other.address), must.Sprint("it could still join"))
		_, err := operate.NewControlClient(nil, c.operator).Found(t.Context(), other.address)
		must.Eq(t, fault.AlreadyFounded, fault.KindOf(err))
	})
}
