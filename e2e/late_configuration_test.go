package e2e

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/emulator/system"
)

var (
	lateRounds = flag.Int("late.rounds", 2, "rounds of TestAcknowledgedOrderAndLostReplicas")
	lateSeed   = flag.Uint64("late.seed", 1, "seed of TestAcknowledgedOrderAndLostReplicas")
	lateBusy   = flag.Int("late.busy", 0, "threads that use the processor meanwhile")
)

const (
	// inForceLimit is the operators' bound from an acknowledgment until all daemons act
	// on what was acknowledged.
	inForceLimit = 2 * time.Second
	// replicaStall is how long a replica does nothing.
	replicaStall = 3500 * time.Millisecond
	meshDaemons  = 8
)

// TestAcknowledgedOrderAndLostReplicas guards against an acknowledged change that daemons do
// not act on in time. In each round, right after an acknowledgment, the leader or another replica
// stalls, and the replica that has acknowledged and a further one lose their disks.
func TestAcknowledgedOrderAndLostReplicas(t *testing.T) {
	m := startMesh(t, meshDaemons)
	stopBusy := make(chan struct{})
	defer close(stopBusy)
	for range *lateBusy {
		go spin(stopBusy)
	}
	random := rand.New(rand.NewPCG(*lateSeed, 1))
	m.putConfiguration(1)
	for revision := 2; revision <= *lateRounds+1; revision++ {
		must.NoError(t, system.Await(formTimeout, func() error { return m.checkWhole(revision - 1) }))
		began := time.Now()
		acknowledging := m.putConfiguration(revision)
		acknowledged := time.Now()
		stalled, lost := m.victims(random, acknowledging)
		stalled.signal(syscall.SIGSTOP)
		for _, p := range lost {
			p.lose()
		}
		time.Sleep(500 * time.Millisecond)
		for _, p := range lost {
			p.start()
		}
		time.Sleep(time.Until(acknowledged.Add(inForceLimit)))
		var behind []string
		for _, d := range m.daemons {
			if !d.knows(revision) {
				behind = append(behind, d.name)
			}
		}
		t.Logf("revision %d: acknowledged by %s after %s, %s stalls, %s and %s are lost, behind after %s: %v", revision, acknowledging.name,
			acknowledged.Sub(began).Round(time.Millisecond), stalled.name, lost[0].name, lost[1].name, inForceLimit, behind)
		must.SliceEmpty(t, behind)
		time.Sleep(time.Until(acknowledged.Add(replicaStall)))
		stalled.signal(syscall.SIGCONT)
	}
}

// victims returns the replica that stalls, which is the leader unless that has acknowledged
// the change, and the two replicas that lose their disks.
func (m *mesh) victims(random *rand.Rand, acknowledging *meshProcess) (stalled *meshProcess, lost []*meshProcess) {
	rest := slices.DeleteFunc(slices.Clone(m.replicas), func(p *meshProcess) bool { return p == acknowledging })
	random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	slices.SortStableFunc(rest, func(a, b *meshProcess) int {
		return int(b.metric("teaselrack_group_leads") - a.metric("teaselrack_group_leads"))
	})
	return rest[0], []*meshProcess{acknowledging, rest[1]}
}

// checkWhole returns an error unless five replicas form the group again and all daemons act
// on the revision.
func (m *mesh) checkWhole(revision int) error {
	for _, p := range m.replicas {
		if n := p.metric("teaselrack_group_members"); n != 5 {
			return fmt.Errorf("%s knows %g members", p.name, n)
		}
	}
	for _, d := range m.daemons {
		if !d.knows(revision) {
			return fmt.Errorf("%s does not act on revision %d", d.name, revision)
		}
	}
	return nil
}

// spin uses the processor until stop is closed.
func spin(stop <-chan struct{}) {
	for n := 0; ; n++ {
		if n%1000 != 0 {
			continue
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}

// TestResumedDaemonActsOnTheOldConfiguration guards against daemons that stood still while a
// change was acknowledged without them, and handle the requests that they find when they go
// on under the old configuration. The replica that they renew with does not reply either.
func TestResumedDaemonActsOnTheOldConfiguration(t *testing.T) {
	m := startMesh(t, meshDaemons)
	m.putConfiguration(1)
	must.NoError(t, system.Await(formTimeout, func() error { return m.checkWhole(1) }))
	// Daemons move to the replica of their failure domain.
	time.Sleep(2 * time.Second)
	lost := m.replicas[1]
	if lost.metric("teaselrack_group_leads") > 0 {
		lost = m.replicas[2]
	}
	stopped := slices.DeleteFunc(slices.Clone(m.daemons), func(d *meshProcess) bool { return d.domain != lost.domain })
	for _, d := range stopped {
		d.signal(syscall.SIGSTOP)
	}
	m.putConfiguration(2)
	lost.signal(syscall.SIGSTOP)
	time.Sleep(inForceLimit)
	m.client.Timeout = formTimeout
	known := make([]chan bool, len(stopped))
	for i, d := range stopped {
		known[i] = make(chan bool, 1)
		go func() { known[i] <- d.knows(2) }()
	}
	time.Sleep(time.Second)
	for i, d := range stopped {
		d.signal(syscall.SIGCONT)
		must.True(t, <-known[i], must.Sprintf("%s did not act on revision 2", d.name))
	}
}
