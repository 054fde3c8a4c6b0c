package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	scenarioSeeds = 100
	// freshnessLease is the lease of the daemons: the group must take commands
	// again well before it ends.
	freshnessLease = 3 * time.Second
)

// scenario returns a founded group of three without faults, and its leader.
func scenario(t *testing.T, seed uint64) (*sim, *host) {
	t.Helper()
	s := newSim(seed)
	s.begin()
	must.NoError(t, s.check.err)
	return s, s.leader()
}

// commit proposes one note to h and runs until it was accepted.
func (s *sim) commit(h *host, limit time.Duration) bool {
	start := s.now
	accepted := false
	h.work(func() {
		n := note{Number: h.machine.current().Number + 1, Content: 1}
		h.engine.propose(n.encode(), func(_ []byte, err error) { accepted = err == nil })
	})
	for !accepted && s.now < start+limit {
		s.runUntil(s.now + time.Millisecond)
	}
	return accepted
}

// others returns the two members that are not h.
func (s *sim) others(h *host) []*host {
	rest := slices.DeleteFunc(slices.Clone(s.hosts[:3]), func(o *host) bool { return o == h })
	return rest
}

func (s *sim) cutOff(h *host, cut bool) {
	for _, other := range s.hosts {
		s.cut[[2]string{h.address, other.address}] = cut
		s.cut[[2]string{other.address, h.address}] = cut
	}
}

// TestIsolatedReplicaKeepsTheLeader lets a follower be cut off for a while: when
// it is back, the group has the same leader in the same term.
func TestIsolatedReplicaKeepsTheLeader(t *testing.T) {
	for seed := range uint64(scenarioSeeds) {
		s, l := scenario(t, seed)
		term := l.engine.core.state.Term
		h := s.others(l)[seed%2]
		s.cutOff(h, true)
		s.runUntil(s.now + 5*time.Second)
		s.cutOff(h, false)
		s.runUntil(s.now + 5*time.Second)
		must.Eq(t, term, l.engine.core.state.Term, must.Sprintf("seed %d", seed))
		must.Eq(t, leader, l.engine.core.role)
		must.Eq(t, l.address, h.engine.core.leaderAddress)
	}
}

// TestLeaderLoss ends the leader, or cuts it off, and measures how long the
// group takes no command. A leader that is cut off must know that it leads no
// longer, and answer no read.
func TestLeaderLoss(t *testing.T) {
	var outages []time.Duration
	for seed := range uint64(scenarioSeeds) {
		s, l := scenario(t, seed)
		start := s.now
		if seed%2 == 0 {
			l.crash()
		} else {
			s.cutOff(l, true)
			l.work(func() {
				l.engine.confirm(confirmation{gone: func() bool { return false }, done: func(err error) {
					must.Error(t, err, must.Sprintf("seed %d: a read without a quorum", seed))
				}})
			})
		}
		rest := s.others(l)
		leads := func(h *host) bool { return h.engine.core.role == leader }
		for !slices.ContainsFunc(rest, leads) && s.now < start+10*freshnessLease {
			s.runUntil(s.now + time.Millisecond)
		}
		next := rest[max(0, slices.IndexFunc(rest, leads))]
		ok := s.commit(next, freshnessLease)
		must.True(t, ok, must.Sprintf("seed %d", seed))
		outages = append(outages, s.now-start)
		if l.engine != nil {
			s.runUntil(start + 2*DefaultElection)
			must.NotEq(t, leader, l.engine.core.role, must.Sprintf("seed %d", seed))
		}
	}
	slices.Sort(outages)
	n := len(outages)
	t.Logf("no command was taken for: half %s, 99 of 100 %s, longest %s", outages[n/2], outages[n*99/100], outages[n-1])
	must.Less(t, freshnessLease, outages[n-1])
}

