package simulation

import (
	"math/rand/v2"
	"time"
)

const (
	// naiveRetries is how often each hop of the naive version tries again.
	naiveRetries = 2
	// naiveTimeout is how long each hop of the naive version waits.
	naiveTimeout = time.Second
)

// naive carries requests with round robin, fixed retries at each hop and no
// limits; with ByLoad it sends to the least loaded of two by what the targets'
// endpoints say.
type naive struct {
	world    *world
	services map[string][]*target
	turn     map[string]int
	random   *rand.Rand
	// old holds the loads as they were five seconds ago, by target name.
	old map[string][]report
}

// report is the load of a target at a time.
type report struct {
	at   time.Duration
	load int
}

func newNaive(w *world) *naive {
	n := &naive{world: w, services: make(map[string][]*target), turn: make(map[string]int)}
	n.random = rand.New(rand.NewPCG(w.random.Uint64(), 4))
	n.old = make(map[string][]report)
	for _, t := range w.targets {
		n.services[t.service.Name] = append(n.services[t.service.Name], t)
	}
	if w.scenario.Lie == FiveSecondsOld {
		n.watch()
	}
	return n
}

func (n *naive) changed(*target, change) {}

// watch keeps the reported loads of each target.
func (n *naive) watch() {
	for _, t := range n.world.targets {
		r := report{n.world.loop.Now(), len(t.running) + len(t.line)}
		n.old[t.name] = append(n.old[t.name], r)
	}
	n.world.loop.After(100*time.Millisecond, n.watch)
}

func (n *naive) send(r *Request) {
	n.call(r, &r.route.Call, 0, r.close)
}

// call makes one call with its retries.
func (n *naive) call(r *Request, c *Call, tried int, done func(ok bool)) {
	n.world.figures.Hops++
	if tried > 0 {
		r.retried()
	}
	over := false
	end := func(ok bool) {
		if over {
			return
		}
		over = true
		if ok || tried >= naiveRetries {
			done(ok)
			return
		}
		n.call(r, c, tried+1, done)
	}
	n.world.loop.After(naiveTimeout, func() { end(false) })
	n.world.loop.After(delayFar, func() { n.work(r, c, end) })
}

// work runs the call at a target, and the target's own calls after it.
func (n *naive) work(r *Request, c *Call, end func(ok bool)) {
	t := n.pick(c.Service)
	back := func(ok bool) { n.world.loop.After(delayFar, func() { end(ok) }) }
	j := &job{work: c.Work, request: r}
	release := func(ok bool) {
		t.release(j)
		back(ok)
	}
	j.lost = func() { back(false) }
	j.finished = func(e jobEnd, _ time.Duration) {
		if e != endOK {
			release(false)
			return
		}
		n.next(r, c, 0, release)
	}
	t.submit(j)
}

func (n *naive) next(r *Request, c *Call, i int, done func(ok bool)) {
	if i == len(c.Calls) {
		done(true)
		return
	}
	n.call(r, &c.Calls[i], 0, func(ok bool) {
		if !ok {
			done(false)
			return
		}
		n.next(r, c, i+1, done)
	})
}

func (n *naive) pick(service string) *target {
	targets := n.services[service]
	if n.world.scenario.ByLoad {
		a := targets[n.random.IntN(len(targets))]
		b := targets[n.random.IntN(len(targets))]
		if n.reported(b) < n.reported(a) {
			return b
		}
		return a
	}
	n.turn[service]++
	return targets[n.turn[service]%len(targets)]
}

// reported is what the load endpoint of a target says.
func (n *naive) reported(t *target) int {
	switch n.world.scenario.Lie {
	case AlwaysZero:
		return 0
	case Random:
		return n.random.IntN(100)
	case FiveSecondsOld:
		return n.stale(t)
	}
	return len(t.running) + len(t.line)
}

func (n *naive) stale(t *target) int {
	load := 0
	for _, r := range n.old[t.name] {
		if r.at > n.world.loop.Now()-5*time.Second {
			break
		}
		load = r.load
	}
	return load
}
