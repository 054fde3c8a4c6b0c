package admission

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// maxAllocs bounds the allocations of one Admit and Done without contention.
const maxAllocs = 2

func warmController(t testing.TB) *Controller {
	c := New(Options{})
	c.Announce(time.Now(), announcement(protocol.Warm, 64))
	for range 1000 {
		admitOnce(t, c)
	}
	return c
}

func admitOnce(t testing.TB, c *Controller) {
	s, err := c.Admit(context.Background(), uncontended)
	if err != nil {
		t.Fatal(err)
	}
	s.Done(time.Millisecond, nil, false)
}

var uncontended = request()

func TestAdmitAllocations(t *testing.T) {
	c := warmController(t)
	must.LessEq(t, maxAllocs, testing.AllocsPerRun(1000, func() { admitOnce(t, c) }))
}

func BenchmarkAdmit(b *testing.B) {
	c := warmController(b)
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		admitOnce(b, c)
	}
}

func BenchmarkAdmitParallel(b *testing.B) {
	c := warmController(b)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s, err := c.Admit(context.Background(), uncontended)
			if err == nil {
				s.Done(time.Millisecond, nil, false)
			}
		}
	})
}
