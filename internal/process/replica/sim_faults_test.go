package replica

import (
	"strings"
	"time"
)

// operator changes the membership and replaces replicas that lost their data.
// The next loss of data is injected only after the previous change has
// finished.
type operator struct {
	busy bool
	// extra is true while host d, the fourth one, is a member.
	extra bool
	// losses counts the lost or damaged disks, changes the finished membership
	// changes.
	losses, changes int
}

// changeMembers retries a membership change until it succeeds, and then calls
// done.
func (s *sim) changeMembers(newChange func(leader *core) membershipChange, done func()) {
	s.operator.busy = true
	retry := func() {
		s.after(300*time.Millisecond, func() { s.changeMembers(newChange, done) })
	}
	l := s.leader()
	if l == nil {
		retry()
		return
	}
	finished := false
	l.run(func() {
		l.engine.changeMembership(newChange(l.engine.core), func(err error) {
			switch {
			case finished:
			case err != nil:
				retry()
			default:
				s.operator.busy = false
				s.operator.changes++
				done()
			}
			finished = true
		})
	})
	s.after(3*time.Second, func() {
		if finished {
			return
		}
		l.run(func() { l.engine.cancelChange() })
		if !finished {
			finished = true
			retry()
		}
	})
}

func (s *sim) admit(address string, done func()) {
	s.changeMembers(func(*core) membershipChange { return membershipChange{address: address} }, done)
}

// loseData crashes a host, wipes or damages its disk, and starts and admits it
// again.
func (s *sim) loseData(h *host) {
	if s.operator.busy || h.engine == nil || (h.address == "d" && !s.operator.extra) {
		return
	}
	s.operator.losses++
	old := h.engine.core.state.ID
	h.crash()
	if !s.damage(h) {
		h.disk.Wipe()
	}
	h.boot()
	if h.engine != nil && h.engine.core.state.ID == old {
		s.check.violation("%s kept its replica ID after its data was lost", h.address)
	}
	s.admit(h.address, func() {})
}

// damage changes one byte of a file at random. It returns false if it changed
// nothing.
func (s *sim) damage(h *host) bool {
	names, err := h.disk.List()
	if err != nil || s.rng.IntN(2) == 0 {
		return false
	}
	for _, name := range names {
		size := h.disk.Size(name)
		if size > 0 && !strings.HasPrefix(name, "damaged-") && s.rng.IntN(2) == 0 {
			h.disk.Corrupt(name, s.rng.IntN(size))
			return true
		}
	}
	return false
}

// injectFault injects one random fault and schedules the next.
func (s *sim) injectFault() {
	if s.faultsStopped {
		return
	}
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if l := s.leader(); l != nil && s.rng.IntN(3) == 0 {
		h = l
	}
	switch s.rng.IntN(9) {
	case 0:
		h.crash()
		h.restartAfter(s.between(0, 3*time.Second))
	case 1:
		h.crash()
		h.restartAfter(s.between(0, 50*time.Millisecond))
	case 2, 3:
		h.disk.FailAfter(s.rng.IntN(12))
	case 4:
		h.frozenUntil = max(h.frozenUntil, s.now+s.between(500*time.Millisecond, 5*time.Second))
	case 5:
		s.isolate(h)
	case 6:
		s.partition()
	case 7:
		s.loseData(h)
	case 8:
		s.toggleExtra()
	}
	s.after(s.between(s.maxFaultInterval/20, s.maxFaultInterval), s.injectFault)
}

// isolate drops all messages to a host, from a host, or both, for a while.
func (s *sim) isolate(h *host) {
	direction := s.rng.IntN(3)
	set := func(blocked bool) {
		for _, other := range s.hosts {
			if direction != 0 {
				s.blocked[[2]string{h.address, other.address}] = blocked
			}
			if direction != 1 {
				s.blocked[[2]string{other.address, h.address}] = blocked
			}
		}
	}
	set(true)
	s.after(s.between(200*time.Millisecond, 6*time.Second), func() { set(false) })
}

// partition drops all messages between two halves of the hosts for a while.
func (s *sim) partition() {
	order := s.rng.Perm(len(s.hosts))
	set := func(blocked bool) {
		for i, a := range order {
			for j, b := range order {
				if (i < len(order)/2) != (j < len(order)/2) {
					s.blocked[[2]string{s.hosts[a].address, s.hosts[b].address}] = blocked
				}
			}
		}
	}
	set(true)
	s.after(s.between(200*time.Millisecond, 4*time.Second), func() { set(false) })
}

// toggleExtra admits the fourth replica, or removes it if it is a member.
func (s *sim) toggleExtra() {
	if s.operator.busy {
		return
	}
	if !s.operator.extra {
		s.admit("d", func() { s.operator.extra = true })
		return
	}
	s.operator.extra = false
	remove := func(leader *core) membershipChange {
		change := membershipChange{remove: true}
		for _, m := range leader.members() {
			if m.Address == "d" {
				change.id = m.ID
			}
		}
		return change
	}
	s.changeMembers(remove, func() { s.after(0, s.host("d").replaceDisk) })
}

// replaceDisk restarts a removed replica with an empty disk, so that it can be
// admitted again.
func (h *host) replaceDisk() {
	h.crash()
	h.disk.Wipe()
	h.boot()
}

// heal stops all faults and restarts crashed hosts.
func (s *sim) heal() {
	s.faultsStopped = true
	s.loss, s.duplicate, s.slow = 0, 0, 0
	clear(s.blocked)
	for _, h := range s.hosts {
		h.frozenUntil = 0
		h.disk.FailAfter(-1)
		h.restartAfter(0)
	}
}
