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

// freshnessLease is the longest time for which a daemon acts on configuration
// that the control replicas have not confirmed again. It equals
// configuration.FreshnessLease.
const freshnessLease = 3 * time.Second

// TestLeaderKilled guards against lost release notes and wrong outcomes when the
// leader is killed with SIGKILL under load and restarted. The note accepted
// before the kill stays in effect, new notes are accepted, and the responses
// match what the targets ran.
func TestLeaderKilled(t *testing.T) {
	h := start(t, nil)
	leader := h.leader()
	load := h.startLoad(h.otherInstances(leader)...)
	load.awaitSuccesses(40)
	h.kill(leader)
	must.NoError(t, h.Apply(2, "added:\n  teams: [{name: after-kill, rate: 1, burst: 1}]\n"))
	load.awaitSuccesses(40)
	h.launchDaemon(leader)
	must.NoError(t, h.Apply(3, "added:\n  teams: [{name: after-restart, rate: 1, burst: 1}]\n"))
	load.awaitSuccesses(40)
	load.finish()
	export, err := h.RunCLI("export")
	must.NoError(t, err)
	for _, name := range []string{"obala", "after-kill", "after-restart"} {
		must.StrContains(t, export, "name: "+name)
	}
}

// otherInstances returns the names of all instances except the excluded one.
func (h *harness) otherInstances(excluded string) []string {
	var names []string
	for _, i := range h.Instances {
		if i.Name != excluded {
			names = append(names, i.Name)
		}
	}
	return names
}

// TestDaemonKilledWithOnceRequest guards against a second run of a once request.
// It kills the daemon of the target that is running the request. The client must
// get the outcome unknown, and duplicates sent to other daemons must not run.
func TestDaemonKilledWithOnceRequest(t *testing.T) {
	h := start(t, nil)
	for _, i := range h.Instances {
		if i.Service == "tides" {
			must.NoError(t, i.SetBehaviour(system.Behaviour{Delay: 1500 * time.Millisecond}))
		}
	}
	request := system.Request{Ingress: h.Instance("oprema-1").Ingress, Method: "POST", Path: "/book?held", Key: h.Keys["A"].Secret, OnceKey: "held"}
	responses := make(chan system.Response, 1)
	go func() {
		response, err := h.client.Do(request)
		if err != nil {
			response.Body = []byte(err.Error())
		}
		responses <- response
	}()
	var receivingInstance string
	must.NoError(t, system.Await(settleTimeout, func() error {
		receivingInstance = h.instanceThatReceived("held")
		if receivingInstance == "" {
			return fmt.Errorf("no target has received the once request")
		}
		return nil
	}))
	h.kill(receivingInstance)
	first := <-responses
	must.Eq(t, "unknown", first.Outcome, must.Sprint(first))
	for _, name := range []string{"oprema-1", "oprema-2", "blagajna-2"} {
		request.Ingress = h.Instance(name).Ingress
		duplicate := h.do(request)
		must.Eq(t, "once_unknown", duplicate.Kind, must.Sprint(duplicate))
	}
	must.Eq(t, map[string]int{"tides": 1}, h.runs()["held"])
}

