package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// registryDelay is how long it takes until the other processes see in the
// registry that a target went down or came up.
const registryDelay = time.Second

// coldSpacing times the index of a target is the delay of its cold start, so
// that no two targets become cold at the same time.
const coldSpacing = time.Millisecond

// restartDelay is how long a restarted target takes to announce itself.
const restartDelay = 200 * time.Millisecond

// Variant names the system under test.
type Variant string

// Systems under test.
const (
	Teaselrack Variant = "teaselrack"
	Naive      Variant = "naive"
)

// simulation is the state of one run.
type simulation struct {
	loop         Loop
	deployment   *Deployment
	scenario     *Scenario
	stats        *Stats
	targets      []*target
	system       system
	random       *rand.Rand
	requestCount int
}

// Run runs one scenario and returns its statistics.
func Run(d *Deployment, s *Scenario, variant Variant, seed uint64) *Stats {
	sim := &simulation{deployment: d, scenario: s, stats: newStats(d, s.Length)}
	sim.random = rand.New(rand.NewPCG(seed, 1))
	sim.buildTargets(seed)
	if variant == Teaselrack {
		sim.system = newMesh(sim)
	} else {
		sim.system = newNaive(sim)
	}
	sim.scheduleDisturbances()
	generator := &loadGenerator{sim: sim, random: rand.New(rand.NewPCG(seed, 2))}
	generator.start()
	sim.loop.Run(s.Length)
	for _, t := range sim.targets {
		sim.stats.Violations += t.violations
		sim.stats.Undetectable += t.undetectable
	}
	return sim.stats
}

func (sim *simulation) buildTargets(seed uint64) {
	for i := range sim.deployment.Services {
		s := &sim.deployment.Services[i]
		for n := range s.Targets {
			domain := sim.deployment.FailureDomains[(n+i)%len(sim.deployment.FailureDomains)]
			sim.targets = append(sim.targets, &target{
				loop:     &sim.loop,
				random:   rand.New(rand.NewPCG(seed, uint64(100+100*i+n))),
				name:     fmt.Sprintf("%s-%d", s.Name, n),
				service:  s,
				domain:   domain,
				alive:    true,
				slowdown: 1,
			})
		}
	}
}

// scheduleDisturbances schedules the disturbances of the scenario.
func (sim *simulation) scheduleDisturbances() {
	s := sim.scenario
	first := make(map[string]bool)
	for i, t := range sim.targets {
		isFirst := !first[t.service.Name]
		first[t.service.Name] = true
		if s.DeepSlowdown > 0 && t.service.Name == sim.deployment.DeepService {
			sim.duringDisturbance(func() { t.slowdown = s.DeepSlowdown }, func() { t.slowdown = 1 })
		}
		if s.DownDomain != "" && t.domain == s.DownDomain {
			sim.duringDisturbance(func() { sim.takeDown(t) }, func() { sim.bringUp(t) })
		}
		if !isFirst {
			continue
		}
		if s.SlowFirstTarget {
			t.slowdown = 3
		}
		if s.FailShare > 0 {
			sim.duringDisturbance(func() { t.failShare = s.FailShare }, func() { t.failShare = 0 })
		}
		if s.ColdStart != ColdNever {
			sim.loop.At(s.From+time.Duration(i)*coldSpacing, func() { sim.makeCold(t) })
		}
	}
}

func (sim *simulation) duringDisturbance(start, end func()) {
	sim.loop.At(sim.scenario.From, start)
	sim.loop.At(sim.scenario.To, end)
}

func (sim *simulation) takeDown(t *target) {
	t.alive = false
	t.resetConnections()
	sim.system.targetChanged(t, changeDown)
}

func (sim *simulation) bringUp(t *target) {
	t.alive = true
	t.incarnation++
	sim.system.targetChanged(t, changeUp)
}

func (sim *simulation) makeCold(t *target) {
	switch sim.scenario.ColdStart {
	case ColdRestart, ColdRestartSilent:
		t.becomeCold(len(t.running) == 0)
		t.resetConnections()
	case ColdAnnounced:
		t.becomeCold(false)
		sim.system.targetChanged(t, changeAnnouncedCold)
	case ColdSilent:
		t.becomeCold(true)
	}
	if sim.scenario.ColdStart == ColdRestart {
		t.incarnation++
		sim.loop.After(restartDelay, func() { sim.system.targetChanged(t, changeRestart) })
	}
}

// teamRate returns the request rate of a team at a load of 1.
func (sim *simulation) teamRate(team int) float64 {
	return sim.deployment.RequestRate * sim.deployment.Teams[team].Share
}

func (sim *simulation) nextRequestID() string {
	sim.requestCount++
	return fmt.Sprintf("%032x", sim.requestCount)
}

// networkDelay returns the one-way delay between processes in the failure
// domains a and b.
func networkDelay(a, b string) time.Duration {
	if a == b {
		return delaySameDomain
	}
	return delayCrossDomain
}
