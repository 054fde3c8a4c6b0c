package registry

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// tableFixture is a table with a manual clock.
type tableFixture struct {
	*Table
	t   *testing.T
	now time.Time
}

func newTableFixture(t *testing.T) *tableFixture {
	f := &tableFixture{t: t, now: startTime}
	f.Table = NewTable(func() time.Time { return f.now })
	return f
}

func (f *tableFixture) advance(d time.Duration) { f.now = f.now.Add(d) }

// checkInstances checks that the table has exactly these instances of service "s".
func (f *tableFixture) checkInstances(instances ...string) {
	f.t.Helper()
	var got []string
	for _, r := range f.Targets("s") {
		got = append(got, r.Instance)
	}
	must.Eq(f.t, instances, got)
}

// full returns a full list of service "s".
func full(epoch string, version uint64, instances ...string) *protocol.RegistryDelta {
	d := &protocol.RegistryDelta{Epoch: epoch, Version: version, Full: true}
	for _, i := range instances {
		d.Upserts = append(d.Upserts, protocol.TargetRecord{Service: "s", Instance: i, PeerAddress: i + ":80", State: protocol.Warm, Slots: 1})
	}
	return d
}

// A replica that has just lost its state lists only the daemons that have renewed
// since. The other targets must stay for the grace period, which a further new
// epoch does not extend.
func TestAReplicaWithoutStateDoesNotEmptyTheTable(t *testing.T) {
	f := newTableFixture(t)
	f.Apply(full("one", 9, "a", "b", "c"))
	f.checkInstances("a", "b", "c")
	f.advance(time.Second)
	f.Apply(full("two", 1))
	f.checkInstances("a", "b", "c")
	for _, instance := range []string{"a", "b"} {
		f.advance(RenewalInterval)
		d := full("two", 2, instance)
		d.Full = false
		f.Apply(d)
		f.checkInstances("a", "b", "c")
	}
	f.Apply(full("three", 1, "a", "b"))
	f.advance(GracePeriod - 2*RenewalInterval - 1)
	f.Apply(nil)
	f.checkInstances("a", "b", "c")
	f.advance(1)
	f.Apply(nil)
	f.checkInstances("a", "b")
}

func TestTableFollowsDeltas(t *testing.T) {
	f := newTableFixture(t)
	f.Apply(full("one", 3, "a", "b"))
	f.Apply(&protocol.RegistryDelta{Epoch: "one", Version: 4, Removes: []string{"s/a"}})
	f.checkInstances("b")
	// A delta older than the table and one of another epoch change nothing.
	f.Apply(&protocol.RegistryDelta{Epoch: "one", Version: 3, Removes: []string{"s/b"}})
	f.Apply(&protocol.RegistryDelta{Epoch: "two", Version: 9, Removes: []string{"s/b"}})
	f.checkInstances("b")
	// A full list of the same epoch takes effect immediately.
	f.Apply(full("one", 9, "c"))
	f.checkInstances("c")
	must.SliceEmpty(t, f.Targets("other"))
}

func TestChangedSubscriptionsRequestAFullList(t *testing.T) {
	f := newTableFixture(t)
	epoch, _ := f.Position([]string{"s"})
	must.Eq(t, "", epoch)
	f.Apply(full("one", 3, "a"))
	epoch, version := f.Position([]string{"s"})
	must.Eq(t, "one", epoch)
	must.Eq(t, 3, version)
	epoch, _ = f.Position([]string{"t", "s"})
	must.Eq(t, "", epoch)
	// The response was lost: the next renewal requests a full list again.
	epoch, _ = f.Position([]string{"s", "t"})
	must.Eq(t, "", epoch)
	f.Apply(full("one", 4, "a"))
	epoch, _ = f.Position([]string{"t", "s"})
	must.Eq(t, "one", epoch)
}

// While no replica replies, targets stay in the table and the table is stale.
func TestTargetsStayWhileNoReplicaAnswers(t *testing.T) {
	f := newTableFixture(t)
	must.True(t, f.Stale())
	f.Apply(full("one", 1, "a"))
	f.advance(StaleAfter - 1)
	must.False(t, f.Stale())
	f.advance(1)
	must.True(t, f.Stale())
	f.advance(time.Hour)
	f.checkInstances("a")
	f.Apply(nil)
	must.False(t, f.Stale())
}

// BenchmarkDelta measures the delta for one subscriber after one target of a
// subscribed service has changed.
func BenchmarkDelta(b *testing.B) {
	for _, targets := range []int{6, 24, 100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r := New("epoch")
			for i := range targets {
				r.Renew(startTime, renewal(fmt.Sprint("i", i), fmt.Sprint("d", i%4), protocol.Warm, "s"))
			}
			version := r.Version()
			r.Renew(startTime, renewal("i0", "d0", protocol.Cold, "s"))
			for range b.N {
				if d := r.Delta("subscriber", []string{"s"}, "epoch", version); d == nil {
					b.Fatal("Delta returned no change")
				}
			}
		})
	}
}

// BenchmarkRenew measures an unchanged renewal at a replica, and the memory of the
// registry per daemon with one target.
func BenchmarkRenew(b *testing.B) {
	for _, daemons := range []int{150, 1500, 15000} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			before := heapBytes()
			r := New("epoch")
			var requests []protocol.RenewRequest
			for i := range daemons {
				requests = append(requests, renewal(fmt.Sprint("i", i), fmt.Sprint("d", i%4), protocol.Warm, fmt.Sprint("s", i%260)))
				r.Renew(startTime, requests[i])
			}
			used := heapBytes() - before
			b.ResetTimer()
			for i := range b.N {
				r.Renew(startTime, requests[i%daemons])
			}
			b.ReportMetric(float64(used)/float64(daemons), "heap-B/daemon")
			runtime.KeepAlive(r)
		})
	}
}

// heapBytes returns the size of the live heap objects after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
