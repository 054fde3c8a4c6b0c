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
	// freshnessLease is the freshness lease of the daemons. After a failure the
	// group must accept commands again before it expires.
	freshnessLease = 3 * time.Second
)

// scenario returns a simulation of a group of three voters without faults, and
// the leader.
func scenario(t *testing.T, seed uint64) (*sim, *host) {
	t.Helper()
	s := newSim(seed)
	s.setUpGroup()
	must.NoError(t, s.check.err)
	return s, s.leader()
}

// commit proposes one note to h and runs until it is accepted or limit has
// passed. It reports whether it was accepted.
func (s *sim) commit(h *host, limit time.Duration) bool {
	start := s.now
	accepted := false
	h.run(func() {
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

func (s *sim) setIsolated(h *host, isolated bool) {
	for _, other := range s.hosts {
		s.blocked[[2]string{h.address, other.address}] = isolated
		s.blocked[[2]string{other.address, h.address}] = isolated
	}
}

// TestIsolatedFollowerDoesNotDisruptTheLeader checks that an isolated follower does not
// disrupt the group: after it is connected again, the group has the same leader
// in the same term.
func TestIsolatedFollowerDoesNotDisruptTheLeader(t *testing.T) {
	for seed := range uint64(scenarioSeeds) {
		s, l := scenario(t, seed)
		term := l.engine.core.state.Term
		h := s.others(l)[seed%2]
		s.setIsolated(h, true)
		s.runUntil(s.now + 5*time.Second)
		s.setIsolated(h, false)
		s.runUntil(s.now + 5*time.Second)
		must.Eq(t, term, l.engine.core.state.Term, must.Sprintf("seed %d", seed))
		must.Eq(t, leader, l.engine.core.role)
		must.Eq(t, l.address, h.engine.core.leaderAddress)
	}
}

// TestLeaderLoss crashes or isolates the leader and measures how long the group
// accepts no commands. An isolated leader must step down and must not complete
// reads.
func TestLeaderLoss(t *testing.T) {
	var outages []time.Duration
	for seed := range uint64(scenarioSeeds) {
		s, l := scenario(t, seed)
		start := s.now
		if seed%2 == 0 {
			l.crash()
		} else {
			s.setIsolated(l, true)
			l.run(func() {
				l.engine.readBarrier(pendingBarrier{canceled: func() bool { return false }, done: func(err error) {
					must.Error(t, err, must.Sprintf("seed %d: a read succeeded without a quorum", seed))
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
			s.runUntil(start + 2*DefaultElectionTimeout)
			must.NotEq(t, leader, l.engine.core.role, must.Sprintf("seed %d", seed))
		}
	}
	slices.Sort(outages)
	n := len(outages)
	t.Logf("time without accepted commands: median %s, p99 %s, max %s", outages[n/2], outages[n*99/100], outages[n-1])
	must.Less(t, freshnessLease, outages[n-1])
}

// TestMembersLoseTheirDataOneAfterAnother loses the data directories of all three members,
// one after the other. Each member is replaced before the next loss.
func TestMembersLoseTheirDataOneAfterAnother(t *testing.T) {
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

// TestRestartIsSnapshotAndTail restarts each member after hundreds of commands.
// The log that the member replays must be a few entries long or no larger than
// the snapshot, and the state must be the same as before.
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
		must.True(t, few || tail.bytes <= h.engine.snapshotSize, must.Sprintf("%s replays %d entries", h.address, len(tail.entries)))
		s.runUntil(s.now + 3*time.Second)
		must.Eq(t, digest, s.digestAt(h, l.engine.applied), must.Sprint(h.address))
	}
	must.NoError(t, s.check.err)
}

// digestAt returns the digest of the state machine of h, which must have
// applied index.
func (s *sim) digestAt(h *host, index uint64) uint64 {
	if h.engine.applied < index {
		s.check.violation("%s has applied only the entries up to %d, not up to %d", h.address, h.engine.applied, index)
	}
	return h.machine.Digest
}

// TestSameSeedSameRun checks that two runs of a seed are identical, so that a
// failure can be replayed.
func TestSameSeedSameRun(t *testing.T) {
	for seed := range uint64(5) {
		var first string
		for run := range 2 {
			s := newSim(seed)
			s.setUpGroup()
			s.maxFaultInterval = time.Second
			s.clients.start()
			s.injectFault()
			s.runUntil(s.now + 10*time.Second)
			trace := fmt.Sprint(s.seq, s.check.highest, s.check.elections, s.clients.completed, s.rng.Uint64())
			if run == 0 {
				first = trace
			}
			must.Eq(t, first, trace)
		}
	}
}

// TestNothingWaitsForAClockTick checks that commands and reads without faults
// take only network round trips, and do not wait for the next clock tick or
// heartbeat.
func TestNothingWaitsForAClockTick(t *testing.T) {
	for seed := range uint64(20) {
		s, l := scenario(t, seed)
		for range 10 {
			start := s.now
			must.True(t, s.commit(l, time.Second))
			must.Less(t, simTick, s.now-start, must.Sprintf("seed %d: a command waited for a tick", seed))
			start = s.now
			h, confirmed := s.others(l)[0], false
			h.run(func() {
				h.engine.readBarrier(pendingBarrier{canceled: func() bool { return false }, done: func(err error) { confirmed = err == nil }})
			})
			for !confirmed && s.now < start+time.Second {
				s.runUntil(s.now + time.Millisecond)
			}
			must.Less(t, simTick, s.now-start, must.Sprintf("seed %d: a read waited for a tick", seed))
		}
	}
}

// TestCanceledChangeEndsItsOwnCall cancels one membership change and starts
// another in the same batch. Each call must get the result of its own change.
func TestCanceledChangeEndsItsOwnCall(t *testing.T) {
	s, l := scenario(t, 1)
	var first, second error
	completed := false
	l.run(func() {
		l.engine.changeMembership(membershipChange{address: "nobody"}, func(err error) { first = err })
		l.engine.cancelChange()
		l.engine.changeMembership(membershipChange{id: "nobody", remove: true}, func(err error) { second, completed = err, true })
	})
	s.runUntil(s.now + time.Second)
	must.Eq(t, fault.NoLeader, fault.KindOf(first))
	must.True(t, completed)
	must.NoError(t, second)
}
