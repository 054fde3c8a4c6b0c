package e2e

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/emulator/system"
)

var (
	soakSeeds = flag.Uint64("soak.seeds", 1, "how many seeds TestSoak plays")
	soakSeed  = flag.Uint64("soak.seed", 1, "the first seed that TestSoak plays")
	soakSteps = flag.Int("soak.steps", 12, "how many faults a seed injects")
)

// notRunAfterRetry is the cause of several seeds.
const notRunAfterRetry = "a request whose first attempt may have run was answered \"not run\" after a retry that could not connect"

// regressions are seeds that failed once, with the cause.
var regressions = map[uint64]string{
	21: notRunAfterRetry,
	30: notRunAfterRetry,
	45: notRunAfterRetry,
	48: "SIGTERM reached a daemon that had just been started and did not handle signals yet; the soak now waits until it listens",
}

const (
	// shortestFault and longestFault bound how long a fault lasts: from less than
	// a heartbeat to longer than the freshness lease.
	shortestFault = 50 * time.Millisecond
	longestFault  = 4 * time.Second
	// longestPause is the longest time from one fault to the next; most faults
	// overlap.
	longestPause = 1200 * time.Millisecond
)

// TestSoak injects faults from outside into separate processes, in a series that
// a seed draws, while callers keep their connections and operators make changes.
// What callers were told is compared with what the targets ran, and every
// acknowledged change must be there at the end. See docs/SOAK.md.
func TestSoak(t *testing.T) {
	for seed := *soakSeed; seed < *soakSeed+*soakSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed) })
	}
	for _, seed := range slices.Sorted(maps.Keys(regressions)) {
		t.Run(fmt.Sprintf("regression-%d", seed), func(t *testing.T) {
			t.Log(regressions[seed])
			soak(t, seed)
		})
	}
}

// soaker is one run of the soak.
type soaker struct {
	h      *harness
	random *rand.Rand
	// links are the peer links and the links to the control replicas.
	links []*forwarder
	// heals are what ends the faults that last, by the time when it is due.
	heals []heal
	// disturbed are the instances that a fault holds.
	disturbed map[string]bool
	// acknowledged are the teams of accepted notes, notes counts all sent.
	acknowledged []string
	notes        int
}

type heal struct {
	at   time.Time
	what string
	do   func()
}

func soak(t *testing.T, seed uint64) {
	s := &soaker{random: rand.New(rand.NewPCG(seed, seed)), disturbed: make(map[string]bool), notes: 1}
	s.h = start(t, s.interpose(t))
	var names []string
	for _, i := range s.h.Instances {
		names = append(names, i.Name)
	}
	l := &load{h: s.h, done: make(chan struct{}), single: true}
	l.start(names)
	for range *soakSteps {
		s.step()
		s.rest(time.Now().Add(s.duration(0, longestPause)))
	}
	for len(s.heals) > 0 {
		s.rest(s.heals[0].at)
	}
	l.awaitWhole(2 * loadCallers)
	l.finish()
	export, err := s.h.Operate("export")
	must.NoError(t, err)
	for _, team := range s.acknowledged {
		must.StrContains(t, export, "name: "+team)
	}
	t.Logf("seed %d: %d of %d changes acknowledged", seed, len(s.acknowledged), s.notes-1)
}

// interpose puts a forwarder before each peer address and each control address.
func (s *soaker) interpose(t *testing.T) func(*system.Layout) {
	return func(l *system.Layout) {
		var control []string
		for _, address := range l.Replicas() {
			f := newForwarder(t, address)
			s.links = append(s.links, f)
			control = append(control, f.listener.Addr().String())
		}
		for n := range l.Instances {
			f := newForwarder(t, l.Instances[n].Peer)
			s.links = append(s.links, f)
			l.Instances[n].AdvertisedPeer = f.listener.Addr().String()
			if !l.Instances[n].Replica {
				l.Instances[n].ControlVia = control
			}
		}
	}
}

