package e2e

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/emulator/system"
)

// lease is the longest time that a daemon may act on what it knew.
const lease = 3 * time.Second

// TestLeaderKilled kills the leader under load. The note accepted before stays
// in force, a new one is accepted, and what callers were told holds.
func TestLeaderKilled(t *testing.T) {
	h := start(t, nil)
	leader := h.leader()
	load := h.startLoad(h.others(leader)...)
	load.awaitWhole(40)
	h.kill(leader)
	must.NoError(t, h.Apply(2, "added:\n  teams: [{name: after-kill, rate: 1, burst: 1}]\n"))
	load.awaitWhole(40)
	h.launchDaemon(leader)
	must.NoError(t, h.Apply(3, "added:\n  teams: [{name: after-restart, rate: 1, burst: 1}]\n"))
	load.awaitWhole(40)
	load.finish()
	export, err := h.Operate("export")
	must.NoError(t, err)
	for _, name := range []string{"obala", "after-kill", "after-restart"} {
		must.StrContains(t, export, "name: "+name)
	}
}

// others returns the names of all instances but one.
func (h *harness) others(not string) []string {
	var names []string
	for _, i := range h.Instances {
		if i.Name != not {
			names = append(names, i.Name)
		}
	}
	return names
}

// TestDaemonKilledWithOnceRequest kills the daemon beside the target that runs
// a once request. The caller is told that the outcome is not known, and the
// request never runs again.
func TestDaemonKilledWithOnceRequest(t *testing.T) {
	h := start(t, nil)
	for _, i := range h.Instances {
		if i.Service == "tides" {
			must.NoError(t, i.Behave(system.Behaviour{Delay: 1500 * time.Millisecond}))
		}
	}
	call := system.Call{Ingress: h.Instance("oprema-1").Ingress, Method: "POST", Path: "/book?held", Key: h.Keys["A"].Secret, OnceKey: "held"}
	answers := make(chan system.Answer, 1)
	go func() {
		answer, err := h.caller.Do(call)
		if err != nil {
			answer.Body = []byte(err.Error())
		}
		answers <- answer
	}()
	var holder string
	must.NoError(t, system.Await(settleLimit, func() error {
		holder = h.holderOf("held")
		if holder == "" {
			return fmt.Errorf("no target runs the request")
		}
		return nil
	}))
	h.kill(holder)
	first := <-answers
	must.Eq(t, "unknown", first.Outcome, must.Sprint(first))
	for _, name := range []string{"oprema-1", "oprema-2", "blagajna-2"} {
		call.Ingress = h.Instance(name).Ingress
		again := h.do(call)
		must.Eq(t, "once_unknown", again.Kind, must.Sprint(again))
	}
	must.Eq(t, map[string]int{"tides": 1}, h.runs()["held"])
}

// holderOf returns the instance whose target has run the marked request.
func (h *harness) holderOf(marker string) string {
	for _, i := range h.Instances {
		records, err := i.Records()
		must.NoError(h.t, err)
		for _, r := range records {
			if i.Service == "tides" && strings.HasSuffix(r.URL, "?"+marker) {
				return i.Name
			}
		}
	}
	return ""
}

// TestFrozenLongerThanTheLease stops a daemon with SIGSTOP, withdraws a key and
// takes the daemon's own failure domain out behind its back, and lets it go on
// with requests that wait at its listener. None may run under the old state.
func TestFrozenLongerThanTheLease(t *testing.T) {
	h := start(t, nil)
	frozen := h.Instance("tides-2")
	keyed := system.Call{Ingress: frozen.Ingress, Method: "GET", Path: "/slots?before", Key: h.Keys["B"].Secret}
	open := system.Call{Ingress: frozen.Ingress, Method: "GET", Path: "/forecast?before"}
	must.Eq(t, 200, h.do(keyed).Status)
	must.Eq(t, 200, h.do(open).Status)
	h.signal(frozen.Name, syscall.SIGSTOP)
	stopped := time.Now()
	keyed.Path, open.Path = "/slots?keyed", "/forecast?open"
	keyedAnswers, openAnswers := h.waitAt(keyed), h.waitAt(open)
	must.NoError(t, h.Apply(2, fmt.Sprintf(`withdrawn:
  keys: [%q]
changed:
  failure_domains: [{name: split-b, region: coast, in_service: false}]
`, h.KeyID("B"))))
	must.NoError(t, system.Await(settleLimit, func() error {
		if frozenFor := time.Since(stopped); frozenFor < lease+time.Second {
			return fmt.Errorf("frozen for %v", frozenFor)
		}
		return nil
	}))
	h.signal(frozen.Name, syscall.SIGCONT)
	for range waiting {
		answer := <-keyedAnswers
		must.Eq(t, "not-run", answer.Outcome, must.Sprint(answer))
		answer = <-openAnswers
		must.True(t, answer.Status == 200 || answer.Outcome == "not-run", must.Sprint(answer))
	}
	for _, i := range h.Instances {
		records, err := i.Records()
		must.NoError(t, err)
		for _, r := range records {
			must.False(t, strings.HasSuffix(r.URL, "?keyed"), must.Sprint(i.Name))
			must.False(t, i.Domain == "split-b" && strings.HasSuffix(r.URL, "?open"), must.Sprint(i.Name))
		}
	}
	must.NoError(t, system.Await(settleLimit, func() error {
		if again := h.do(system.Call{Ingress: frozen.Ingress, Method: "GET", Path: "/slots?thawed", Key: h.Keys["A"].Secret}); again.Status != 200 {
			return fmt.Errorf("%s", again)
		}
		return nil
	}))
}

// waiting is the number of requests of one sort that wait at a frozen daemon.
const waiting = 5

