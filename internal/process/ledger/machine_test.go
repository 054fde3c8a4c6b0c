package ledger

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/replica"
)

// digest has the length of a digest in production.
var digest = strings.Repeat("d", 64)

func request(op protocol.OnceOperation, key, attempt string) protocol.OnceRequest {
	return protocol.OnceRequest{Operation: op, Key: protocol.OnceKey{Team: "obala", Service: "blagajna", Key: key}, Attempt: attempt, Digest: digest}
}

func apply(t testing.TB, m *Machine, now time.Duration, r protocol.OnceRequest) protocol.OnceReply {
	t.Helper()
	command, err := EncodeCommand(now, r)
	must.NoError(t, err)
	reply, err := DecodeReply(m.Apply(0, command))
	must.NoError(t, err)
	return reply
}

// withBody returns r with a response whose body has this size in bytes.
func withBody(r protocol.OnceRequest, size int) protocol.OnceRequest {
	r.Response = &protocol.StoredResponse{Status: 201, Body: make([]byte, size)}
	return r
}

// Guards against using expired entries that are still in the table because more
// have expired than one command removes, and against removing a renewed fence
// together with its old queue entry.
func TestABacklogOfExpiredEntriesIsGone(t *testing.T) {
	const many = 4 * maxExpiries
	limits := DefaultLimits()
	m := NewMachine(limits)
	for i := range many {
		must.Eq(t, protocol.OnceGranted, apply(t, m, 0, request(protocol.OnceClaim, fmt.Sprint(i), "a")).State)
		must.Eq(t, protocol.OnceHeld, apply(t, m, 0, request(protocol.OnceCancel, fmt.Sprint(i), "b")).State)
	}
	last := fmt.Sprint(many - 1)
	must.Eq(t, protocol.OnceFenced, apply(t, m, limits.FenceTTL-1, request(protocol.OnceClaim, last, "b")).State)
	must.Eq(t, protocol.OnceHeld, apply(t, m, limits.Retention-1, request(protocol.OnceClaim, last, "c")).State)
	must.Eq(t, protocol.OnceFenced, apply(t, m, limits.Retention, request(protocol.OnceCancel, last, "b")).State)
	must.Eq(t, protocol.OnceGranted, apply(t, m, limits.Retention, request(protocol.OnceClaim, last, "c")).State)
	for range 2 * many / maxExpiries {
		must.Eq(t, protocol.OnceFenced, apply(t, m, limits.Retention, request(protocol.OnceClaim, last, "b")).State)
	}
	must.Eq(t, 1, m.Stats().Records)
	must.Eq(t, 1, m.Stats().Fences)
}

// Guards against a full ledger that accepts new claims or fences, does not release
// claims, or has no room for the responses of granted requests.
func TestAFullLedgerClaimsNothing(t *testing.T) {
	for name, limits := range map[string]Limits{
		"entries": {Retention: time.Hour, FenceTTL: time.Minute, Entries: 3, Bytes: 1 << 20},
		"bytes":   {Retention: time.Hour, FenceTTL: time.Minute, Entries: 100, Bytes: 1300},
	} {
		t.Run(name, func(t *testing.T) {
			m := NewMachine(limits)
			granted := 0
			for apply(t, m, 0, request(protocol.OnceClaim, fmt.Sprint(granted), "a")).State == protocol.OnceGranted {
				granted++
			}
			must.Eq(t, 3, granted)
			must.Eq(t, protocol.OnceFull, apply(t, m, 0, request(protocol.OnceCancel, "new", "a")).State)
			must.Eq(t, protocol.OnceFull, apply(t, m, 0, request(protocol.OnceRelease, "new", "a")).State)
			must.Eq(t, protocol.OnceDone, apply(t, m, 0, withBody(request(protocol.OnceComplete, "0", "a"), 20)).State)
			must.Eq(t, protocol.OnceFree, apply(t, m, 0, request(protocol.OnceRelease, "1", "a")).State)
			must.Eq(t, protocol.OnceFenced, apply(t, m, 0, request(protocol.OnceClaim, "1", "a")).State)
			must.Less(t, limits.Bytes+1, m.Stats().Bytes)
			must.Eq(t, protocol.OnceGranted, apply(t, m, time.Hour, request(protocol.OnceClaim, "new", "a")).State)
		})
	}
}

func TestResponsesAreStoredWholeOrNotAtAll(t *testing.T) {
	m := NewMachine(DefaultLimits())
	must.Eq(t, protocol.OnceGranted, apply(t, m, 0, request(protocol.OnceClaim, "k", "a")).State)
	must.Eq(t, protocol.OnceHeld, apply(t, m, 0, withBody(request(protocol.OnceComplete, "k", "a"), protocol.MaxStoredResponse+1)).State)
	must.Eq(t, protocol.OnceHeld, apply(t, m, 0, withBody(request(protocol.OnceComplete, "k", "b"), 1)).State)
	must.Eq(t, protocol.OnceDone, apply(t, m, 0, withBody(request(protocol.OnceComplete, "k", "a"), protocol.MaxStoredResponse)).State)
	must.Eq(t, protocol.OnceDone, apply(t, m, 0, withBody(request(protocol.OnceComplete, "k", "a"), 1)).State)
	replayed := apply(t, m, 0, request(protocol.OnceClaim, "k", "b"))
	must.Eq(t, protocol.OnceDone, replayed.State)
	must.Eq(t, 201, replayed.Response.Status)
	must.Len(t, protocol.MaxStoredResponse, replayed.Response.Body)
}

