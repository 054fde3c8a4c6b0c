package registry

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// bench is a table with a clock.
type bench struct {
	*Table
	t   *testing.T
	now time.Time
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: epoch}
	b.Table = NewTable(func() time.Time { return b.now })
	return b
}

func (b *bench) after(d time.Duration) { b.now = b.now.Add(d) }

// has checks which instances of service "s" the table gives.
func (b *bench) has(instances ...string) {
	b.t.Helper()
	var got []string
	for _, r := range b.Targets("s") {
		got = append(got, r.Instance)
	}
	must.Eq(b.t, instances, got)
}

func full(epoch string, version uint64, instances ...string) *protocol.RegistryDelta {
	d := &protocol.RegistryDelta{Epoch: epoch, Version: version, Full: true}
	for _, i := range instances {
		d.Upserts = append(d.Upserts, protocol.TargetRecord{Service: "s", Instance: i})
	}
	return d
}

// A replica that has just lost its state lists only what has renewed since:
// the others stay for the grace time, which new epochs do not extend.
func TestAReplicaWithoutStateDoesNotEmptyTheTable(t *testing.T) {
	b := newBench(t)
	b.Apply(full("one", 9, "a", "b", "c"))
	b.has("a", "b", "c")
	b.after(time.Second)
	b.Apply(full("two", 1))
	b.has("a", "b", "c")
	for _, instance := range []string{"a", "b"} {
		b.after(RenewalInterval)
		d := full("two", 2, instance)
		d.Full = false
		b.Apply(d)
		b.has("a", "b", "c")
	}
	b.Apply(full("three", 1, "a", "b"))
	b.after(Grace - 2*RenewalInterval - 1)
	b.Apply(nil)
	b.has("a", "b", "c")
	b.after(1)
	b.Apply(nil)
	b.has("a", "b")
}

func TestTableFollowsDeltas(t *testing.T) {
	b := newBench(t)
	b.Apply(full("one", 3, "a", "b"))
	b.Apply(&protocol.RegistryDelta{Epoch: "one", Version: 4, Removes: []string{"s/a"}})
	b.has("b")
	// An overtaken delta and one of an unknown epoch change nothing.
	b.Apply(&protocol.RegistryDelta{Epoch: "one", Version: 3, Removes: []string{"s/b"}})
	b.Apply(&protocol.RegistryDelta{Epoch: "two", Version: 9, Removes: []string{"s/b"}})
	b.has("b")
	// A full list of the same epoch holds at once.
	b.Apply(full("one", 9, "c"))
	b.has("c")
	must.SliceEmpty(t, b.Targets("other"))
}

func TestOtherSubscriptionsAskAnew(t *testing.T) {
	b := newBench(t)
	epoch, _ := b.Position([]string{"s"})
	must.Eq(t, "", epoch)
	b.Apply(full("one", 3, "a"))
	epoch, version := b.Position([]string{"s"})
	must.Eq(t, "one", epoch)
	must.Eq(t, 3, version)
	epoch, _ = b.Position([]string{"t", "s"})
	must.Eq(t, "", epoch)
	// The answer was lost: it asks anew again.
	epoch, _ = b.Position([]string{"s", "t"})
	must.Eq(t, "", epoch)
	b.Apply(full("one", 4, "a"))
	epoch, _ = b.Position([]string{"t", "s"})
	must.Eq(t, "one", epoch)
}

// With no replica answering, targets stay in use and are marked stale.
func TestTargetsStayWhileNoReplicaAnswers(t *testing.T) {
	b := newBench(t)
	must.True(t, b.Stale())
	b.Apply(full("one", 1, "a"))
	b.after(StaleAfter - 1)
	must.False(t, b.Stale())
	b.after(1)
	must.True(t, b.Stale())
	b.after(time.Hour)
	b.has("a")
	b.Apply(nil)
	must.False(t, b.Stale())
}

// BenchmarkDelta measures the answer to a renewal after one target of a
// subscribed service has changed.
func BenchmarkDelta(b *testing.B) {
	for _, targets := range []int{6, 24, 100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r := New("epoch")
			for i := range targets {
				r.Renew(epoch, renewal(fmt.Sprint("i", i), fmt.Sprint("d", i%4), protocol.Warm, "s"))
			}
			version := r.Version()
			r.Renew(epoch, renewal("i0", "d0", protocol.Cold, "s"))
			for range b.N {
				if d := r.Delta("subscriber", []string{"s"}, "epoch", version); d == nil {
					b.Fatal("no change")
				}
			}
		})
	}
}

// BenchmarkRenew measures an unchanged renewal at a replica, and the memory of
// the registry for each daemon with one target.
func BenchmarkRenew(b *testing.B) {
	for _, daemons := range []int{150, 1500, 15000} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			before := heap()
			r := New("epoch")
			var requests []protocol.RenewRequest
			for i := range daemons {
				requests = append(requests, renewal(fmt.Sprint("i", i), fmt.Sprint("d", i%4), protocol.Warm, fmt.Sprint("s", i%260)))
				r.Renew(epoch, requests[i])
			}
			used := heap() - before
			b.ResetTimer()
			for i := range b.N {
				r.Renew(epoch, requests[i%daemons])
			}
			b.ReportMetric(float64(used)/float64(daemons), "heap-B/daemon")
			runtime.KeepAlive(r)
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
