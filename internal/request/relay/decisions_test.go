package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/balancing"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
	"github.com/teaselrack/teaselrack/internal/version"
)

// observeLevel lets a daemon hear the same level from many responses.
func observeLevel(levels *shedding.Levels, route string, b shedding.Bottleneck) {
	for range 60 {
		levels.Observe(time.Now(), route, b)
	}
}

// TestTimeoutIsAFailureOfTheTarget checks what the end of an attempt shows: a target that
// lets time limits pass fails its requests, one that rejects them or whose caller has gone
// does not.
func TestTimeoutIsAFailureOfTheTarget(t *testing.T) {
	now := time.Unix(1, 0)
	for kind, fails := range map[fault.Kind]bool{fault.DeadlineUnknown: true, fault.ConnectionLost: true, fault.CallerGone: false, fault.Overloaded: false, fault.DeadlineNotRun: false} {
		var target balancing.Target
		recordOutcome(now, &target, nil, fault.New(kind, "the attempt has ended"))
		must.Eq(t, fails, target.Failures(now) > 0, must.Sprint(kind))
	}
}

// TestRequestsAreShedWhereTheyEnter replays a deep service that sheds most of its work: an
// entry that has heard of it refuses requests before any target gets them.
func TestRequestsAreShedWhereTheyEnter(t *testing.T) {
	const requests = 200
	m := newMesh(t, version.Idempotent, 0, 1)
	outside := m.addRemote()
	_, _ = m.send(outside, "GET", "/p/x", nil, "")
	configured, _ := m.state.RouteForHost(host, "/p/x")
	route := configured.Name
	refused := 0
	for range requests {
		observeLevel(outside.entry.Levels, route, shedding.Bottleneck{Service: "deep", Level: 0.9, Cost: time.Second})
		resp, _ := m.send(outside, "GET", "/p/x", nil, "")
		if resp.StatusCode == http.StatusServiceUnavailable {
			refused++
		}
	}
	must.Between(t, requests*7/10, refused, requests, must.Sprint("nine tenths are to be shed"))
	must.LessEq(t, requests-refused+1, m.instances[0].stub.count())
}

// TestRoutesOfOneNameAreShedApart guards against requests that are shed because another
// route with the same name leads to an overloaded service.
func TestRoutesOfOneNameAreShedApart(t *testing.T) {
	const requests = 50
	m := newMesh(t, version.Idempotent, 0, 1)
	entries := m.state.Entries()
	other := entries.Routes[0]
	other.Path = "/other/"
	entries.Routes = append(entries.Routes, other)
	state, err := version.Initial().ApplyOrder(&version.Order{Configuration: &version.FullConfiguration{Revision: 1, Entries: entries}})
	must.NoError(t, err)
	m.state = state
	outside := m.addRemote()
	overloaded, _ := m.state.RouteForHost(host, "/p/x")
	refused := make(map[string]int)
	for range requests {
		for _, path := range []string{"/p/x", "/other/x"} {
			observeLevel(outside.entry.Levels, overloaded.ID, shedding.Bottleneck{Service: "deep", Level: 0.9, Cost: time.Second})
			resp, _ := m.send(outside, "GET", path, nil, "")
			if resp.StatusCode != http.StatusOK {
				refused[path]++
			}
		}
	}
	must.Eq(t, 0, refused["/other/x"])
	must.GreaterEq(t, requests/2, refused["/p/x"])
}

// TestDaemonReportsWhenAColdServiceIsWarm checks that responses pass on when the level of a
// called service ends.
func TestDaemonReportsWhenAColdServiceIsWarm(t *testing.T) {
	m := newMesh(t, version.Idempotent, 0, 1)
	handler := m.instances[0].peerHandler
	now := time.Now()
	for range 40 {
		end := handler.CallGraph.Begin(now, "r", now.Add(time.Minute), false)
		handler.CallGraph.ObserveCall(now, "called", "deep", now.Add(time.Minute))
		end()
	}
	observeLevel(handler.Levels, "called", shedding.Bottleneck{Service: "deep", Level: 0.9, Cost: time.Second, EndsIn: 5 * time.Second})
	h := make(http.Header)
	handler.writeLoadHeaders(h, &ForwardingMetadata{Route: "r"})
	bottleneck, err := readBottleneck(h)
	must.NoError(t, err)
	must.Eq(t, "deep", bottleneck.Service)
	must.Between(t, 4*time.Second, bottleneck.EndsIn, 5*time.Second)
}

// TestDaemonReportsTheLoadOfCalledServices checks that a daemon reports a service without a
// target in its failure domain, if requests of the route make several calls to it.
func TestDaemonReportsTheLoadOfCalledServices(t *testing.T) {
	for calls, reported := range map[int]bool{4: true, 1: false} {
		m := newMesh(t, version.Idempotent, 0, 1)
		handler := m.instances[0].peerHandler
		handler.Balancer.List = func(string) []protocol.TargetRecord {
			return []protocol.TargetRecord{{Service: "deep", Instance: "far", FailureDomain: "elsewhere", Slots: 10}}
		}
		now := time.Now()
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			end := handler.CallGraph.Begin(now, "r", now.Add(time.Minute), false)
			for range calls {
				handler.CallGraph.ObserveCall(now, "called", "deep", now.Add(time.Minute))
			}
			end()
		}
		h := make(http.Header)
		handler.writeLoadHeaders(h, &ForwardingMetadata{Route: "r"})
		load, err := readCalledLoad(h)
		must.NoError(t, err)
		must.Eq(t, reported, load > 1, must.Sprintf("%d calls", calls))
	}
}
