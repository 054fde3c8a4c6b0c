package replica

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/process/storage/storagetest"
)

const (
	simGroup         = "g"
	simTick          = DefaultHeartbeatInterval / ticksPerHeartbeat
	simSnapshotEvery = 16
	simSegmentSize   = 2048
	simAppendBytes   = 200
	simChunkBytes    = 300
)

// event is a function that runs at a virtual time. seq orders the events with
// the same time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// host is a simulated host on which a replica runs. Its disk outlives the
// process.
type host struct {
	sim     *sim
	address string
	disk    *storagetest.Disk
	engine  *engine // nil while the process is down
	machine *register
	// incarnation counts the processes that were started on this host.
	incarnation int
	// clockRate is the rate of the host's clock relative to the virtual clock.
	clockRate float64
	// frozenUntil is the virtual time until which the process does not run.
	frozenUntil time.Duration
	// leaderTerm is the last term in which the host was observed as the leader.
	leaderTerm uint64
}

// sim is a deterministic simulation of replicas with a virtual clock, network
// and disks. All random choices derive from one seed. There is one goroutine.
type sim struct {
	rng    *rand.Rand
	now    time.Duration
	seq    int
	events eventHeap
	hosts  []*host
	// blocked holds the pairs of sender and receiver whose messages are
	// dropped.
	blocked map[[2]string]bool
	// loss, duplicate and slow are the probabilities that a message is lost,
	// duplicated or delayed by up to two seconds.
	loss, duplicate, slow float64
	// maxFaultInterval is the longest time between two injected faults.
	maxFaultInterval time.Duration
	check            *checker
	clients          *clients
	operator         operator
	// faultsStopped is true once no more faults are injected.
	faultsStopped bool
}

func newSim(seed uint64) *sim {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &sim{rng: rng, blocked: make(map[[2]string]bool), check: newChecker()}
	// In some seeds the clocks run at very different rates: only liveness may
	// depend on clocks.
	spread := []float64{0.02, 0.1, 0.6}[rng.IntN(3)]
	for _, address := range []string{"a", "b", "c", "d"} {
		h := &host{sim: s, address: address, clockRate: 1 - spread/2 + spread*rng.Float64()}
		h.disk = storagetest.New(rng)
		s.hosts = append(s.hosts, h)
		h.boot()
		s.scheduleTick(h)
	}
	s.clients = newClients(s)
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, do: do})
}

// runUntil runs the events up to a time. It stops at the first violation of an
// invariant.
func (s *sim) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end && s.check.err == nil {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = max(s.now, end)
}

func (s *sim) scheduleTick(h *host) {
	s.after(simTick, func() {
		h.run(func() {})
		s.scheduleTick(h)
	})
}

// between draws a random duration from low to high, high excluded.
func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// leader returns a random host among those that consider themselves the leader,
// or nil.
func (s *sim) leader() *host {
	var leaders []*host
	for _, h := range s.hosts {
		if h.engine != nil && s.now >= h.frozenUntil && h.engine.core.role == leader {
			leaders = append(leaders, h)
		}
	}
	if len(leaders) == 0 {
		return nil
	}
	return leaders[s.rng.IntN(len(leaders))]
}

// boot starts a process on the host. If the disk fails during the start, the
// process stays down.
func (h *host) boot() {
	h.incarnation++
	h.machine = new(register)
	o := Options{Group: simGroup, Address: h.address, Machine: h.machine, Transport: h, SnapshotEvery: simSnapshotEvery, SegmentSize: simSegmentSize, appendBytes: simAppendBytes, chunkBytes: simChunkBytes, Logger: zap.NewNop()}
	o.setDefaults()
	e, err := openEngine(o, h.disk, h.sim.rng, h.clock())
	if err != nil {
		h.crash()
		return
	}
	e.startSnapshotJob = h.startSnapshotJob
	h.engine = e
	h.sim.check.observe(h)
}

// startSnapshotJob finishes the snapshot after a random delay, if the same
// process still runs.
func (h *host) startSnapshotJob(job *snapshotJob) {
	incarnation := h.incarnation
	h.sim.after(h.sim.between(0, 300*time.Millisecond), func() {
		if h.incarnation != incarnation {
			return
		}
		h.run(func() { h.engine.writtenSnapshot = job })
	})
}

// clock returns the time of the host's monotonic clock.
func (h *host) clock() time.Duration {
	return time.Duration(float64(h.sim.now) * h.clockRate)
}

// crash kills the process. Data that was not synced is lost.
func (h *host) crash() {
	h.engine = nil
	h.leaderTerm = 0
	h.disk.Crash()
}

func (h *host) restartAfter(d time.Duration) {
	incarnation := h.incarnation
	h.sim.after(d, func() {
		if h.engine == nil && h.incarnation == incarnation {
			h.boot()
		}
		if h.engine == nil {
			h.restartAfter(time.Second)
		}
	})
}

// run runs do in the process and flushes the engine. If the process is frozen,
// run waits until it no longer is.
func (h *host) run(do func()) {
	s := h.sim
	if h.engine == nil {
		return
	}
	if s.now < h.frozenUntil {
		incarnation := h.incarnation
		s.after(h.frozenUntil-s.now, func() {
			if h.incarnation == incarnation {
				h.run(do)
			}
		})
		return
	}
	h.engine.tick(h.clock())
	do()
	err := h.engine.flush()
	if err != nil {
		s.check.processFailed(h, err)
		h.crash()
		h.restartAfter(s.between(0, 2*time.Second))
		return
	}
	s.check.observe(h)
}

// Send implements Transport over the virtual network.
func (h *host) Send(address string, message Message) {
	s := h.sim
	b, err := message.Encode()
	if err != nil {
		panic(err)
	}
	copies := 1
	if s.rng.Float64() < s.duplicate {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() < s.loss || s.blocked[[2]string{h.address, address}] {
			continue
		}
		delay := s.between(200*time.Microsecond, 2*time.Millisecond)
		if s.rng.Float64() < s.slow {
			delay = s.between(time.Millisecond, 2*time.Second)
		}
		s.after(delay, func() { s.deliver(address, b) })
	}
}

func (s *sim) deliver(address string, b []byte) {
	m, err := DecodeMessage(b)
	if err != nil {
		panic(err)
	}
	for _, h := range s.hosts {
		if h.address == address {
			h.run(func() { h.engine.step(m) })
		}
	}
}

func (s *sim) host(address string) *host {
	for _, h := range s.hosts {
		if h.address == address {
			return h
		}
	}
	panic(fmt.Sprintf("no host %q", address))
}
