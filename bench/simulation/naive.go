package simulation

import (
	"math/rand/v2"
	"time"
)

const (
	// naiveRetries is the number of retries of each hop in the naive version.
	naiveRetries = 2
	// naiveTimeout is how long each hop of the naive version waits for one
	// attempt.
	naiveTimeout = time.Second
)

// naive sends requests round robin, with a fixed number of retries at each hop
// and no limits. With Scenario.RouteByLoad it picks two random targets and
// sends to the one whose load endpoint reports less.
type naive struct {
	sim        *simulation
	services   map[string][]*target
	roundRobin map[string]int
	random     *rand.Rand
	// loadHistory holds the sampled loads of each target, by target name. It is
	// filled for FiveSecondsOld only.
	loadHistory map[string][]loadSample
}

// loadSample is the load of a target at one time: its running and queued
// requests.
type loadSample struct {
	at   time.Duration
	load int
}

func newNaive(sim *simulation) *naive {
	n := &naive{sim: sim, services: make(map[string][]*target), roundRobin: make(map[string]int)}
	n.random = rand.New(rand.NewPCG(sim.random.Uint64(), 4))
	n.loadHistory = make(map[string][]loadSample)
	for _, t := range sim.targets {
		n.services[t.service.Name] = append(n.services[t.service.Name], t)
	}
	if sim.scenario.LoadReporting == FiveSecondsOld {
		n.sampleLoads()
	}
	return n
}

func (n *naive) targetChanged(*target, targetChange) {}

// sampleLoads records the load of each target every 100 ms.
func (n *naive) sampleLoads() {
	for _, t := range n.sim.targets {
		sample := loadSample{n.sim.loop.Now(), len(t.running) + len(t.queue)}
		n.loadHistory[t.name] = append(n.loadHistory[t.name], sample)
	}
	n.sim.loop.After(100*time.Millisecond, n.sampleLoads)
}

func (n *naive) send(r *Request) {
	n.call(r, &r.route.Call, 0, r.close)
}

// call sends one attempt of a call; retries is the number of attempts before it.
// A failed attempt is retried immediately, up to naiveRetries times.
func (n *naive) call(r *Request, c *Call, retries int, done func(ok bool)) {
	n.sim.stats.Hops++
	if retries > 0 {
		r.countRetry()
	}
	finished := false
	end := func(ok bool) {
		if finished {
			return
		}
		finished = true
		if ok || retries >= naiveRetries {
			done(ok)
			return
		}
		n.call(r, c, retries+1, done)
	}
	n.sim.loop.After(naiveTimeout, func() { end(false) })
	n.sim.loop.After(delayCrossDomain, func() { n.callTarget(r, c, end) })
}

// callTarget runs the call at a target, and then the target's own calls.
func (n *naive) callTarget(r *Request, c *Call, end func(ok bool)) {
	t := n.pick(c.Service)
	reply := func(ok bool) { n.sim.loop.After(delayCrossDomain, func() { end(ok) }) }
	j := &job{work: c.Work, request: r}
	release := func(ok bool) {
		t.release(j)
		reply(ok)
	}
	j.onConnectionLost = func() { reply(false) }
	j.onFinished = func(result jobResult, _ time.Duration) {
		if result != resultOK {
			release(false)
			return
		}
		n.callNext(r, c, 0, release)
	}
	t.submit(j)
}

// callNext makes the i-th call of the target and the calls after it. It stops at
// the first call that fails.
func (n *naive) callNext(r *Request, c *Call, i int, done func(ok bool)) {
	if i == len(c.Calls) {
		done(true)
		return
	}
	n.call(r, &c.Calls[i], 0, func(ok bool) {
		if !ok {
			done(false)
			return
		}
		n.callNext(r, c, i+1, done)
	})
}

func (n *naive) pick(service string) *target {
	targets := n.services[service]
	if n.sim.scenario.RouteByLoad {
		a := targets[n.random.IntN(len(targets))]
		b := targets[n.random.IntN(len(targets))]
		if n.reportedLoad(b) < n.reportedLoad(a) {
			return b
		}
		return a
	}
	n.roundRobin[service]++
	return targets[n.roundRobin[service]%len(targets)]
}

// reportedLoad returns the load that the load endpoint of a target reports.
func (n *naive) reportedLoad(t *target) int {
	switch n.sim.scenario.LoadReporting {
	case AlwaysZero:
		return 0
	case Random:
		return n.random.IntN(100)
	case FiveSecondsOld:
		return n.staleLoad(t)
	}
	return len(t.running) + len(t.queue)
}

// staleLoad returns the load of a target as it was five seconds ago.
func (n *naive) staleLoad(t *target) int {
	load := 0
	for _, sample := range n.loadHistory[t.name] {
		if sample.at > n.sim.loop.Now()-5*time.Second {
			break
		}
		load = sample.load
	}
	return load
}
