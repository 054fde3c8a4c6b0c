package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/version"
)

// maxAllocs bounds the allocations of one Pick and Done: only the Done closure
// is allocated.
const maxAllocs = 1

func benchRouter(targets int) *Router {
	var records []protocol.TargetRecord
	for i := range targets {
		records = append(records, record(fmt.Sprintf("t%03d", i), fmt.Sprintf("d%d", i%4)))
	}
	return New(Options{
		FailureDomain: "d0",
		Targets:       func(string) []protocol.TargetRecord { return records },
	})
}

func pickOnce(t testing.TB, r *Router, e *envelope.Envelope) {
	c, err := r.Pick(e, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Done(time.Millisecond, nil, nil)
}

func benchEnvelope(service string) *envelope.Envelope {
	return &envelope.Envelope{Service: service, Team: "obala", Importance: version.Normal, Depth: 1}
}

func TestPickAllocations(t *testing.T) {
	r, e := benchRouter(20), benchEnvelope("tides")
	pickOnce(t, r, e)
	must.LessEq(t, maxAllocs, testing.AllocsPerRun(1000, func() { pickOnce(t, r, e) }))
}

func BenchmarkPick(b *testing.B) {
	for _, targets := range []int{5, 100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r, e := benchRouter(targets), benchEnvelope("tides")
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					pickOnce(b, r, e)
				}
			})
		})
	}
}
