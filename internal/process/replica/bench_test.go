package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/process/storage"
	"github.com/teaselrack/teaselrack/internal/process/storage/storagetest"
)

const benchCommandBytes = 256

// benchReplica is one replica of a pair whose messages the benchmark delivers.
type benchReplica struct {
	*engine
	disk   *storagetest.Disk
	outbox []Message
	// bytes is the total size of the encoded messages that were sent.
	bytes int
}

func (b *benchReplica) Send(_ string, m Message) { b.outbox = append(b.outbox, m) }

func newBenchReplica(tb testing.TB, address string) *benchReplica {
	tb.Helper()
	b := new(benchReplica)
	rng := rand.New(rand.NewPCG(1, uint64(address[0])))
	b.disk = storagetest.New(rng)
	o := Options{Group: "configuration", Address: address, Machine: new(counter), Transport: b}
	o.setDefaults()
	e, err := openEngine(o, b.disk, rng, 0)
	must.NoError(tb, err)
	e.startSnapshotJob = func(job *snapshotJob) { e.writtenSnapshot = job }
	b.engine = e
	return b
}

// deliver encodes and decodes the messages that sender has sent, passes them to
// receiver and flushes receiver.
func deliver(tb testing.TB, sender, receiver *benchReplica) {
	tb.Helper()
	for _, m := range sender.outbox {
		encoded, err := m.Encode()
		must.NoError(tb, err)
		sender.bytes += len(encoded)
		decoded, err := DecodeMessage(encoded)
		must.NoError(tb, err)
		receiver.step(decoded)
	}
	sender.outbox = sender.outbox[:0]
	must.NoError(tb, receiver.flush())
}

// benchPair returns a leader and a follower, both voters of one group.
func benchPair(tb testing.TB) (leading, following *benchReplica) {
	tb.Helper()
	a, b := newBenchReplica(tb, "10.0.0.1:7000"), newBenchReplica(tb, "20.0.0.2:7000")
	must.NoError(tb, a.core.foundGroup())
	must.NoError(tb, a.flush())
	admitted := false
	a.changeMembership(membershipChange{address: b.Address}, func(err error) { admitted = err == nil })
	for range 20 {
		must.NoError(tb, a.flush())
		deliver(tb, a, b)
		deliver(tb, b, a)
	}
	must.True(tb, admitted)
	a.bytes, b.bytes = 0, 0
	return a, b
}

// BenchmarkCommands measures the cost of a command on a leader and a follower
// together, encoding included, with batch commands per sync.
func BenchmarkCommands(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			leading, following := benchPair(b)
			command := make([]byte, benchCommandBytes)
			written, syncs := leading.disk.Written, leading.disk.Syncs
			done := 0
			var leaderTime time.Duration
			b.ReportAllocs()
			for b.Loop() {
				start := time.Now()
				for range batch {
					leading.propose(command, func([]byte, error) { done++ })
				}
				must.NoError(b, leading.flush())
				leaderTime += time.Since(start)
				deliver(b, leading, following)
				start = time.Now()
				deliver(b, following, leading)
				leaderTime += time.Since(start)
			}
			deliver(b, leading, following)
			deliver(b, following, leading)
			n := float64(b.N * batch)
			must.Eq(b, b.N*batch, done)
			b.ReportMetric(n/b.Elapsed().Seconds(), "commands/s")
			b.ReportMetric(float64(leaderTime.Nanoseconds())/n, "leader-ns/command")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds()-leaderTime.Nanoseconds())/n, "follower-ns/command")
			b.ReportMetric(float64(leading.disk.Written-written)/n, "disk-B/command")
			b.ReportMetric(float64(leading.disk.Syncs-syncs)/n, "syncs/command")
			b.ReportMetric(float64(leading.bytes)/n, "sent-B/command")
		})
	}
}

// BenchmarkHeartbeat measures a heartbeat without entries and its reply.
func BenchmarkHeartbeat(b *testing.B) {
	leading, following := benchPair(b)
	now := time.Duration(0)
	sent := 0
	b.ReportAllocs()
	for b.Loop() {
		now += DefaultHeartbeatInterval
		leading.tick(now)
		must.NoError(b, leading.flush())
		sent += len(leading.outbox)
		deliver(b, leading, following)
		deliver(b, following, leading)
	}
	b.ReportMetric(float64(leading.bytes)/float64(sent), "heartbeat-B")
	b.ReportMetric(float64(following.bytes)/float64(sent), "answer-B")
}

// BenchmarkReadBarrier measures read barriers on a follower, with batch concurrent
// calls.
func BenchmarkReadBarrier(b *testing.B) {
	for _, batch := range []int{1, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			leading, following := benchPair(b)
			deliver(b, leading, following)
			waiting := pendingBarrier{canceled: func() bool { return false }}
			b.ReportAllocs()
			for b.Loop() {
				open := batch
				waiting.done = func(error) { open-- }
				for range batch {
					following.readBarrier(waiting)
				}
				must.NoError(b, following.flush())
				for range 4 { // the first call uses one request, the others share the next
					deliver(b, following, leading)
					deliver(b, leading, following)
				}
				must.Eq(b, 0, open)
			}
			b.ReportMetric(float64(leading.bytes+following.bytes)/float64(b.N*batch), "B/read")
		})
	}
}

// BenchmarkEntryMemory measures the heap memory per entry of the log.
func BenchmarkEntryMemory(b *testing.B) {
	b.ReportAllocs()
	log := newLogTail(position{}, nil)
	index := uint64(0)
	for b.Loop() {
		index++
		must.NoError(b, log.add(storage.Entry{Index: index, Term: 1, Data: make([]byte, benchCommandBytes)}))
		if index%DefaultSnapshotEvery == 0 {
			log.compact(index - DefaultSnapshotEvery/keptEntriesDivisor)
		}
	}
}
