package events

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/request/hop"
)

var _ hop.Recorder = (*Ring)(nil)

// TestClockRespectsHappensBefore compares hybrid logical clocks with vector
// clocks over random local events and messages, with physical clocks that jump.
func TestClockRespectsHappensBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 4
		type reading struct {
			stamp  Timestamp
			vector [processes]int
		}
		var clocks [processes]Clock
		var vectors [processes][processes]int
		var all []reading
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			p := rapid.IntRange(0, processes-1).Draw(t, "process")
			now := time.Unix(0, rapid.Int64Range(0, 20).Draw(t, "now"))
			vectors[p][p]++
			var stamp Timestamp
			if len(all) > 0 && rapid.Bool().Draw(t, "receives") {
				message := all[rapid.IntRange(0, len(all)-1).Draw(t, "message")]
				for i := range vectors[p] {
					vectors[p][i] = max(vectors[p][i], message.vector[i])
				}
				stamp = clocks[p].Observe(now, message.stamp)
			} else {
				stamp = clocks[p].Tick(now)
			}
			all = append(all, reading{stamp, vectors[p]})
		}
		for _, a := range all {
			for _, b := range all {
				if a.vector != b.vector && before(a.vector[:], b.vector[:]) && a.stamp.Compare(b.stamp) >= 0 {
					t.Fatalf("%v happens before %v, but %v is not before %v", a.vector, b.vector, a.stamp, b.stamp)
				}
			}
		}
	})
}

func before(a, b []int) bool {
	for i := range a {
		if a[i] > b[i] {
			return false
		}
	}
	return true
}

func TestClockEdges(t *testing.T) {
	var c Clock
	now := time.Unix(100, 0)
	far := Timestamp{Wall: now.Add(2 * MaxClockSkew).UnixNano()}
	must.Eq(t, Timestamp{Wall: now.UnixNano()}, c.Observe(now, far))
	full := Timestamp{now.UnixNano(), 1<<32 - 1}
	must.Eq(t, Timestamp{now.UnixNano() + 1, 0}, c.Observe(now, full))
	for _, text := range []string{"", "1", "1.", ".1", "-1.0", "x.1", "1.100000000", "1.2.3"} {
		_, ok := ParseTimestamp(text)
		must.False(t, ok, must.Sprint(text))
	}
	back, ok := ParseTimestamp(full.String())
	must.True(t, ok)
	must.Eq(t, full, back)
}

func TestMergeEqualsSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := make([][]protocol.Event, rapid.IntRange(0, 5).Draw(t, "processes"))
		var naive []protocol.Event
		for i := range lists {
			for range rapid.IntRange(0, 8).Draw(t, "events") {
				lists[i] = append(lists[i], protocol.Event{
					Wall:    rapid.Int64Range(0, 4).Draw(t, "wall"),
					Logical: rapid.Uint32Range(0, 2).Draw(t, "logical"),
					Process: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "process"),
					Detail:  fmt.Sprint(len(naive), len(lists[i])),
				})
			}
			slices.SortStableFunc(lists[i], Compare)
			naive = append(naive, lists[i]...)
		}
		slices.SortStableFunc(naive, Compare)
		if merged := Merge(lists...); !slices.Equal(naive, merged) {
			t.Fatalf("merged %v, sorted %v", merged, naive)
		}
	})
}

func TestRingKeepsTheLatest(t *testing.T) {
	r := New("tides-1", 2*shardCount, func() time.Time { return time.Unix(1, 0) })
	const count = 5 * shardCount
	for i := range count {
		r.Record(protocol.Event{Name: "step", Team: "obala", Detail: fmt.Sprint(i), Process: "forged"})
	}
	reply := r.Read(protocol.EventsRequest{})
	must.Eq(t, 3*shardCount, reply.Dropped)
	must.Len(t, 2*shardCount, reply.Events)
	for i, event := range reply.Events {
		must.Eq(t, "tides-1", event.Process)
		must.Eq(t, fmt.Sprint(3*shardCount+i), event.Detail)
	}
	must.Len(t, 0, r.Read(protocol.EventsRequest{Team: "other"}).Events)
	r.Record(protocol.Event{Request: "r", Team: "obala", Target: "tides/tides-1"})
	must.Len(t, 1, r.Read(protocol.EventsRequest{Request: "r", Team: "obala", Target: "tides/tides-1"}).Events)
}

func TestHeaderOrdersEventsDespiteWrongClocks(t *testing.T) {
	ahead := New("a", 10, func() time.Time { return time.Unix(30, 0) })
	behind := New("b", 10, func() time.Time { return time.Unix(1, 0) })
	ahead.Record(protocol.Event{Name: "send"})
	header := make(http.Header)
	ahead.Inject(header)
	behind.Extract(header)
	behind.Record(protocol.Event{Name: "receive"})
	timeline := Merge(behind.Read(protocol.EventsRequest{}).Events, ahead.Read(protocol.EventsRequest{}).Events)
	must.Eq(t, "send", timeline[0].Name)
	must.Eq(t, "receive", timeline[1].Name)
}

func TestRingUnderConcurrency(t *testing.T) {
	r := New("a", 64, time.Now)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 100 {
				r.Record(protocol.Event{Name: "step"})
				r.Read(protocol.EventsRequest{Team: "none"})
			}
		})
	}
	group.Wait()
	reply := r.Read(protocol.EventsRequest{})
	must.Eq(t, 800, int(reply.Dropped)+len(reply.Events))
	must.True(t, slices.IsSortedFunc(reply.Events, Compare))
}
