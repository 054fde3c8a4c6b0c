package replica

import (
	"flag"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

var (
	seedCount = flag.Int("seeds", 300, "number of simulation seeds to run")
	oneSeed   = flag.Uint64("seed", 0, "run only this simulation seed")
)

const (
	// faultTime is how long faults are injected.
	faultTime = 25 * time.Second
	// recoveryTime is the time after the last fault within which the group must
	// accept commands again and finish all replacements of members.
	recoveryTime = 15 * time.Second
)

// totals are counts over all seeds, so that a run shows how much it covered.
type totals struct {
	completed, operations, elections, losses, changes, entries atomic.Int64
}

func TestSimulation(t *testing.T) {
	seeds := make([]uint64, 0, *seedCount)
	for i := range *seedCount {
		seeds = append(seeds, uint64(i)+1)
	}
	if *oneSeed != 0 {
		seeds = []uint64{*oneSeed}
	}
	var sum totals
	t.Run("seeds", func(t *testing.T) {
		for _, seed := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				if err := simulate(seed, &sum); err != nil {
					t.Fatalf("%v\nreplay: go test ./internal/process/replica -run TestSimulation -seed=%d", err, seed)
				}
			})
		}
	})
	t.Logf("%d seeds: %d of %d operations completed, %d elections, %d entries, %d disks lost or damaged, %d membership changes",
		len(seeds), sum.completed.Load(), sum.operations.Load(), sum.elections.Load(), sum.entries.Load(), sum.losses.Load(), sum.changes.Load())
}

// simulate runs one seed and returns the first violation of an invariant.
func simulate(seed uint64, sum *totals) error {
	s := newSim(seed)
	s.setUpGroup()
	s.loss = 0.1 * s.rng.Float64()
	s.duplicate = 0.1 * s.rng.Float64()
	s.slow = []float64{0, 0.02, 0.2}[s.rng.IntN(3)]
	s.maxFaultInterval = s.between(300*time.Millisecond, 2*time.Second)
	s.clients.start()
	s.injectFault()
	s.runUntil(s.now + faultTime)
	s.heal()
	s.clients.stopped = true
	s.runUntil(s.now + recoveryTime)
	if s.check.err == nil {
		s.checkEnd()
	}
	sum.completed.Add(int64(s.clients.completed))
	sum.operations.Add(int64(len(s.clients.history)))
	sum.elections.Add(int64(s.check.elections))
	sum.entries.Add(int64(s.check.highest))
	sum.losses.Add(int64(s.operator.losses))
	sum.changes.Add(int64(s.operator.changes))
	return s.check.err
}

// setUpGroup founds the group on host a and admits b and c, without faults.
func (s *sim) setUpGroup() {
	a := s.host("a")
	a.run(func() {
		if err := a.engine.core.foundGroup(); err != nil {
			s.check.violation("founding the group failed: %v", err)
		}
	})
	s.admit("b", func() { s.admit("c", func() {}) })
	s.runUntil(2 * time.Second)
	if s.operator.busy || s.operator.changes != 2 {
		s.check.violation("the group did not have three voters after %s", s.now)
	}
}

// checkEnd checks that the group accepts commands again, that all members reach
// the same state, that no acknowledged note is lost, and that the history of
// the clients is linearizable.
func (s *sim) checkEnd() {
	if s.operator.busy {
		s.check.violation("a membership change did not finish within %s after the last fault", recoveryTime)
	}
	l := s.leader()
	if l == nil {
		s.check.violation("there is no leader %s after the last fault", recoveryTime)
		return
	}
	var result *note
	last := note{Number: l.machine.current().Number + 1, Content: 1 << 32}
	l.run(func() {
		l.engine.propose(last.encode(), s.clients.writer(last, func(n *note, _ error) { result = n }))
	})
	s.runUntil(s.now + time.Second)
	if result == nil || *result != last {
		s.check.violation("a command was not accepted after the last fault")
	}
	for _, m := range l.engine.core.members() {
		if h := s.host(m.Address); h.machine.Digest != l.machine.Digest {
			s.check.violation("the state of %s differs from the state of the leader", m.Address)
		}
	}
	for _, n := range s.clients.accepted {
		if !slices.Contains(l.machine.History, n) {
			s.check.violation("acknowledged note %d is lost", n.Number)
		}
	}
	if !s.clients.linearizable() {
		s.check.violation("the history of the clients is not linearizable")
	}
}
