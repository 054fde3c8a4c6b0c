package configuration

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// epoch is the time at which each simulated run starts.
var epoch = time.Unix(1_000_000, 0)

// answer is a reply on its way, with the time its renewal was sent.
type answer struct {
	sentAt  time.Time
	session int
	reply   protocol.RenewReply
}

// world is a daemon and replicas, some of which are behind or cut off.
type world struct {
	t        *rapid.T
	now      time.Time
	replicas []*Machine
	// accepted are the digests in force and when they came into force.
	accepted []string
	since    []time.Time

	holder  *Holder
	disk    bool
	floor   Floor
	session int
	highest uint64
	answers []answer
	fresh   int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: epoch, disk: rapid.Bool().Draw(t, "disk")}
	for range 3 {
		w.replicas = append(w.replicas, NewMachine(4))
	}
	w.accepted = []string{version.Initial().Digest()}
	w.since = []time.Time{epoch}
	w.restart()
	return w
}

// restart starts the daemon anew, with what its disk holds.
func (w *world) restart() {
	w.session++
	o := HolderOptions{Now: func() time.Time { return w.now }, Floor: w.floor}
	if w.disk {
		o.Save = func(number uint64, digest string) error {
			w.floor = Floor{Number: number, Digest: digest}
			return nil
		}
	}
	w.holder = NewHolder(o)
}

// accept puts the next note in force at replica 0; others follow in time.
func (w *world) accept() {
	n := noteOf(uint64(len(w.accepted)), "a")
	must.NoError(w.t, propose(w.t, w.replicas[0], n).Err())
	w.accepted = append(w.accepted, w.replicas[0].State().Digest())
	w.since = append(w.since, w.now)
}

// follow brings replica i some notes on.
func (w *world) follow(i int) {
	for range 3 {
		next := w.replicas[i].State().Number() + 1
		if next >= uint64(len(w.accepted)) {
			return
		}
		must.NoError(w.t, propose(w.t, w.replicas[i], noteOf(next, "a")).Err())
	}
}

// renew answers a renewal at replica i. Only a replica that has everything can
// have confirmed that with a quorum.
func (w *world) renew(i int) {
	held := w.holder.Current()
	m := w.replicas[i]
	s := m.State()
	r := protocol.RenewReply{Version: s.Number(), Digest: s.Digest()}
	r.Confirmed = s.Number()+1 == uint64(len(w.accepted))
	notes, ok := m.Since(held.Number(), held.Digest())
	if ok {
		r.Notes = notes
	} else {
		b, err := s.Encode()
		must.NoError(w.t, err)
		r.Snapshot = b
	}
	w.answers = append(w.answers, answer{w.now, w.session, r})
}

func (w *world) step() {
	t := w.t
	i := rapid.IntRange(0, len(w.replicas)-1).Draw(t, "replica")
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		w.accept()
	case 1:
		w.follow(i)
	case 2, 3, 4:
		w.renew(i)
	case 5, 6, 7:
		w.deliver()
	case 8:
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	default:
		if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
			w.restart()
		}
	}
	w.check()
}

func (w *world) deliver() {
	if len(w.answers) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.answers)-1).Draw(w.t, "which")
	a := w.answers[i]
	if rapid.Bool().Draw(w.t, "last") {
		w.answers = slices.Delete(w.answers, i, i+1)
	}
	if a.session != w.session {
		return
	}
	// A delta that was made for another state is refused.
	if err := w.holder.Accept(a.sentAt, a.reply); err != nil {
		must.Eq(w.t, fault.Damaged, fault.KindOf(err))
	}
}

// check holds after every step: the daemon holds what was in force, never
// less than before, and while it is fresh nothing newer has been in force for
// longer than the lease.
func (w *world) check() {
	s := w.holder.Current()
	must.Eq(w.t, w.accepted[s.Number()], s.Digest())
	if s.Number() > 0 && s.Number() < w.highest {
		w.t.Fatalf("the daemon went back from %d to %d", w.highest, s.Number())
	}
	w.highest = max(w.highest, s.Number())
	if w.holder.Fresh() != nil {
		return
	}
	w.fresh++
	if newer := s.Number() + 1; newer < uint64(len(w.since)) && w.now.Sub(w.since[newer]) >= FreshnessLease {
		w.t.Fatalf("fresh with %d, although %d has been in force for %v", s.Number(), newer, w.now.Sub(w.since[newer]))
	}
	if s.Number() < w.highest {
		w.t.Fatalf("fresh with %d after %d", s.Number(), w.highest)
	}
}

// TestDaemonNeverGoesBack holds over late, lost, repeated and reordered
// answers of replicas that are behind, and restarts with and without a disk.
func TestDaemonNeverGoesBack(t *testing.T) {
	fresh, highest := 0, uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 100 {
			w.step()
		}
		fresh += w.fresh
		highest += w.highest
	})
	t.Logf("fresh in %d steps, %d versions taken", fresh, highest)
	must.Positive(t, fresh)
	must.Positive(t, highest)
}

func TestLeaseCountsFromTheSending(t *testing.T) {
	now := epoch
	h := NewHolder(HolderOptions{Now: func() time.Time { return now }})
	reply := protocol.RenewReply{Digest: version.Initial().Digest()}
	must.Eq(t, fault.LeaseExpired, fault.KindOf(h.Fresh()))
	must.NoError(t, h.Accept(now, reply))
	must.Eq(t, fault.LeaseExpired, fault.KindOf(h.Fresh()))
	reply.Confirmed = true
	now = now.Add(2 * time.Second)
	must.NoError(t, h.Accept(epoch, reply))
	must.NoError(t, h.Fresh())
	must.NoError(t, h.Accept(epoch.Add(-time.Second), reply))
	now = epoch.Add(FreshnessLease - 1)
	must.NoError(t, h.Fresh())
	now = epoch.Add(FreshnessLease)
	must.Eq(t, fault.LeaseExpired, fault.KindOf(h.Fresh()))
}

// A floor that cannot be stored keeps the daemon at the state that it had.
func TestAStateIsNotTakenWithoutItsFloor(t *testing.T) {
	m := machineAt(t, 4, 1)
	notes, ok := m.Since(0, version.Initial().Digest())
	must.True(t, ok)
	h := NewHolder(HolderOptions{
		Now:  func() time.Time { return epoch },
		Save: func(uint64, string) error { return errors.New("no space") },
	})
	reply := protocol.RenewReply{Confirmed: true, Version: 1, Digest: m.State().Digest(), Notes: notes}
	must.Eq(t, fault.StorageFailed, fault.KindOf(h.Accept(epoch, reply)))
	must.Zero(t, h.Current().Number())
	must.Error(t, h.Fresh())
}

// A mesh that is not the one the daemon knew gives no lease.
func TestAStateBelowTheFloorGivesNoLease(t *testing.T) {
	for _, floor := range []Floor{{Number: 5, Digest: "d"}, {Number: 1, Digest: "d"}} {
		h := NewHolder(HolderOptions{Now: func() time.Time { return epoch }, Floor: floor})
		m := machineAt(t, 4, 1)
		b, err := m.State().Encode()
		must.NoError(t, err)
		must.NoError(t, h.Accept(epoch, protocol.RenewReply{Confirmed: true, Digest: version.Initial().Digest()}))
		must.NoError(t, h.Accept(epoch, protocol.RenewReply{Confirmed: true, Version: 1, Digest: m.State().Digest(), Snapshot: b}))
		must.Zero(t, h.Current().Number())
		must.Error(t, h.Fresh())
	}
}