// TestReplaceThenLoseASecond replaces a lost folder and then loses the folder
// of another member, and of the last one that was there from the start.
func TestReplaceThenLoseASecond(t *testing.T) {
	for seed := range uint64(scenarioSeeds) {
		s, _ := scenario(t, seed)
		s.loss, s.duplicate, s.slow = 0.05, 0.05, 0.02
		s.clients.start()
		for i := range 3 {
			s.runUntil(s.now + s.between(0, 2*time.Second))
			s.loseData(s.hosts[(seed+uint64(i))%3])
			for end := s.now + time.Minute; s.operator.busy && s.check.err == nil && s.now < end; {
				s.runUntil(s.now + time.Millisecond)
			}
		}
		s.clients.stopped = true
		s.heal()
		s.runUntil(s.now + recoveryTime)
		s.checkEnd()
		must.Eq(t, 3, s.operator.losses)
		must.NoError(t, s.check.err, must.Sprintf("seed %d", seed))
	}
}

// TestRestartIsSnapshotAndTail restarts a member after hundreds of commands: it
// reads a tail of a few entries or no larger than the snapshot, and ends at the same digest.
func TestRestartIsSnapshotAndTail(t *testing.T) {
	s, l := scenario(t, 1)
	for range 700 {
		ok := s.commit(l, time.Second)
		must.True(t, ok)
	}
	s.runUntil(s.now + time.Second)
	for _, h := range s.hosts[:3] {
		digest := h.machine.Digest
		h.crash()
		h.boot()
		tail := h.engine.core.tail
		few := len(tail.entries) <= simSnapshotEvery
		must.True(t, few || tail.bytes <= h.engine.snapshotSize, must.Sprintf("%s reads %d entries", h.address, len(tail.entries)))
		s.runUntil(s.now + 3*time.Second)
		must.Eq(t, digest, s.machineAt(h, l.engine.applied), must.Sprint(h.address))
	}
	must.NoError(t, s.check.err)
}

// machineAt returns the digest of h's machine, once it has applied index.
func (s *sim) machineAt(h *host, index uint64) uint64 {
	if h.engine.applied < index {
		s.check.broken("%s has applied %d of %d", h.address, h.engine.applied, index)
	}
	return h.machine.Digest
}

// TestSameSeedSameRun runs seeds twice.
func TestSameSeedSameRun(t *testing.T) {
	for seed := range uint64(5) {
		var first string
		for run := range 2 {
			s := newSim(seed)
			s.begin()
			s.pause = time.Second
			s.clients.start()
			s.misfortune()
			s.runUntil(s.now + 10*time.Second)
			trace := fmt.Sprint(s.seq, s.check.highest, s.check.elections, s.clients.answered, s.rng.Uint64())
			if run == 0 {
				first = trace
			}
			must.Eq(t, first, trace)
		}
	}
}

// TestNothingWaitsForAClockTick measures commands and reads without faults: they
// take round trips only, never the time to the next tick or heartbeat.
func TestNothingWaitsForAClockTick(t *testing.T) {
	for seed := range uint64(20) {
		s, l := scenario(t, seed)
		for range 10 {
			start := s.now
			must.True(t, s.commit(l, time.Second))
			must.Less(t, simTick, s.now-start, must.Sprintf("seed %d: a command", seed))
			start = s.now
			h, confirmed := s.others(l)[0], false
			h.work(func() {
				h.engine.confirm(confirmation{gone: func() bool { return false }, done: func(err error) { confirmed = err == nil }})
			})
			for !confirmed && s.now < start+time.Second {
				s.runUntil(s.now + time.Millisecond)
			}
			must.Less(t, simTick, s.now-start, must.Sprintf("seed %d: a read", seed))
		}
	}
}

// TestCanceledChangeEndsItsOwnCall begins a change in the same pass in which
// another is canceled: each call gets its own end.
func TestCanceledChangeEndsItsOwnCall(t *testing.T) {
	s, l := scenario(t, 1)
	var first, second error
	ended := false
	l.work(func() {
		l.engine.change(change{address: "nobody"}, func(err error) { first = err })
		l.engine.cancelChange()
		l.engine.change(change{id: "nobody", remove: true}, func(err error) { second, ended = err, true })
	})
	s.runUntil(s.now + time.Second)
	must.Eq(t, fault.NoLeader, fault.KindOf(first))
	must.True(t, ended)
	must.NoError(t, second)
}
