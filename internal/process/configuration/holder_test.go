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

// epoch is the start time of each simulation.
var epoch = time.Unix(1_000_000, 0)

// sentReply is a reply in transit. sentAt is when its renewal was sent.
type sentReply struct {
	sentAt  time.Time
	session int
	reply   protocol.RenewReply
}

// simulation is a daemon and several replicas, some of which lag behind.
type simulation struct {
	t        *rapid.T
	now      time.Time
	replicas []*Machine
	// acceptedDigests holds the state digest after each accepted note, acceptedAt
	// the time at which the note was accepted.
	acceptedDigests []string
	acceptedAt      []time.Time

	holder *Holder
	// disk is true if the daemon stores its floor, which survives restarts.
	disk  bool
	floor Floor
	// session counts the starts of the daemon.
	session int
	// highest is the highest state number that the daemon has held.
	highest uint64
	replies []sentReply
	// freshSteps counts the steps after which the lease was valid.
	freshSteps int
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: epoch, disk: rapid.Bool().Draw(t, "disk")}
	for range 3 {
		sim.replicas = append(sim.replicas, NewMachine(4))
	}
	sim.acceptedDigests = []string{version.Initial().Digest()}
	sim.acceptedAt = []time.Time{epoch}
	sim.restart()
	return sim
}

// restart restarts the daemon, which keeps only what is on its disk.
func (sim *simulation) restart() {
	sim.session++
	o := HolderOptions{Now: func() time.Time { return sim.now }, Floor: sim.floor}
	if sim.disk {
		o.Save = func(number uint64, digest string) error {
			sim.floor = Floor{Number: number, Digest: digest}
			return nil
		}
	}
	sim.holder = NewHolder(o)
}

// accept makes replica 0 accept the next note. The other replicas follow later.
func (sim *simulation) accept() {
	n := noteOf(uint64(len(sim.acceptedDigests)), "a")
	must.NoError(sim.t, propose(sim.t, sim.replicas[0], n).Err())
	sim.acceptedDigests = append(sim.acceptedDigests, sim.replicas[0].State().Digest())
	sim.acceptedAt = append(sim.acceptedAt, sim.now)
}

// replicate applies up to three missing notes to replica i.
func (sim *simulation) replicate(i int) {
	for range 3 {
		next := sim.replicas[i].State().Number() + 1
		if next >= uint64(len(sim.acceptedDigests)) {
			return
		}
		must.NoError(sim.t, propose(sim.t, sim.replicas[i], noteOf(next, "a")).Err())
	}
}

// renew sends a renewal, to which replica i replies. A reply is confirmed only if the
// replica has every accepted note, because otherwise a quorum could not have
// confirmed its state.
func (sim *simulation) renew(i int) {
	held := sim.holder.Current()
	m := sim.replicas[i]
	s := m.State()
	r := protocol.RenewReply{Version: s.Number(), Digest: s.Digest()}
	r.Confirmed = s.Number()+1 == uint64(len(sim.acceptedDigests))
	notes, ok := m.NotesSince(held.Number(), held.Digest())
	if ok {
		r.Notes = notes
	} else {
		b, err := s.Encode()
		must.NoError(sim.t, err)
		r.Snapshot = b
	}
	sim.replies = append(sim.replies, sentReply{sim.now, sim.session, r})
}

func (sim *simulation) step() {
	t := sim.t
	i := rapid.IntRange(0, len(sim.replicas)-1).Draw(t, "replica")
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		sim.accept()
	case 1:
		sim.replicate(i)
	case 2, 3, 4:
		sim.renew(i)
	case 5, 6, 7:
		sim.deliver()
	case 8:
		sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	default:
		if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
			sim.restart()
		}
	}
	sim.check()
}

// deliver delivers a reply to the daemon, unless the daemon has been restarted since
// the renewal was sent.
func (sim *simulation) deliver() {
	if len(sim.replies) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.replies)-1).Draw(sim.t, "which")
	r := sim.replies[i]
	if rapid.Bool().Draw(sim.t, "last") {
		sim.replies = slices.Delete(sim.replies, i, i+1)
	}
	if r.session != sim.session {
		return
	}
	// Notes that follow another state than the current one are rejected.
	if err := sim.holder.Accept(r.sentAt, r.reply); err != nil {
		must.Eq(sim.t, fault.Damaged, fault.KindOf(err))
	}
}

// check is called after every step. The daemon must hold an accepted state, and must
// not go back to an older one. While its lease is valid, no newer state may have
// been in effect for longer than the lease.
func (sim *simulation) check() {
	s := sim.holder.Current()
	must.Eq(sim.t, sim.acceptedDigests[s.Number()], s.Digest())
	if s.Number() > 0 && s.Number() < sim.highest {
		sim.t.Fatalf("the daemon went back from state %d to state %d", sim.highest, s.Number())
	}
	sim.highest = max(sim.highest, s.Number())
	if sim.holder.Fresh() != nil {
		return
	}
	sim.freshSteps++
	if newer := s.Number() + 1; newer < uint64(len(sim.acceptedAt)) && sim.now.Sub(sim.acceptedAt[newer]) >= FreshnessLease {
		sim.t.Fatalf("the lease is valid with state %d, although state %d has been in effect for %v", s.Number(), newer, sim.now.Sub(sim.acceptedAt[newer]))
	}
	if s.Number() < sim.highest {
		sim.t.Fatalf("the lease is valid with state %d after the daemon held state %d", s.Number(), sim.highest)
	}
}

// TestDaemonNeverGoesBack guards against a daemon that goes back to an older state,
// or considers an outdated state fresh. Replicas lag behind, replies are late, lost,
// repeated and reordered, and the daemon restarts with and without a disk.
func TestDaemonNeverGoesBack(t *testing.T) {
	freshSteps, highest := 0, uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range 100 {
			sim.step()
		}
		freshSteps += sim.freshSteps
		highest += sim.highest
	})
	t.Logf("lease valid in %d steps, %d states accepted", freshSteps, highest)
	must.Positive(t, freshSteps)
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

// Guards against holding a state whose floor is not on disk: after a restart, the
// daemon would accept an older one.
func TestAStateIsNotInstalledWithoutItsFloor(t *testing.T) {
	m := machineAt(t, 4, 1)
	notes, ok := m.NotesSince(0, version.Initial().Digest())
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

// Guards against a lease from control replicas that do not have the state that the
// daemon held before, such as those of another mesh.
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
