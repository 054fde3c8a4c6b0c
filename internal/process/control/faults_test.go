package control_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
)

var seedCount = flag.Int("seeds", 6, "number of seeds of the fault schedules")
var oneSeed = flag.Uint64("seed", 0, "run this seed only")

const (
	// inEffectLimit is the required bound from the acceptance of a note until it
	// is in effect on every daemon.
	inEffectLimit  = 4 * time.Second
	sampleInterval = 20 * time.Millisecond
)

// final reports whether err is an error after which an operator does not send the
// note again.
func final(err error) bool {
	switch fault.KindOf(err) {
	case fault.NoteInvalid, fault.NoteGap, fault.NoteConflict, fault.BadRequest, fault.Forbidden:
		return true
	default:
		return false
	}
}

// note returns the text of the release note with this number. The first note adds
// team t; later notes change its rate.
func note(number int, comment string) string {
	if number == 1 {
		return fmt.Sprintf("number: %d\ncomment: %s\nadded:\n  teams: [{name: t, rate: 50, burst: 20}]\n", number, comment)
	}
	return fmt.Sprintf("number: %d\ncomment: %s\nchanged:\n  teams: [{name: t, rate: %d, burst: 20}]\n", number, comment, 50+number)
}

// forSeeds runs f for each seed in its own synctest bubble.
func forSeeds(t *testing.T, f func(t *testing.T, seed uint64)) {
	for i := range *seedCount {
		seed := uint64(i + 1)
		if *oneSeed != 0 {
			seed = *oneSeed
		}
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f(t, seed) })
		})
		if *oneSeed != 0 {
			return
		}
	}
}

// freshnessChecker checks that no daemon acts on a state that was replaced more
// than inEffectLimit ago, and that no daemon returns to an older version.
type freshnessChecker struct {
	cluster *cluster

	mu         sync.Mutex
	accepted   map[uint64]time.Time // when each version was accepted
	held       map[string]uint64    // last version by daemon session
	violations []string
}

func newFreshnessChecker(c *cluster) *freshnessChecker {
	return &freshnessChecker{cluster: c, accepted: make(map[uint64]time.Time), held: make(map[string]uint64)}
}

func (f *freshnessChecker) accept(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.accepted[number]; !known {
		f.accepted[number] = time.Now()
	}
}

func (f *freshnessChecker) sample() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.cluster.daemons {
		run := d.run.Load()
		number := run.configuration.Current().Number()
		key := run.session
		if number < f.held[key] {
			f.violations = append(f.violations, fmt.Sprintf("%s went back from version %d to version %d", key, f.held[key], number))
		}
		f.held[key] = number
		if run.configuration.Fresh() != nil {
			continue
		}
		for n, at := range f.accepted {
			if n > number && time.Since(at) > inEffectLimit {
				f.violations = append(f.violations, fmt.Sprintf("%s acts on version %d, %s after version %d was accepted", key, number, time.Since(at), n))
			}
		}
	}
}

// run takes samples until stop is closed.
func (f *freshnessChecker) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(sampleInterval):
			f.sample()
		}
	}
}

// runOperators applies release notes with increasing numbers, starting at first,
// until stop is closed. Two operators race for each number. It returns the accepted
// digests.
func runOperators(c *cluster, f *freshnessChecker, first int, stop <-chan struct{}) map[uint64]string {
	digests := make(map[uint64]string)
	for number := first; ; number++ {
		select {
		case <-stop:
			return digests
		case <-time.After(300 * time.Millisecond):
		}
		winners := raceOperators(c, f, number)
		if len(winners) != 1 {
			c.t.Errorf("note number %d has %d accepted digests", number, len(winners))
			return digests
		}
		for digest := range winners {
			digests[uint64(number)] = digest
		}
	}
}

// raceOperators lets two operators apply different notes with the same number
// concurrently; one of them sends its note twice. It returns the digests that were
// accepted.
func raceOperators(c *cluster, f *freshnessChecker, number int) map[string]bool {
	var wg sync.WaitGroup
	var mu sync.Mutex
	winners := make(map[string]bool)
	for _, comment := range []string{"ana", "ivo", "ana"} {
		wg.Go(func() {
			reply, err := c.apply(note(number, comment))
			if err != nil {
				return
			}
			f.accept(reply.Number)
			mu.Lock()
			winners[reply.Digest] = true
			mu.Unlock()
		})
	}
	wg.Wait()
	return winners
}

// activeFault is one fault that lasts until heal is called.
type activeFault struct {
	name string
	// victim is the affected process, empty for a fault of the whole network.
	victim string
	// losesData is true if the victim's data directory is lost.
	losesData bool
	heal      func()
}

