package permit

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/request/envelope"
)

func TestPermitAllocations(t *testing.T) {
	a := New(Options{Self: "r"})
	e := &envelope.Envelope{RequestID: "1", Root: "r", Service: "tides"}
	must.Zero(t, testing.AllocsPerRun(1000, func() {
		a.Open("1", 2)
		a.Take(t.Context(), e)
		a.Close("1")
	}))
}

func BenchmarkOpenClose(b *testing.B) {
	allocator := New(Options{Self: "r"})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		id := make([]byte, 32)
		n := 0
		for pb.Next() {
			n++
			id[n%32]++
			key := string(id)
			allocator.Open(key, 2)
			allocator.Close(key)
		}
	})
}