func TestUnreadableCommandsClaimNothing(t *testing.T) {
	m := NewMachine(DefaultLimits())
	reply, err := DecodeReply(m.Apply(0, []byte("no CBOR")))
	must.NoError(t, err)
	must.Eq(t, protocol.OnceFull, reply.State)
	must.Eq(t, protocol.OnceFull, apply(t, m, 0, request(protocol.OnceClaim, "", "a")).State)
	must.Eq(t, protocol.OnceFull, apply(t, m, 0, request("unknown", "k", "a")).State)
	must.Error(t, m.Restore([]byte("no CBOR")))
	must.Zero(t, m.Stats().Records)
}

// Guards against following steps of the wall clock: the time advances only with the
// monotonic clock and with the state machine.
func TestClockNeverMovesBack(t *testing.T) {
	m := NewMachine(DefaultLimits())
	now := time.Unix(0, 0)
	c := replica.NewClock(m, func() time.Time { return now })
	now = now.Add(time.Second)
	must.Eq(t, time.Second, c.Now())
	apply(t, m, time.Hour, request(protocol.OnceClaim, "k", "a"))
	must.Eq(t, time.Hour, c.Now())
	now = now.Add(-time.Minute)
	must.Eq(t, time.Hour, c.Now())
	now = now.Add(time.Second)
	must.Eq(t, time.Hour+time.Second, c.Now())
}

func TestShardsAreEven(t *testing.T) {
	const keys, shards = 40000, 4
	var counts [shards]int
	for i := range keys {
		counts[ShardOf(protocol.OnceKey{Team: "t", Service: "s", Key: fmt.Sprint(i)}, shards)]++
	}
	for _, n := range counts {
		must.Between(t, keys/shards*95/100, n, keys/shards*105/100)
	}
	split := protocol.OnceKey{Team: "ab", Service: "c"}
	joined := protocol.OnceKey{Team: "a", Service: "bc"}
	must.NotEq(t, ShardOf(split, 1<<20), ShardOf(joined, 1<<20))
}

// scriptedCaller returns the next error on each call, and success after the last.
type scriptedCaller []error

func (s *scriptedCaller) SendOnce(context.Context, int, protocol.OnceRequest) (protocol.OnceReply, error) {
	if len(*s) == 0 {
		return protocol.OnceReply{State: protocol.OnceGranted}, nil
	}
	err := (*s)[0]
	*s = (*s)[1:]
	return protocol.OnceReply{}, err
}

func TestClientTellsNotAcceptedFromUnknown(t *testing.T) {
	notLeader := fault.New(fault.NotLeader, "not the leader")
	lost := fault.New(fault.ConnectionLost, "lost")
	noLeader := fault.New(fault.NoLeader, "no leader")
	forbidden := fault.New(fault.Forbidden, "forbidden")
	thenAlways := func(first error, rest error) scriptedCaller {
		s := scriptedCaller{first}
		for range 1000 {
			s = append(s, rest)
		}
		return s
	}
	cases := map[string]struct {
		script scriptedCaller
		want   fault.Kind
	}{
		"answered":               {scriptedCaller{}, ""},
		"answered after a while": {scriptedCaller{notLeader, lost, noLeader}, ""},
		"never taken":            {thenAlways(notLeader, notLeader), fault.LedgerUnavailable},
		"lost once":              {thenAlways(lost, notLeader), fault.LedgerUnknown},
		"no leader":              {thenAlways(noLeader, notLeader), fault.LedgerUnknown},
		"no kind":                {thenAlways(errors.New("other"), notLeader), fault.LedgerUnknown},
		"refused":                {scriptedCaller{forbidden}, fault.LedgerUnavailable},
		"lost, then refused":     {scriptedCaller{lost, forbidden}, fault.LedgerUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := NewClient(&c.script, 1).Do(ctx, request(protocol.OnceClaim, "k", "a"))
				must.Eq(t, c.want, fault.KindOf(err))
			})
		})
	}
}

// Guards against a snapshot that contains commands applied after CaptureSnapshot was
// called and before the result was encoded.
func TestCapturedSnapshotExcludesLaterCommands(t *testing.T) {
	m := NewMachine(DefaultLimits())
	for i := range 10 {
		must.Eq(t, protocol.OnceGranted, apply(t, m, 0, request(protocol.OnceClaim, fmt.Sprint(i), "a")).State)
	}
	want, err := m.Snapshot()
	must.NoError(t, err)
	encode := m.CaptureSnapshot()
	apply(t, m, time.Second, withBody(request(protocol.OnceComplete, "1", "a"), 20))
	apply(t, m, time.Second, request(protocol.OnceRelease, "2", "a"))
	apply(t, m, time.Second, request(protocol.OnceClaim, "new", "a"))
	got, err := encode()
	must.NoError(t, err)
	must.Eq(t, want, got)
}

// BenchmarkRecord measures the time of a claim and its completion, and the size of a
// record in memory and in a snapshot, for responses of several sizes.
func BenchmarkRecord(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 16 << 10} {
		b.Run(fmt.Sprintf("answer=%d", size), func(b *testing.B) {
			limits := DefaultLimits()
			limits.Bytes = 8 << 30
			m := NewMachine(limits)
			before := heapInUse()
			b.ResetTimer()
			for i := range b.N {
				key := fmt.Sprintf("%032d", i)
				apply(b, m, time.Duration(i), request(protocol.OnceClaim, key, key))
				apply(b, m, time.Duration(i), withBody(request(protocol.OnceComplete, key, key), size))
			}
			b.StopTimer()
			used := heapInUse() - before
			snapshot, err := m.Snapshot()
			must.NoError(b, err)
			b.ReportMetric(float64(used)/float64(b.N), "heap-B/record")
			b.ReportMetric(float64(len(snapshot))/float64(b.N), "snapshot-B/record")
			b.ReportMetric(float64(m.Stats().Bytes)/float64(b.N), "counted-B/record")
			runtime.KeepAlive(m)
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