// victims holds the processes that a fault may affect.
type victims struct {
	replica, other *replicaProcess
	daemon         *daemonProcess
}

// drawVictims picks two different replicas and a daemon at random.
func drawVictims(c *cluster, random *rand.Rand) victims {
	order := random.Perm(len(c.replicas))
	return victims{c.replicas[order[0]], c.replicas[order[1]], c.daemons[random.IntN(len(c.daemons))]}
}

// injectFault injects one random fault of the seed's schedule.
func injectFault(c *cluster, random *rand.Rand) activeFault {
	return faults[random.IntN(len(faults))](c, drawVictims(c, random))
}

// faults are the kinds of faults of a schedule. loseData must be the last:
// injectFaultPair excludes it by its position.
var faults = []func(*cluster, victims) activeFault{
	isolateReplica, isolateDaemon, isolateFromReplicas, killReplica, freezeReplica, restartDaemon, cutOneWay, loseMessages, loseData,
}

func isolateReplica(c *cluster, v victims) activeFault {
	name := v.replica.address
	c.net.isolate(name, c.names(), true)
	return activeFault{name: "isolate", victim: name, heal: func() { c.net.isolate(name, c.names(), false) }}
}

func isolateDaemon(c *cluster, v victims) activeFault {
	name := v.daemon.name
	c.net.isolate(name, c.names(), true)
	return activeFault{name: "isolate", victim: name, heal: func() { c.net.isolate(name, c.names(), false) }}
}

func isolateFromReplicas(c *cluster, v victims) activeFault {
	name := v.replica.address
	c.net.isolate(name, c.addresses(), true)
	return activeFault{name: "isolate from replicas", victim: name, heal: func() { c.net.isolate(name, c.addresses(), false) }}
}

func killReplica(_ *cluster, v victims) activeFault {
	v.replica.stop()
	return activeFault{name: "kill", victim: v.replica.address, heal: v.replica.start}
}

func loseData(_ *cluster, v victims) activeFault {
	v.replica.stop()
	return activeFault{name: "lose the data", victim: v.replica.address, losesData: true, heal: v.replica.replace}
}

func freezeReplica(c *cluster, v victims) activeFault {
	name := v.replica.address
	c.net.freeze(name)
	return activeFault{name: "freeze", victim: name, heal: func() { c.net.unfreeze(name) }}
}

func restartDaemon(_ *cluster, v victims) activeFault {
	v.daemon.stop()
	return activeFault{name: "restart", victim: v.daemon.name, heal: v.daemon.start}
}

func cutOneWay(c *cluster, v victims) activeFault {
	from, to := v.replica.address, v.other.address
	c.net.cut(from, to, true)
	return activeFault{name: "cut one way", victim: from, heal: func() { c.net.cut(from, to, false) }}
}

func loseMessages(c *cluster, _ victims) activeFault {
	c.net.setLoss(messageLoss)
	return activeFault{name: "lose messages", heal: func() { c.net.setLoss(0) }}
}

// messageLoss is the fraction of messages that are lost.
const messageLoss = 0.1

// TestConfigurationUnderFaults guards against two accepted notes with the same
// number and against stale configuration while faults are injected one after
// another. For each number exactly one note is accepted, and it is never replaced
// by another. It is in effect everywhere within inEffectLimit. No daemon returns
// to an older version.
func TestConfigurationUnderFaults(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := newCluster(t, seed)
		f := newFreshnessChecker(c)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() { f.run(stop) })
		var digests map[uint64]string
		wg.Go(func() { digests = runOperators(c, f, 1, stop) })
		for range 6 {
			fault := injectFault(c, random)
			t.Logf("seed %d: %s %s", seed, fault.name, fault.victim)
			time.Sleep(time.Duration(1+random.IntN(5)) * time.Second)
			fault.heal()
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		close(stop)
		wg.Wait()
		checkConverged(t, c, digests)
		f.mu.Lock()
		must.Nil(t, f.violations)
		f.mu.Unlock()
	})
}

// checkConverged checks that after the faults every daemon has the state of the
// last accepted note.
func checkConverged(t *testing.T, c *cluster, digests map[uint64]string) {
	time.Sleep(inEffectLimit)
	must.Positive(t, len(digests))
	last := slices.Max(slices.Collect(maps.Keys(digests)))
	for _, d := range c.daemons {
		must.NoError(t, d.run.Load().configuration.Fresh())
		state := d.run.Load().configuration.Current()
		must.Eq(t, last, state.Number())
		must.Eq(t, digests[state.Number()], state.NoteDigest())
	}
}