// waitAt sends requests to a daemon that does not answer yet.
func (h *harness) waitAt(call system.Call) <-chan system.Answer {
	answers := make(chan system.Answer, waiting)
	for range waiting {
		go func() {
			answer, err := h.caller.Do(call)
			if err != nil {
				answer.Body = []byte(err.Error())
			}
			answers <- answer
		}()
	}
	return answers
}

// TestDataFolderLost removes a replica's data folder, replaces the replica, and
// loses another one right after the repair. Nothing accepted is lost.
func TestDataFolderLost(t *testing.T) {
	h := start(t, nil)
	once := system.Call{Ingress: h.Instance("oprema-1").Ingress, Method: "POST", Path: "/book?kept", Key: h.Keys["A"].Secret, OnceKey: "kept"}
	must.Eq(t, 200, h.do(once).Status)
	lost := h.Instance("blagajna-1")
	old := h.memberID(lost.Control)
	h.kill(lost.Name)
	must.NoError(t, os.RemoveAll(h.File("data-"+lost.Name)))
	h.launchDaemon(lost.Name)
	must.NoError(t, system.Await(settleLimit, func() error {
		_, err := h.Operate("control", "admit", lost.Control)
		return err
	}))
	must.NotEq(t, old, h.memberID(lost.Control))
	_, err := h.Operate("control", "remove", old)
	must.NoError(t, err)
	must.NoError(t, h.Apply(2, "added:\n  teams: [{name: after-repair, rate: 1, burst: 1}]\n"))

	h.kill("tides-1")
	must.NoError(t, h.Apply(3, "added:\n  teams: [{name: after-second, rate: 1, burst: 1}]\n"))
	export, err := h.Operate("export")
	must.NoError(t, err)
	for _, name := range []string{"obala", "after-repair", "after-second"} {
		must.StrContains(t, export, "name: "+name)
	}
	answer := h.do(once)
	must.Eq(t, 200, answer.Status, must.Sprint(answer))
	must.True(t, answer.Replayed)
	must.Eq(t, map[string]int{"tides": 1, "blagajna": 1, "oprema": 1}, h.runs()["kept"])
}

// memberID returns the id of the replica at an address, as it says itself.
func (h *harness) memberID(address string) string {
	h.t.Helper()
	status, err := h.Status()
	must.NoError(h.t, err)
	for _, replica := range status.Replicas {
		if replica.Address == address && len(replica.Groups) > 0 {
			return replica.Groups[0].ID
		}
	}
	h.t.Fatalf("the replica at %s did not answer", address)
	return ""
}

// TestGracefulShutdownCutsNothing stops daemons one after the other under
// load, and with slow requests running. Every request at the others gets an
// answer, and every request that ran gets a whole one.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	h := start(t, nil)
	for _, i := range h.Instances {
		must.NoError(t, i.Behave(system.Behaviour{Delay: 100 * time.Millisecond}))
	}
	load := h.startLoad("tides-1", "blagajna-1", "oprema-1")
	load.awaitWhole(10)
	for _, name := range []string{"tides-2", "blagajna-2", "oprema-2"} {
		must.Eq(t, 0, h.terminate(name), must.Sprint(name))
		load.awaitWhole(10)
		h.launchDaemon(name)
		load.awaitWhole(10)
	}
	load.finish()
	for _, p := range load.promises {
		must.NoError(t, p.err, must.Sprint(p.marker))
		must.True(t, p.answer.Status == 200 || p.answer.Outcome == "not-run", must.Sprintf("%s: %s", p.marker, p.answer))
	}
}

// TestLeavingTarget has a target that announces that it leaves. After a few
// seconds it gets no new work, and callers lose nothing.
func TestLeavingTarget(t *testing.T) {
	h := start(t, nil)
	leaving := h.Instance("tides-1")
	load := h.startLoad("oprema-1", "oprema-2")
	load.awaitWhole(20)
	must.NoError(t, leaving.AnnounceState("leaving"))
	left := time.Now()
	must.NoError(t, system.Await(settleLimit, func() error {
		if since := time.Since(left); since < lease {
			return fmt.Errorf("leaving for %v", since)
		}
		return nil
	}))
	before, err := leaving.Stats()
	must.NoError(t, err)
	load.awaitWhole(20)
	after, err := leaving.Stats()
	must.NoError(t, err)
	must.Eq(t, before.Requests, after.Requests)
	load.finish()
}

// TestGracefulShutdownKeepsItsCallers stops the daemon that callers are
// connected to. Each request gets a whole answer or an honest refusal until the
// listener is closed; no connection breaks under a request. The requests cannot
// be sent again by the caller's client, which would hide a broken connection.
func TestGracefulShutdownKeepsItsCallers(t *testing.T) {
	h := start(t, nil)
	leaving := h.Instance("oprema-2")
	ends := make(chan error, loadCallers)
	for range loadCallers {
		go func() { ends <- h.callUntilRefused(leaving.Ingress) }()
	}
	must.Eq(t, 0, h.terminate(leaving.Name))
	for range loadCallers {
		must.ErrorIs(t, <-ends, syscall.ECONNREFUSED)
	}
}

// callUntilRefused sends requests over kept connections until one fails.
func (h *harness) callUntilRefused(ingress string) error {
	caller := system.NewCaller()
	defer caller.Close()
	for {
		answer, err := caller.Do(system.Call{Ingress: ingress, Method: "POST", Path: "/slots?goodbye", Key: h.Keys["A"].Secret, Body: "x", Single: true})
		if err != nil {
			return err
		}
		if answer.Status != 200 && answer.Outcome != "not-run" {
			return fmt.Errorf("answered %s", answer)
		}
	}
}
