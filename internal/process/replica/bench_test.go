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

const benchCommandSize = 256

// benchReplica is a leader with one follower, joined by hand.
type benchReplica struct {
	*engine
	disk *storagetest.Disk
	out  []Message
	// bytes counts what was sent, encoded.
	bytes int
}

func (b *benchReplica) Send(_ string, m Message) { b.out = append(b.out, m) }

func newBenchReplica(tb testing.TB, address string) *benchReplica {
	tb.Helper()
	b := new(benchReplica)
	rng := rand.New(rand.NewPCG(1, uint64(address[0])))
	b.disk = storagetest.New(rng)
	o := Options{Group: "configuration", Address: address, Machine: new(counter), Transport: b}
	o.setDefaults()
	e, err := openEngine(o, b.disk, rng, 0)
	must.NoError(tb, err)
	e.write = func(job *snapshotJob) { e.written = job }
	b.engine = e
	return b
}

// carry gives what from sent to to, through the codec, and lets it work.
func carry(tb testing.TB, from, to *benchReplica) {
	tb.Helper()
	for _, m := range from.out {
		encoded, err := m.Encode()
		must.NoError(tb, err)
		from.bytes += len(encoded)
		decoded, err := DecodeMessage(encoded)
		must.NoError(tb, err)
		to.step(decoded)
	}
	from.out = from.out[:0]
	must.NoError(tb, to.flush())
}

// benchPair returns a leader and a follower that is a voter.
func benchPair(tb testing.TB) (leading, following *benchReplica) {
	tb.Helper()
	a, b := newBenchReplica(tb, "10.0.0.1:7000"), newBenchReplica(tb, "20.0.0.2:7000")
	must.NoError(tb, a.core.found())
	must.NoError(tb, a.flush())
	admitted := false
	a.change(change{address: b.Address}, func(err error) { admitted = err == nil })
	for range 20 {
		must.NoError(tb, a.flush())
		carry(tb, a, b)
		carry(tb, b, a)
	}
	must.True(tb, admitted)
	a.bytes, b.bytes = 0, 0
	return a, b
}

// BenchmarkCommands measures what a command costs a leader and a follower
// together, codec included, where batch commands share one sync.
func BenchmarkCommands(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			leading, following := benchPair(b)
			command := make([]byte, benchCommandSize)
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
				carry(b, leading, following)
				start = time.Now()
				carry(b, following, leading)
				leaderTime += time.Since(start)
			}
			carry(b, leading, following)
			carry(b, following, leading)
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

// BenchmarkHeartbeat measures an idle heartbeat and its answer.
func BenchmarkHeartbeat(b *testing.B) {
	leading, following := benchPair(b)
	now := time.Duration(0)
	sent := 0
	b.ReportAllocs()
	for b.Loop() {
		now += DefaultHeartbeat
		leading.tick(now)
		must.NoError(b, leading.flush())
		sent += len(leading.out)
		carry(b, leading, following)
		carry(b, following, leading)
	}
	b.ReportMetric(float64(leading.bytes)/float64(sent), "heartbeat-B")
	b.ReportMetric(float64(following.bytes)/float64(sent), "answer-B")
}

// BenchmarkConfirm measures reads of the current state on a follower, where
// batch calls wait at once.
func BenchmarkConfirm(b *testing.B) {
	for _, batch := range []int{1, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			leading, following := benchPair(b)
			carry(b, leading, following)
			waiting := confirmation{gone: func() bool { return false }}
			b.ReportAllocs()
			for b.Loop() {
				open := batch
				waiting.done = func(error) { open-- }
				for range batch {
					following.confirm(waiting)
				}
				must.NoError(b, following.flush())
				for range 4 { // the first call asks alone, the others after it
					carry(b, following, leading)
					carry(b, leading, following)
				}
				must.Eq(b, 0, open)
			}
			b.ReportMetric(float64(leading.bytes+following.bytes)/float64(b.N*batch), "B/read")
		})
	}
}

// BenchmarkEntryMemory measures the heap that one entry of the log takes.
func BenchmarkEntryMemory(b *testing.B) {
	b.ReportAllocs()
	log := newTail(position{}, nil)
	index := uint64(0)
	for b.Loop() {
		index++
		must.NoError(b, log.push(storage.Entry{Index: index, Term: 1, Data: make([]byte, benchCommandSize)}))
		if index%DefaultSnapshotEvery == 0 {
			log.compact(index - DefaultSnapshotEvery/keptShare)
		}
	}
}
