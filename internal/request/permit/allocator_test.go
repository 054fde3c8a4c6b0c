package permit

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/hop"
)

var _ hop.Permits = (*Allocator)(nil)

func TestAllocatorGrantsUpToRetries(t *testing.T) {
	root := New(Options{Self: "r"})
	peer := New(Options{Self: "p", RequestPermit: func(_ context.Context, _, id string) bool { return root.Grant(id) }})
	e := &envelope.Envelope{RequestID: "1", Root: "r", Service: "tides"}
	must.False(t, peer.Take(t.Context(), e))
	root.Open("1", 2)
	root.Open("1", 9)
	must.True(t, peer.Take(t.Context(), e))
	must.True(t, root.Take(t.Context(), e))
	must.False(t, peer.Take(t.Context(), e))
	root.Close("1")
	must.False(t, root.Take(t.Context(), e))
	must.Zero(t, root.Len())
}

func TestAllocatorKeepsRatio(t *testing.T) {
	firstAttempts := uint64(0)
	a := New(Options{Self: "r", FirstAttempts: func(string) uint64 { return firstAttempts }})
	e := &envelope.Envelope{RequestID: "1", Root: "r", Service: "tides"}
	a.Open("1", 1000)
	granted := 0
	for range 100 {
		firstAttempts += 10
		for range 3 {
			if a.Take(t.Context(), e) {
				granted++
			}
		}
	}
	must.LessEq(t, DefaultBurst+DefaultRatio*float64(firstAttempts), float64(granted))
	must.GreaterEq(t, DefaultRatio*float64(firstAttempts), float64(granted))
}
