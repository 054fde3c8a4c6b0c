package inflight

import (
	"context"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
)

func TestHandleIsValidUntilRequestEnds(t *testing.T) {
	table := NewTable()
	ctx, cancel := context.WithCancel(t.Context())
	e := &envelope.Envelope{Team: "obala"}
	handle, remove := table.Add(Request{Envelope: e, Context: ctx})
	must.True(t, envelope.ValidID(handle))

	r, err := table.Get(handle)
	must.NoError(t, err)
	must.Eq(t, "obala", r.Envelope.Team)

	cancel()
	_, err = table.Get(handle)
	must.Eq(t, fault.HandleUnknown, fault.KindOf(err), must.Sprint("the context of the request is done"))
	remove()
	remove()
	must.Eq(t, 0, table.Len())

	other, remove := table.Add(Request{Envelope: e, Context: t.Context()})
	must.NotEq(t, handle, other)
	remove()
	_, err = table.Get(other)
	must.Eq(t, fault.HandleUnknown, fault.KindOf(err), must.Sprint("removed"))
	_, err = table.Get("")
	must.Eq(t, fault.HandleUnknown, fault.KindOf(err))
}

func TestConcurrentRequestsAreNotMixedUp(t *testing.T) {
	table := NewTable()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 200 {
				e := &envelope.Envelope{RequestID: envelope.NewID()}
				handle, remove := table.Add(Request{Envelope: e, Context: t.Context()})
				r, err := table.Get(handle)
				must.NoError(t, err)
				must.Eq(t, e.RequestID, r.Envelope.RequestID)
				remove()
			}
		})
	}
	wg.Wait()
	must.Eq(t, 0, table.Len())
}
