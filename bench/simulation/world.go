package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// registryDelay is how long the other processes take to learn of a change.
const registryDelay = time.Second

// coldSpacing is the time between two targets that turn cold.
const coldSpacing = time.Millisecond

// restartDelay is how long a restarted target takes to announce itself.
const restartDelay = 200 * time.Millisecond

// Version is the system under load.
type Version string

// Versions.
const (
	Ours  Version = "teaselrack"
	Naive Version = "naive"
)

// world is one run.
type world struct {
	loop       Loop
	deployment *Deployment
	scenario   *Scenario
	figures    *Figures
	targets    []*target
	system     system
	random     *rand.Rand
	requests   int
}

// Run runs one scenario and returns its figures.
func Run(d *Deployment, s *Scenario, v Version, seed uint64) *Figures {
	w := &world{deployment: d, scenario: s, figures: newFigures(d, s.Length)}
	w.random = rand.New(rand.NewPCG(seed, 1))
	w.build(seed)
	if v == Ours {
		w.system = newMesh(w)
	} else {
		w.system = newNaive(w)
	}
	w.schedule()
	c := &callers{world: w, random: rand.New(rand.NewPCG(seed, 2))}
	c.run()
	w.loop.Run(s.Length)
	for _, t := range w.targets {
		w.figures.Violations += t.violations
		w.figures.Early += t.early
	}
	return w.figures
}

func (w *world) build(seed uint64) {
	for i := range w.deployment.Services {
		s := &w.deployment.Services[i]
		for n := range s.Servers {
			domain := w.deployment.FailureDomains[(n+i)%len(w.deployment.FailureDomains)]
			w.targets = append(w.targets, &target{
				loop:     &w.loop,
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

// schedule sets the disturbances up.
func (w *world) schedule() {
	s := w.scenario
	first := make(map[string]bool)
	for i, t := range w.targets {
		isFirst := !first[t.service.Name]
		first[t.service.Name] = true
		if s.Slow > 0 && t.service.Name == w.deployment.Deep {
			w.between(func() { t.slowdown = s.Slow }, func() { t.slowdown = 1 })
		}
		if s.Down != "" && t.domain == s.Down {
			w.between(func() { w.down(t) }, func() { w.up(t) })
		}
		if !isFirst {
			continue
		}
		if s.Uneven {
			t.slowdown = 3
		}
		if s.Broken > 0 {
			w.between(func() { t.broken = s.Broken }, func() { t.broken = 0 })
		}
		if s.Cold != ColdNever {
			w.loop.At(s.From+time.Duration(i)*coldSpacing, func() { w.cool(t) })
		}
	}
}

func (w *world) between(from, to func()) {
	w.loop.At(w.scenario.From, from)
	w.loop.At(w.scenario.To, to)
}

func (w *world) down(t *target) {
	t.alive = false
	t.reset()
	w.system.changed(t, changeDown)
}

func (w *world) up(t *target) {
	t.alive = true
	t.incarnation++
	w.system.changed(t, changeUp)
}

func (w *world) cool(t *target) {
	switch w.scenario.Cold {
	case ColdRestart, ColdRestartSilent:
		t.turnCold(len(t.running) == 0)
		t.reset()
	case ColdAnnounced:
		t.turnCold(false)
		w.system.changed(t, changeAnnouncedCold)
	case ColdSilent:
		t.turnCold(true)
	}
	if w.scenario.Cold == ColdRestart {
		t.incarnation++
		w.loop.After(restartDelay, func() { w.system.changed(t, changeRestart) })
	}
}

// teamRate is the rate of a team at a load of 1.
func (w *world) teamRate(team int) float64 {
	return w.deployment.Load * w.deployment.Teams[team].Share
}

func (w *world) nextID() string {
	w.requests++
	return fmt.Sprintf("%032x", w.requests)
}

// delay is the time from one process to another.
func delay(a, b string) time.Duration {
	if a == b {
		return delayNear
	}
	return delayFar
}
