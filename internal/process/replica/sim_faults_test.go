package replica

import (
	"strings"
	"time"
)

// operator changes the membership; it replaces replicas that lost their data.
// Another loss of data comes only once the change before it has ended.
type operator struct {
	busy bool
	// extra is true while d is a member.
	extra bool
	// losses counts the folders lost or damaged, changes the ended changes.
	losses, changes int
}

// change repeats a membership change until it is done.
func (s *sim) changeMembers(make func(leader *core) change, done func()) {
	s.operator.busy = true
	retry := func() {
		s.after(300*time.Millisecond, func() { s.changeMembers(make, done) })
	}
	l := s.leader()
	if l == nil {
		retry()
		return
	}
	ended := false
	l.work(func() {
		l.engine.change(make(l.engine.core), func(err error) {
			switch {
			case ended:
			case err != nil:
				retry()
			default:
				s.operator.busy = false
				s.operator.changes++
				done()
			}
			ended = true
		})
	})
	s.after(3*time.Second, func() {
		if ended {
			return
		}
		l.work(func() { l.engine.cancelChange() })
		if !ended {
			ended = true
			retry()
		}
	})
}

func (s *sim) admit(address string, done func()) {
	s.changeMembers(func(*core) change { return change{address: address} }, done)
}

// loseData takes the folder of a member, or damages it before its end.
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
		s.check.broken("%s kept its identity after its data were lost", h.address)
	}
	s.admit(h.address, func() {})
}

// damage changes a byte of the log or the snapshot.
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

// misfortune makes one fault, and then the next.
func (s *sim) misfortune() {
	if s.quiet {
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
		s.split()
	case 7:
		s.loseData(h)
	case 8:
		s.changeExtra()
	}
	s.after(s.between(s.pause/20, s.pause), s.misfortune)
}

// isolate cuts a host off silently, both ways or one way.
func (s *sim) isolate(h *host) {
	way := s.rng.IntN(3)
	set := func(cut bool) {
		for _, other := range s.hosts {
			if way != 0 {
				s.cut[[2]string{h.address, other.address}] = cut
			}
			if way != 1 {
				s.cut[[2]string{other.address, h.address}] = cut
			}
		}
	}
	set(true)
	s.after(s.between(200*time.Millisecond, 6*time.Second), func() { set(false) })
}

// split parts the hosts into two halves.
func (s *sim) split() {
	order := s.rng.Perm(len(s.hosts))
	set := func(cut bool) {
		for i, a := range order {
			for j, b := range order {
				if (i < len(order)/2) != (j < len(order)/2) {
					s.cut[[2]string{s.hosts[a].address, s.hosts[b].address}] = cut
				}
			}
		}
	}
	set(true)
	s.after(s.between(200*time.Millisecond, 4*time.Second), func() { set(false) })
}

// changeExtra admits the fourth replica, or removes it.
func (s *sim) changeExtra() {
	if s.operator.busy {
		return
	}
	if !s.operator.extra {
		s.admit("d", func() { s.operator.extra = true })
		return
	}
	s.operator.extra = false
	remove := func(leader *core) change {
		ch := change{remove: true}
		for _, m := range leader.members() {
			if m.Address == "d" {
				ch.id = m.ID
			}
		}
		return ch
	}
	s.changeMembers(remove, func() { s.after(0, s.host("d").replaceFolder) })
}

// replaceFolder gives a removed replica an empty folder, so that it may be
// admitted again.
func (h *host) replaceFolder() {
	h.crash()
	h.disk.Wipe()
	h.boot()
}

// heal ends all faults.
func (s *sim) heal() {
	s.quiet = true
	s.loss, s.duplicate, s.slow = 0, 0, 0
	clear(s.cut)
	for _, h := range s.hosts {
		h.frozenUntil = 0
		h.disk.FailAfter(-1)
		h.restartAfter(0)
	}
}
