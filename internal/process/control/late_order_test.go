package control_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// domainOrder returns an encoded order that takes failure domain z into or out of service, on
// top of a generation.
func domainOrder(t *testing.T, inService bool, generation uint64) []byte {
	t.Helper()
	note := version.Note{Order: &version.Order{Domain: &version.FailureDomain{Name: "z", InService: inService}, IfGeneration: &generation}}
	encoded, err := note.Encode()
	must.NoError(t, err)
	return encoded
}

// domain returns the state of failure domain z, as the replicas in turn tell it.
func (c *cluster) domain() protocol.DomainReply {
	for range 200 {
		for _, r := range c.replicas {
			var reply protocol.DomainReply
			if c.operator.Call(c.t.Context(), r.address, protocol.MethodDomain, protocol.DomainRequest{Name: "z"}, &reply) == nil {
				return reply
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatal("no replica tells the state of the failure domain")
	return protocol.DomainReply{}
}

// setInService orders that failure domain z is in or out of service, and returns the order.
func (c *cluster) setInService(inService bool) []byte {
	c.t.Helper()
	order := domainOrder(c.t, inService, c.domain().Generation)
	must.NoError(c.t, c.order(order, 4*time.Second))
	return order
}

// sendLate sends an order to each replica, as one that has held it for long does, and checks
// that failure domain z remains as it is.
func (c *cluster) sendLate(order []byte, inService bool) {
	c.t.Helper()
	for _, r := range c.replicas {
		err := c.sendOrder(r.address, order)
		must.Eq(c.t, fault.OrderOutdated, fault.KindOf(err), must.Sprint(r.address))
		must.Eq(c.t, inService, c.domain().InService, must.Sprintf("after a late order through %s", r.address))
	}
}

// TestLateOrderHasNoEffect guards against an order that a replica hands on after a newer one
// was acknowledged, and that undoes it. The replicas restart and store snapshots meanwhile.
func TestLateOrderHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newManagedCluster(t, 1)
		must.NoError(t, c.order(configurationOrder(t, 1, 0), 8*time.Second))
		for _, inService := range []bool{false, true, false} {
			before := c.domain().Generation
			accepted := c.setInService(!inService)
			neverAccepted := domainOrder(t, !inService, before)
			must.NoError(t, c.order(neverAccepted, 4*time.Second), must.Sprint("it changes nothing"))
			newer := c.setInService(inService)
			c.sendLate(accepted, inService)
			c.sendLate(neverAccepted, inService)
			for _, r := range c.replicas {
				r.stop()
			}
			for _, r := range c.replicas {
				r.start()
			}
			must.NoError(t, c.order(newer, 8*time.Second), must.Sprint("an accepted order is acknowledged again"))
			c.sendLate(accepted, inService)

			// Nobody accepts this order, and the one that follows changes nothing.
			givenUp := domainOrder(t, !inService, c.domain().Generation)
			c.setInService(inService)
			c.sendLate(givenUp, inService)
		}
	})
}

// TestOrderWithoutGenerationIsRejected guards against orders about failure domains of which
// nobody can tell whether they are late.
func TestOrderWithoutGenerationIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newManagedCluster(t, 1)
		must.NoError(t, c.order(configurationOrder(t, 1, 0), 8*time.Second))
		note := version.Note{Order: &version.Order{Domain: &version.FailureDomain{Name: "z"}}}
		encoded, err := note.Encode()
		must.NoError(t, err)
		must.Eq(t, fault.NoteInvalid, fault.KindOf(c.order(encoded, 4*time.Second)))
		must.True(t, c.domain().InService)
	})
}

// TestLateNoteHasNoEffect guards against a release note that a replica hands on after newer
// ones were accepted, and that takes a failure domain into service or brings a key back.
func TestLateNoteHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		const key = "hash: sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
		added := `{number: 1, added: {teams: [{name: a, rate: 5, burst: 5}], keys: [{team: a, ` + key + `}], failure_domains: [{name: z, in_service: true}]}}`
		withdrawn := `{number: 2, withdrawn: {keys: [9f86d081884c7d65]}, changed: {failure_domains: [{name: z, in_service: false}]}}`
		overtaken := `{number: 2, changed: {failure_domains: [{name: z, in_service: true}]}}`
		for _, note := range []string{added, withdrawn, "{number: 3}"} {
			_, err := c.apply(note)
			must.NoError(t, err)
		}
		for _, r := range c.replicas {
			for note, want := range map[string]fault.Kind{added: "", withdrawn: "", overtaken: fault.NoteConflict} {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				var reply protocol.ApplyReply
				err := c.operator.Call(ctx, r.address, protocol.MethodApply, protocol.ApplyRequest{Note: []byte(note)}, &reply)
				cancel()
				must.Eq(t, want, fault.KindOf(err), must.Sprint(note))
				must.Eq(t, want == "", reply.Repeated)
			}
		}
		state, err := c.replicas[0].role.Service().Confirmed(t.Context())
		must.NoError(t, err)
		must.False(t, state.DomainInService("z"))
		must.False(t, state.KeyInEffect("9f86d081884c7d65"))
	})
}