func (s *soaker) duration(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// rest waits until a time and ends the faults that are due by then.
func (s *soaker) rest(until time.Time) {
	for len(s.heals) > 0 && !s.heals[0].at.After(until) {
		h := s.heals[0]
		s.heals = s.heals[1:]
		time.Sleep(time.Until(h.at))
		s.h.t.Logf("heal: %s", h.what)
		h.do()
	}
	time.Sleep(time.Until(until))
}

// step injects one fault.
func (s *soaker) step() {
	faults := []func(){s.killInstance, s.terminateInstance, s.freezeInstance, s.silenceLink, s.cutLink, s.breakTarget, s.change, s.change}
	faults[s.random.IntN(len(faults))]()
}

// later ends a fault after a time that the seed draws.
func (s *soaker) later(what string, do func()) {
	due := heal{time.Now().Add(s.duration(shortestFault, longestFault)), what, do}
	at := len(s.heals)
	for at > 0 && s.heals[at-1].at.After(due.at) {
		at--
	}
	s.heals = append(s.heals[:at], append([]heal{due}, s.heals[at:]...)...)
	s.h.t.Logf("fault: %s", what)
}

// pick draws an instance that no fault holds; ok is false where there is none.
func (s *soaker) pick() (name string, ok bool) {
	var free []string
	for _, i := range s.h.Instances {
		if !s.disturbed[i.Name] {
			free = append(free, i.Name)
		}
	}
	if len(free) == 0 {
		return "", false
	}
	name = free[s.random.IntN(len(free))]
	s.disturbed[name] = true
	return name, true
}

// killInstance and terminateInstance end a daemon and start it again later.
func (s *soaker) killInstance() {
	if name, ok := s.pick(); ok {
		s.h.kill(name)
		s.relaunch("kill "+name, name)
	}
}

func (s *soaker) terminateInstance() {
	if name, ok := s.pick(); ok {
		p := s.h.processes[name]
		p.stopped = true
		s.h.signal(name, syscall.SIGTERM)
		s.later("terminate "+name, func() {
			must.Eq(s.h.t, 0, p.wait(), must.Sprintf("%s ends gracefully", name))
			s.launchAgain(name)
		})
	}
}

func (s *soaker) relaunch(what, name string) {
	s.later(what, func() { s.launchAgain(name) })
}

// launchAgain starts a daemon and waits until it takes connections: before that it
// has nothing to end gracefully.
func (s *soaker) launchAgain(name string) {
	s.h.launchDaemon(name)
	must.NoError(s.h.t, system.Await(settleLimit, func() error {
		conn, err := net.Dial("tcp", s.h.Instance(name).Ingress)
		if err != nil {
			return err
		}
		return conn.Close()
	}))
	delete(s.disturbed, name)
}

func (s *soaker) freezeInstance() {
	if name, ok := s.pick(); ok {
		s.h.signal(name, syscall.SIGSTOP)
		s.later("freeze "+name, func() {
			s.h.signal(name, syscall.SIGCONT)
			delete(s.disturbed, name)
		})
	}
}

// silenceLink makes the open connections of a link silent for good.
func (s *soaker) silenceLink() {
	link := s.links[s.random.IntN(len(s.links))]
	s.h.t.Logf("fault: %d connections to %s are forgotten", link.forget(), link.to)
}

// cutLink makes open and new connections of a link silent for a time.
func (s *soaker) cutLink() {
	link := s.links[s.random.IntN(len(s.links))]
	link.setCut(true)
	link.forget()
	s.later("cut the link to "+link.to, func() { link.setCut(false) })
}

// breakTarget makes the target of an instance slow, failing or broken.
func (s *soaker) breakTarget() {
	i := s.h.Instances[s.random.IntN(len(s.h.Instances))]
	behaviours := []system.Behaviour{{Delay: s.duration(0, time.Second)}, {Status: 500}, {Abort: true}, {Break: true}}
	b := behaviours[s.random.IntN(len(behaviours))]
	must.NoError(s.h.t, i.Behave(b))
	s.later(fmt.Sprintf("target of %s behaves as %+v", i.Name, b), func() { must.NoError(s.h.t, i.Behave(system.Behaviour{})) })
}

// change sends a release note. Only an acknowledged one must be there at the end.
func (s *soaker) change() {
	number := s.notes + 1
	team := fmt.Sprintf("soak-%d", number)
	file, err := s.h.WriteNote(number, fmt.Sprintf("added:\n  teams: [{name: %s, rate: 1, burst: 1}]\n", team))
	must.NoError(s.h.t, err)
	if _, err := s.h.Operate("apply", "-f", file); err != nil {
		s.h.t.Logf("change %d: %v", number, err)
		return
	}
	s.notes = number
	s.acknowledged = append(s.acknowledged, team)
}
