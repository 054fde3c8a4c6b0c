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
	simTick          = DefaultHeartbeat / ticksPerHeartbeat
	simSnapshotEvery = 16
	simSegmentSize   = 2048
	simAppendBytes   = 200
	simChunkBytes    = 300
)

// event is something that happens at a virtual time.
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

// host is one place where a replica runs, with its disk.
type host struct {
	sim     *sim
	address string
	disk    *storagetest.Disk
	engine  *engine // nil while the process is down
	machine *register
	// life counts the processes that ran here.
	life int
	// rate is how fast the host's clock runs.
	rate        float64
	frozenUntil time.Duration
	// leaderTerm is the term for which the host was last seen leading.
	leaderTerm uint64
}

// sim runs replicas on a virtual clock, network and disk. All choices are drawn
// from one seed, and there is one goroutine.
type sim struct {
	rng    *rand.Rand
	now    time.Duration
	seq    int
	events eventHeap
	hosts  []*host
	// cut holds the directed links that carry nothing.
	cut                   map[[2]string]bool
	loss, duplicate, slow float64
	// pause is the longest time between two faults.
	pause    time.Duration
	check    *checker
	clients  *clients
	operator operator
	// quiet is true once no more faults are made.
	quiet bool
}

func newSim(seed uint64) *sim {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &sim{rng: rng, cut: make(map[[2]string]bool), check: newChecker()}
	// Some seeds have clocks that run very unlike: only liveness may need them.
	spread := []float64{0.02, 0.1, 0.6}[rng.IntN(3)]
	for _, address := range []string{"a", "b", "c", "d"} {
		h := &host{sim: s, address: address, rate: 1 - spread/2 + spread*rng.Float64()}
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

// runUntil runs events up to a time, until an invariant is broken.
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
		h.work(func() {})
		s.scheduleTick(h)
	})
}

// between draws a duration.
func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// leader returns a host that leads, or believes that it does.
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

// boot starts a process on the host. A disk that fails meanwhile keeps it down.
func (h *host) boot() {
	h.life++
	h.machine = new(register)
	o := Options{Group: simGroup, Address: h.address, Machine: h.machine, Transport: h, SnapshotEvery: simSnapshotEvery, SegmentSize: simSegmentSize, appendBytes: simAppendBytes, chunkBytes: simChunkBytes, Logger: zap.NewNop()}
	o.setDefaults()
	e, err := openEngine(o, h.disk, h.sim.rng, h.clock())
	if err != nil {
		h.crash()
		return
	}
	e.write = h.write
	h.engine = e
	h.sim.check.observe(h)
}

// write writes a snapshot a while later, where the process still runs.
func (h *host) write(job *snapshotJob) {
	life := h.life
	h.sim.after(h.sim.between(0, 300*time.Millisecond), func() {
		if h.life != life {
			return
		}
		h.work(func() { h.engine.written = job })
	})
}

// clock is the host's own monotonic clock.
func (h *host) clock() time.Duration {
	return time.Duration(float64(h.sim.now) * h.rate)
}

// crash ends the process: unsynced data are lost.
func (h *host) crash() {
	h.engine = nil
	h.leaderTerm = 0
	h.disk.Crash()
}

func (h *host) restartAfter(d time.Duration) {
	life := h.life
	h.sim.after(d, func() {
		if h.engine == nil && h.life == life {
			h.boot()
		}
		if h.engine == nil {
			h.restartAfter(time.Second)
		}
	})
}

// work lets the process do one thing, now or when it is no longer frozen.
func (h *host) work(do func()) {
	s := h.sim
	if h.engine == nil {
		return
	}
	if s.now < h.frozenUntil {
		life := h.life
		s.after(h.frozenUntil-s.now, func() {
			if h.life == life {
				h.work(do)
			}
		})
		return
	}
	h.engine.tick(h.clock())
	do()
	err := h.engine.flush()
	if err != nil {
		s.check.failed(h, err)
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
		if s.rng.Float64() < s.loss || s.cut[[2]string{h.address, address}] {
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
			h.work(func() { h.engine.step(m) })
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