// instanceThatReceived returns the name of the instance of service tides whose
// target has received the request with this marker, or "" if there is none.
func (h *harness) instanceThatReceived(marker string) string {
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

// TestFrozenLongerThanTheLease guards against a daemon that acts on outdated
// configuration after it was frozen. The daemon is stopped with SIGSTOP for
// longer than the freshness lease. Meanwhile an API key is withdrawn, the
// daemon's failure domain is taken out of service, and requests queue at its
// listener. After SIGCONT none of these requests may run under the old
// configuration.
func TestFrozenLongerThanTheLease(t *testing.T) {
	h := start(t, nil)
	frozen := h.Instance("tides-2")
	keyed := system.Request{Ingress: frozen.Ingress, Method: "GET", Path: "/slots?before", Key: h.Keys["B"].Secret}
	open := system.Request{Ingress: frozen.Ingress, Method: "GET", Path: "/forecast?before"}
	must.Eq(t, 200, h.do(keyed).Status)
	must.Eq(t, 200, h.do(open).Status)
	h.freeze(frozen.Name)
	frozenAt := time.Now()
	keyed.Path, open.Path = "/slots?keyed", "/forecast?open"
	keyedResponses, openResponses := h.sendAsync(keyed), h.sendAsync(open)
	must.NoError(t, h.Apply(2, fmt.Sprintf(`withdrawn:
  keys: [%q]
changed:
  failure_domains: [{name: split-b, region: coast, in_service: false}]
`, h.KeyID("B"))))
	must.NoError(t, system.Await(settleTimeout, func() error {
		if frozenFor := time.Since(frozenAt); frozenFor < freshnessLease+time.Second {
			return fmt.Errorf("the daemon was frozen for only %v", frozenFor)
		}
		return nil
	}))
	h.signal(frozen.Name, syscall.SIGCONT)
	for range probeRequests {
		response := <-keyedResponses
		must.Eq(t, "not-run", response.Outcome, must.Sprint(response))
		response = <-openResponses
		must.True(t, response.Status == 200 || response.Outcome == "not-run", must.Sprint(response))
	}
	for _, i := range h.Instances {
		records, err := i.Records()
		must.NoError(t, err)
		for _, r := range records {
			must.False(t, strings.HasSuffix(r.URL, "?keyed"), must.Sprint(i.Name))
			must.False(t, i.Domain == "split-b" && strings.HasSuffix(r.URL, "?open"), must.Sprint(i.Name))
		}
	}
	must.NoError(t, system.Await(settleTimeout, func() error {
		if again := h.do(system.Request{Ingress: frozen.Ingress, Method: "GET", Path: "/slots?thawed", Key: h.Keys["A"].Secret}); again.Status != 200 {
			return fmt.Errorf("%s", again)
		}
		return nil
	}))
}

// probeRequests is the number of requests of each kind that a test sends to a
// frozen or isolated daemon.
const probeRequests = 5

// sendAsync sends probeRequests copies of a request concurrently, without
// waiting for the responses, which arrive on the returned channel. A request that
// fails without a response is reported as a response that has no outcome and has
// the error text as its body.
func (h *harness) sendAsync(request system.Request) <-chan system.Response {
	responses := make(chan system.Response, probeRequests)
	for range probeRequests {
		go func() {
			response, err := h.client.Do(request)
			if err != nil {
				response.Body = []byte(err.Error())
			}
			responses <- response
		}()
	}
	return responses
}

// TestDataDirectoryLost guards against lost data after two failures. A control
// replica loses its data directory and is replaced by a new member. Right after
// this repair, another replica is killed. Accepted release notes and the stored
// response of a once request must still be there.
func TestDataDirectoryLost(t *testing.T) {
	h := start(t, nil)
	once := system.Request{Ingress: h.Instance("oprema-1").Ingress, Method: "POST", Path: "/book?kept", Key: h.Keys["A"].Secret, OnceKey: "kept"}
	must.Eq(t, 200, h.do(once).Status)
	replaced := h.Instance("blagajna-1")
	oldID := h.memberID(replaced.Control)
	h.kill(replaced.Name)
	must.NoError(t, os.RemoveAll(h.File("data-"+replaced.Name)))
	h.launchDaemon(replaced.Name)
	must.NoError(t, system.Await(settleTimeout, func() error {
		_, err := h.RunCLI("control", "admit", replaced.Control)
		return err
	}))
	must.NotEq(t, oldID, h.memberID(replaced.Control))
	_, err := h.RunCLI("control", "remove", oldID)
	must.NoError(t, err)
	must.NoError(t, h.Apply(2, "added:\n  teams: [{name: after-repair, rate: 1, burst: 1}]\n"))

	h.kill("tides-1")
	must.NoError(t, h.Apply(3, "added:\n  teams: [{name: after-second, rate: 1, burst: 1}]\n"))
	export, err := h.RunCLI("export")
	must.NoError(t, err)
	for _, name := range []string{"obala", "after-repair", "after-second"} {
		must.StrContains(t, export, "name: "+name)
	}
	response := h.do(once)
	must.Eq(t, 200, response.Status, must.Sprint(response))
	must.True(t, response.Replayed)
	must.Eq(t, map[string]int{"tides": 1, "blagajna": 1, "oprema": 1}, h.runs()["kept"])
}

// memberID returns the member ID that the replica at this control address reports
// for itself.
func (h *harness) memberID(address string) string {
	h.t.Helper()
	status, err := h.Status()
	must.NoError(h.t, err)
	for _, replica := range status.Replicas {
		if replica.Address == address && len(replica.Groups) > 0 {
			return replica.Groups[0].ID
		}
	}
	h.t.Fatalf("the status has no member ID for the replica at %s", address)
	return ""
}

// TestGracefulShutdownUnderLoad guards against requests that fail because a
// daemon shuts down. It stops and restarts daemons one after the other under
// load with slow requests. Every request through the other daemons gets a
// complete response: status 200, or a rejection with the outcome not-run.
func TestGracefulShutdownUnderLoad(t *testing.T) {
	h := start(t, nil)
	for _, i := range h.Instances {
		must.NoError(t, i.SetBehaviour(system.Behaviour{Delay: 100 * time.Millisecond}))
	}
	load := h.startLoad("tides-1", "blagajna-1", "oprema-1")
	load.awaitSuccesses(10)
	for _, name := range []string{"tides-2", "blagajna-2", "oprema-2"} {
		must.Eq(t, 0, h.terminate(name), must.Sprint(name))
		load.awaitSuccesses(10)
		h.launchDaemon(name)
		load.awaitSuccesses(10)
	}
	load.finish()
	for _, r := range load.results {
		must.NoError(t, r.err, must.Sprint(r.marker))
		must.True(t, r.response.Status == 200 || r.response.Outcome == "not-run", must.Sprintf("%s: %s", r.marker, r.response))
	}
}

// TestLeavingTarget guards against requests that are sent to a target which has
// announced the state leaving. After the freshness lease no daemon may send it
// requests, and clients must still get complete responses.
func TestLeavingTarget(t *testing.T) {
	h := start(t, nil)
	leaving := h.Instance("tides-1")
	load := h.startLoad("oprema-1", "oprema-2")
	load.awaitSuccesses(20)
	must.NoError(t, leaving.AnnounceState("leaving"))
	announcedAt := time.Now()
	must.NoError(t, system.Await(settleTimeout, func() error {
		if since := time.Since(announcedAt); since < freshnessLease {
			return fmt.Errorf("the target announced leaving only %v ago", since)
		}
		return nil
	}))
	before, err := leaving.Stats()
	must.NoError(t, err)
	load.awaitSuccesses(20)
	after, err := leaving.Stats()
	must.NoError(t, err)
	must.Eq(t, before.Requests, after.Requests)
	load.finish()
}

// TestGracefulShutdownServesConnectedClients guards against a daemon that closes
// connections with a request in flight while it shuts down. Until the listener is
// closed, each request of the connected clients must get a complete response or a
// rejection with the outcome not-run. The requests have NoRetry set, because a
// retry by the HTTP client would hide a broken connection.
func TestGracefulShutdownServesConnectedClients(t *testing.T) {
	h := start(t, nil)
	leaving := h.Instance("oprema-2")
	ends := make(chan error, loadClients)
	for range loadClients {
		go func() { ends <- h.sendUntilError(leaving.Ingress) }()
	}
	must.Eq(t, 0, h.terminate(leaving.Name))
	for range loadClients {
		must.ErrorIs(t, <-ends, syscall.ECONNREFUSED)
	}
}

// sendUntilError sends requests over a keep-alive connection until one fails, and
// returns the error. A response that is neither status 200 nor not-run is an
// error too.
func (h *harness) sendUntilError(ingress string) error {
	client := system.NewClient()
	defer client.Close()
	for {
		response, err := client.Do(system.Request{Ingress: ingress, Method: "POST", Path: "/slots?goodbye", Key: h.Keys["A"].Secret, Body: "x", NoRetry: true})
		if err != nil {
			return err
		}
		if response.Status != 200 && response.Outcome != "not-run" {
			return fmt.Errorf("unexpected response: %s", response)
		}
	}
}
