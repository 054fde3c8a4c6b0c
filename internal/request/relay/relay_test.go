package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"golang.org/x/net/http/httpguts"

	"github.com/teaselrack/teaselrack/internal/connection/http1"
	"github.com/teaselrack/teaselrack/internal/connection/memnet"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/balancing"
	"github.com/teaselrack/teaselrack/internal/process/local"
	"github.com/teaselrack/teaselrack/internal/process/quarantine"
	"github.com/teaselrack/teaselrack/internal/process/retrybudget"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	key  = "0123456789abcdef"
	host = "a.example"
)

// stub is a target that records the requests it receives.
type stub struct {
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	// respond handles a request. If it is nil, the stub responds with 200.
	respond func(w http.ResponseWriter, r *http.Request)
}

func (s *stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.requests = append(s.requests, r)
	s.bodies = append(s.bodies, string(body))
	respond := s.respond
	s.mu.Unlock()
	w.Header().Set("Teaselrack-Request", r.Header.Get("Teaselrack-Request"))
	w.Header().Set("Stamp", "s")
	if respond != nil {
		respond(w, r)
		return
	}
	_, _ = w.Write([]byte("ok"))
}

func (s *stub) serveWith(respond func(w http.ResponseWriter, r *http.Request)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respond = respond
}

// received returns the requests so far.
func (s *stub) received() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

func (s *stub) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// instance is one instance: a target, its daemon and their listeners.
type instance struct {
	name        string
	stub        *stub
	target      *local.Target
	peerHandler *PeerHandler
	quarantine  *quarantine.List
	entry       *EntryHandler
	record      protocol.TargetRecord
	// entryAddress is the address of the entry handler, targetAddress that of the
	// target.
	entryAddress  string
	targetAddress string
}

// mesh is a set of instances with the same configuration. It implements
// Configuration and Quota for their entry handlers.
type mesh struct {
	t         *testing.T
	state     *version.State
	instances []*instance
	// records guards the records of the instances.
	records sync.Mutex
	// network, if set, connects the instances in virtual time.
	network *memnet.Network
	client  *http.Client
	// addresses is the number of listeners.
	addresses int
	// takeToken, if set, replaces Take.
	takeToken func(team string) error
}

func (m *mesh) Current() *version.State { return m.state }

// Take never limits a team, unless takeToken is set.
func (m *mesh) Take(_ context.Context, team string) error {
	if m.takeToken == nil {
		return nil
	}
	return m.takeToken(team)
}

func (m *mesh) list(service string) []protocol.TargetRecord {
	m.records.Lock()
	defer m.records.Unlock()
	var records []protocol.TargetRecord
	for _, inst := range m.instances {
		if inst.record.Service == service {
			records = append(records, inst.record)
		}
	}
	return records
}

// serve serves h until the test ends and returns its address.
func (m *mesh) serve(h http.Handler) (address string) {
	if m.network == nil {
		server := httptest.NewServer(h)
		m.t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	m.addresses++
	address = fmt.Sprintf("10.0.0.%d:80", m.addresses)
	m.serveAt(address, h)
	return address
}

// serveAt serves h at an address of the network until the test ends or stop is called,
// which resets all connections.
func (m *mesh) serveAt(address string, h http.Handler) (stop func()) {
	server := &http.Server{Handler: h}
	ln := m.network.Listen(address)
	go func() { _ = server.Serve(ln) }()
	stop = func() { _ = server.Close() }
	m.t.Cleanup(stop)
	return stop
}

// clientOptions returns o with the network of the mesh.
func (m *mesh) clientOptions(o http1.Options) http1.Options {
	if m.network != nil {
		o.Dial = m.network.Dial
	}
	return o
}

// newMesh returns a mesh with one route r of service s, and with as many instances
// of the service as targets says.
func newMesh(t *testing.T, mode version.Mode, retries, targets int) *mesh {
	return newMeshOn(t, nil, mode, retries, targets)
}

// newMeshOn is newMesh with all connections in network, or with real ones if it is
// nil.
func newMeshOn(t *testing.T, network *memnet.Network, mode version.Mode, retries, targets int) *mesh {
	m := &mesh{t: t, state: routeState(t, mode, retries, 400*time.Millisecond, 300*time.Millisecond), network: network, client: http.DefaultClient}
	if network != nil {
		transport := &http.Transport{DialContext: network.Dial, MaxIdleConnsPerHost: 100}
		t.Cleanup(transport.CloseIdleConnections)
		m.client = &http.Client{Transport: transport}
	}
	for i := range targets {
		m.add(fmt.Sprintf("m%d", i), "s")
	}
	return m
}

// routeState returns a state with one route r of service s.
func routeState(t *testing.T, mode version.Mode, retries int, timeout, objective time.Duration) *version.State {
	hash := version.HashKey(key)
	configuration := &version.FullConfiguration{Revision: 1, Entries: version.Entries{
		Teams: []version.Team{{Name: "team", Weight: 1, Rate: 1e6, Burst: 1e6}},
		Keys:  []version.Key{{ID: version.KeyID(hash), Team: "team", Hash: hash}},
		Routes: []version.Route{{
			Name: "r", Host: host, Path: "/p/", Service: "s", Mode: mode, Access: version.Keyed,
			Timeout: timeout, Objective: objective, Retries: retries,
		}},
		Services: []version.Service{{Name: "s"}},
	}}
	must.NoError(t, configuration.Validate())
	state, err := version.Initial().ApplyOrder(&version.Order{Configuration: configuration})
	must.NoError(t, err)
	return state
}

// add adds an instance whose target is a stub of the service.
func (m *mesh) add(name, service string) *instance {
	inst := &instance{name: name, stub: &stub{}}
	inst.targetAddress = m.serve(inst.stub)
	levels, callGraph := new(shedding.Levels), new(shedding.CallGraph)
	inst.quarantine = newQuarantine()
	inst.target, inst.peerHandler = m.newPeerHandler(name, service, inst.targetAddress, inst.quarantine, levels, callGraph)
	inst.record = protocol.TargetRecord{
		Service: service, Instance: name, PeerAddress: m.serve(inst.peerHandler), FailureDomain: "z", Slots: 100, State: protocol.Warm,
		Incarnation: name + "/0",
	}
	inst.entry = &EntryHandler{
		HeaderNames: DefaultNames(), Instance: name, Service: service, Configuration: m, Quota: m,
		Balancer:    &balancing.Balancer{FailureDomain: "z", List: m.list},
		RetryBudget: retrybudget.New(retrybudget.Options{Ratio: 100, Window: time.Second, Slack: 1000, Processes: func() int { return 1 }}),
		Local:       inst.peerHandler, PeerClient: http1.NewClient(m.clientOptions(http1.Options{PeerKeepsIdle: true})),
		Levels: levels, CallGraph: callGraph, Demand: new(shedding.Demand), Rejections: new(shedding.Rejections), Quarantine: inst.quarantine, Log: zap.NewNop(), Stats: NewStats(),
	}
	inst.entryAddress = m.serve(inst.entry)
	m.instances = append(m.instances, inst)
	return inst
}

// newPeerHandler returns the handler of the daemon beside a target, and the state that
// it has of the target after the first heartbeat.
func (m *mesh) newPeerHandler(name, service, address string, list *quarantine.List, levels *shedding.Levels, callGraph *shedding.CallGraph) (*local.Target, *PeerHandler) {
	target := m.newTarget(name, service, address, list)
	return target, &PeerHandler{
		Balancer:    &balancing.Balancer{FailureDomain: "z", List: m.list},
		HeaderNames: DefaultNames(), Service: service, Address: address, Target: target, Levels: levels, CallGraph: callGraph,
		TargetClient: http1.NewClient(m.clientOptions(http1.Options{IDHeader: "Teaselrack-Request"})), Quarantine: list, Log: zap.NewNop(), Stats: NewStats(),
	}
}

func newQuarantine() *quarantine.List { return quarantine.NewList(time.Now, func() {}, zap.NewNop()) }

// restart replaces the handler beside the target of an instance by one that knows
// nothing but the target's heartbeat.
func (m *mesh) restart(inst *instance) {
	_, handler := m.newPeerHandler(inst.name, inst.record.Service, inst.targetAddress, newQuarantine(), new(shedding.Levels), new(shedding.CallGraph))
	address := m.serve(handler)
	m.records.Lock()
	defer m.records.Unlock()
	inst.record.PeerAddress = address
}

// newTarget returns the state that the daemon of an instance has of its target after
// the first heartbeat.
func (m *mesh) newTarget(name, service, address string, list *quarantine.List) *local.Target {
	client := http1.NewClient(m.clientOptions(http1.Options{}))
	target := local.New(local.Options{
		Reach:   func(ctx context.Context) error { return client.Reach(ctx, address) },
		Service: service, Address: address, Interval: time.Minute,
		ColdRate: func() float64 { return 0 }, Permitted: func() error { return nil }, Changed: func() {},
		Crashed: list.AddCrash, Now: time.Now, Log: zap.NewNop(),
	})
	must.NoError(m.t, target.Heartbeat(local.Heartbeat{ID: name, Sequence: 1, Service: service, Address: address, Slots: 100}))
	return target
}

// addRemote adds an instance without a target of service s, so that its entry
// handler must forward every request.
func (m *mesh) addRemote() *instance { return m.add("outside", "other") }

// send sends a request with an API key to the entry handler of an instance. It
// returns the response and its body.
func (m *mesh) send(from *instance, method, path string, header map[string]string, body string) (testResponse, string) {
	r, err := http.NewRequest(method, "http://"+from.entryAddress+path, strings.NewReader(body))
	must.NoError(m.t, err)
	r.Host = host
	r.Header.Set("Teaselrack-Request", "id-1")
	r.Header.Set("Teaselrack-Key", key)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := m.client.Do(r)
	must.NoError(m.t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	must.NoError(m.t, err)
	return testResponse{resp.StatusCode, resp.Header}, string(text)
}

// testResponse is a response whose body has been read.
type testResponse struct {
	StatusCode int
	Header     http.Header
}

func TestRequestReachesTheTargetUnchanged(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	for _, from := range []*instance{m.instances[0], m.addRemote()} {
		before := m.instances[0].stub.count()
		resp, text := m.send(from, "POST", "/p//x/%41?q=%20&b", map[string]string{"Other": "kept", "Teaselrack-Team": "forged", "Teaselrack-Origin": "forged"}, "body")
		must.Eq(t, 200, resp.StatusCode)
		must.Eq(t, "ok", text)
		must.Eq(t, "s", resp.Header.Get("Stamp"))
		s := m.instances[0].stub
		must.Eq(t, before+1, s.count())
		got := s.requests[before]
		must.Eq(t, "/p//x/%41?q=%20&b", got.RequestURI)
		must.Eq(t, host, got.Host)
		must.Eq(t, "body", s.bodies[before])
		must.Eq(t, "kept", got.Header.Get("Other"))
		must.Eq(t, "team", got.Header.Get("Teaselrack-Team"))
		must.Eq(t, []string{from.entry.Service}, got.Header["Teaselrack-Origin"])
		must.Eq(t, "m0", got.Header.Get("Teaselrack-Expect"))
		must.Eq(t, "", got.Header.Get("Teaselrack-Key"))
		must.Eq(t, "", got.Header.Get("Teaselrack-Passage"))
	}
}

func TestWhatIsNotServed(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	for _, c := range []struct {
		path   string
		header map[string]string
		want   int
	}{
		{"/q/x", nil, http.StatusNotFound},
		{"/p", nil, http.StatusNotFound},
		{"/p/x", map[string]string{"Teaselrack-Key": "unknown"}, http.StatusUnauthorized},
	} {
		resp, _ := m.send(m.instances[0], "GET", c.path, c.header, "")
		must.Eq(t, c.want, resp.StatusCode)
	}
	must.Eq(t, 0, m.instances[0].stub.count())
	m.state = version.Initial()
	resp, _ := m.send(m.instances[0], "GET", "/p/x", nil, "")
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
}

func TestDeadlineIsNeverLengthened(t *testing.T) {
	m := newMesh(t, version.Idempotent, 0, 1)
	for header, limit := range map[string]string{"200": "200", "5000": "400"} {
		_, _ = m.send(m.addRemote(), "GET", "/p/x", map[string]string{"Teaselrack-Timeout": header}, "")
		s := m.instances[0].stub
		got := s.requests[s.count()-1].Header.Get("Teaselrack-Timeout")
		must.True(t, len(got) < len(limit) || len(got) == len(limit) && got <= limit, must.Sprint(got, limit))
	}
}

// TestTimeLimitsThatOverflow guards against requests that are refused at once because their
// time limit is longer than a duration holds.
func TestTimeLimitsThatOverflow(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	for _, limit := range []string{"9223372036854775807", "9223372036855", "92233720368547758070", "30001", "5000"} {
		resp, _ := m.send(m.instances[0], "POST", "/p/x", map[string]string{"Teaselrack-Timeout": limit}, "body")
		must.Eq(t, http.StatusOK, resp.StatusCode, must.Sprint(limit))
	}
}

// TestFinalResponseAtTheTimeout guards against requests that outlive their
// timeout because no target responds.
func TestFinalResponseAtTheTimeout(t *testing.T) {
	m := newMesh(t, version.Idempotent, 1, 2)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	for _, inst := range m.instances {
		inst.stub.serveWith(func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		})
	}
	resp, _ := m.send(m.addRemote(), "GET", "/p/x", nil, "")
	must.Eq(t, http.StatusGatewayTimeout, resp.StatusCode)
}

// TestOnceIsNeverSentTwice guards against a second run of a request that may
// run only once: the target runs the request, but its response is lost. The
// error does not say "not run".
func TestOnceIsNeverSentTwice(t *testing.T) {
	m := newMesh(t, version.Once, 3, 2)
	for _, inst := range m.instances {
		inst.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) { hijackAndClose(w) })
	}
	resp, _ := m.send(m.addRemote(), "POST", "/p/x", nil, "body")
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	must.Eq(t, 1, m.instances[0].stub.count()+m.instances[1].stub.count())
}

func TestIdempotentIsSentToAnotherTarget(t *testing.T) {
	m := newMesh(t, version.Idempotent, 1, 2)
	for _, broken := range m.instances {
		for _, inst := range m.instances {
			inst.stub.serveWith(nil)
		}
		broken.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) { hijackAndClose(w) })
		for range 3 {
			resp, text := m.send(m.addRemote(), "POST", "/p/x", nil, "body")
			must.Eq(t, 200, resp.StatusCode)
			must.Eq(t, "ok", text)
		}
	}
	for _, inst := range m.instances {
		inst.stub.mu.Lock()
		for _, body := range inst.stub.bodies {
			must.Eq(t, "body", body)
		}
		inst.stub.mu.Unlock()
	}
}

// TestAttemptsAreBounded guards against unlimited retries when every target
// loses its responses.
func TestAttemptsAreBounded(t *testing.T) {
	m := newMesh(t, version.Idempotent, 1, 4)
	for _, inst := range m.instances {
		inst.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) { hijackAndClose(w) })
	}
	resp, _ := m.send(m.addRemote(), "GET", "/p/x", nil, "")
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	total := 0
	for _, inst := range m.instances {
		total += inst.stub.count()
	}
	must.Eq(t, 2, total)
}

// TestRejectionByEveryTargetIsNotRun checks the response when every target rejects
// the request without running it.
func TestRejectionByEveryTargetIsNotRun(t *testing.T) {
	m := newMesh(t, version.Once, 1, 2)
	for _, inst := range m.instances {
		inst.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Teaselrack-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	resp, _ := m.send(m.addRemote(), "POST", "/p/x", nil, "body")
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.NotEq(t, "", resp.Header.Get("Retry-After"))
	must.Eq(t, 2, m.instances[0].stub.count()+m.instances[1].stub.count())
}

// TestMayHaveRunIsNeverSaidToBeNotRun guards against a "not run" response to a
// request that may have run: the first target loses its response, the second
// rejects the request.
func TestMayHaveRunIsNeverSaidToBeNotRun(t *testing.T) {
	m := newMesh(t, version.Idempotent, 1, 2)
	first := true
	var mu sync.Mutex
	for _, inst := range m.instances {
		inst.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if first {
				first = false
				hijackAndClose(w)
				return
			}
			w.Header().Set("Teaselrack-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	resp, _ := m.send(m.addRemote(), "GET", "/p/x", nil, "")
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
}

// TestAnotherTargetAtTheAddress checks the response when the process at the
// target's address is not the target that announced itself.
func TestAnotherTargetAtTheAddress(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	m.instances[0].stub.serveWith(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	resp, _ := m.send(m.addRemote(), "POST", "/p/x", nil, "")
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
}

func TestServiceThatIsNotHere(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	m.instances[0].record.PeerAddress = m.addRemote().record.PeerAddress
	from := m.add("sender", "other")
	resp, _ := m.send(from, "POST", "/p/x", nil, "")
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	for _, inst := range m.instances {
		must.Eq(t, 0, inst.stub.count())
	}
}

// TestTruncatedResponseDoesNotLookComplete guards against a truncated response that
// looks complete: the target closes the connection of a long response before
// its stated length.
func TestTruncatedResponseDoesNotLookComplete(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	m.instances[0].stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000000")
		_, _ = w.Write(make([]byte, 200_000))
		hijackAndClose(w)
	})
	r, err := http.NewRequest("GET", "http://"+m.addRemote().entryAddress+"/p/x", nil)
	must.NoError(t, err)
	r.Host = host
	r.Header.Set("Teaselrack-Key", key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	must.True(t, err != nil || resp.StatusCode == http.StatusBadGateway)
}

func TestLongBodiesAreStreamed(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	long := strings.Repeat("0123456789", 50_000)
	m.instances[0].stub.serveWith(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(long)) })
	resp, text := m.send(m.addRemote(), "POST", "/p/x", nil, long)
	must.Eq(t, 200, resp.StatusCode)
	must.Eq(t, long, text)
	must.Eq(t, long, m.instances[0].stub.bodies[0])
}

// TestDisconnectedCallerFreesTheTarget checks that a request is canceled at the
// target when the caller closes its connection.
func TestDisconnectedCallerFreesTheTarget(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	working, freed := make(chan struct{}), make(chan struct{})
	m.instances[0].stub.serveWith(func(_ http.ResponseWriter, r *http.Request) {
		close(working)
		<-r.Context().Done()
		close(freed)
	})
	from := m.addRemote()
	conn, err := net.Dial("tcp", from.entryAddress)
	must.NoError(t, err)
	_, err = fmt.Fprintf(conn, "GET /p/x HTTP/1.1\r\nHost: %s\r\nTeaselrack-Key: %s\r\n\r\n", host, key)
	must.NoError(t, err)
	<-working
	must.NoError(t, conn.Close())
	<-freed
}

// TestRequestIDsComeOutAsTheyWentIn guards against IDs that shift the fields of the metadata
// between daemons: targets got others, and callers chose the names of routes, which the daemon
// beside the target kept.
func TestRequestIDsComeOutAsTheyWentIn(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	outside := m.addRemote()
	for _, id := range []string{"a\tb", "a\tb\tc\td\te\tf\tg\th\ti\tj\tk", "%09", "%", "a%\tb", "a b", "\"a\"", "h\xc3\xa9", "\xff\xfe", "a\t%2"} {
		for _, from := range []*instance{m.instances[0], outside} {
			resp, _ := m.send(from, "POST", "/p/x", map[string]string{"Teaselrack-Request": id}, "body")
			must.Eq(t, http.StatusOK, resp.StatusCode, must.Sprintf("%q", id))
			must.Eq(t, []string{id}, lastRequest(m.instances[0].stub).Header["Teaselrack-Request"])
			must.Eq(t, id, resp.Header.Get("Teaselrack-Request"))
		}
	}
	configured, _ := m.state.RouteForHost(host, "/p/x")
	must.Eq(t, []string{configured.ID}, m.instances[0].peerHandler.CallGraph.Routes(), must.Sprint("no caller chooses the name of a route"))
}

// FuzzForwardingMetadata checks that all text comes out of a header as it went in.
func FuzzForwardingMetadata(f *testing.F) {
	f.Add("s", "t", "o", "id", "r")
	f.Add("", "", "", "", "r")
	f.Add("a\tb", "\r\n", " ", "%09", "r ")
	f.Add("\x00", "\x7f", "%", "\xff", "\t")
	f.Fuzz(func(t *testing.T, service, team, origin, id, route string) {
		if route == "" {
			return // no route has an empty ID
		}
		m := &ForwardingMetadata{Service: service, Team: team, Origin: origin, RequestID: id, Route: route, Remaining: time.Second}
		value := m.Encode()
		must.True(t, httpguts.ValidHeaderFieldValue(value))
		must.Eq(t, value, strings.Trim(value, " \t"), must.Sprint("a header loses spaces at its ends"))
		got, err := DecodeForwardingMetadata(value)
		must.NoError(t, err)
		must.Eq(t, m, got)
	})
}

// TestMetadataOfEarlierBuilds checks what a daemon reads that an earlier build sends, which
// escapes nothing.
func TestMetadataOfEarlierBuilds(t *testing.T) {
	for _, id := range []string{"id", "%41", "a\tb", "a\tb\tc"} {
		got, err := DecodeForwardingMetadata("1\ts\tt\to\t0\tcr\t1\t1\t" + id + "\tr")
		must.NoError(t, err)
		must.Eq(t, id, got.RequestID)
		must.Eq(t, "r", got.Route)
	}
	plain := &ForwardingMetadata{Service: "s", Team: "t", Origin: "o", RequestID: "100%", Route: "r"}
	must.Eq(t, "1\ts\tt\to\t0\t\t0\t0\t100%\tr", plain.Encode(), must.Sprint("what needs no escape is sent as before"))
}

func TestForwardingMetadataRoundTrip(t *testing.T) {
	m := &ForwardingMetadata{RequestID: "id", Service: "s", Route: "r", Team: "t", Origin: "o", Rank: 3, FromTarget: true, Idempotent: true, ClientRetry: true, Repeat: true, LastResort: true, Remaining: time.Second, ObjectiveRemaining: time.Millisecond}
	got, err := DecodeForwardingMetadata(m.Encode())
	must.NoError(t, err)
	must.Eq(t, m, got)
	for _, malformed := range []string{"", "1\ta", "2\ts\tt\to\t0\t\t1\t1\tr\tid", "1\ts\tt\to\tx\t\t1\t1\tr\tid", "1\ts\tt\to\t0\t\tx\t1\tr\tid", "1\ts\tt\to\t0\t\t1\tx\tr\tid"} {
		_, err := DecodeForwardingMetadata(malformed)
		must.Eq(t, fault.BadRequest, fault.KindOf(err))
	}
}

// TestRouteWithoutANameIsForwarded guards against requests that another daemon cannot read
// because their route has no name.
func TestRouteWithoutANameIsForwarded(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	entries := m.state.Entries()
	entries.Routes[0].Name = ""
	state, err := version.Initial().ApplyOrder(&version.Order{Configuration: &version.FullConfiguration{Revision: 1, Entries: entries}})
	must.NoError(t, err)
	m.state = state
	for _, from := range []*instance{m.instances[0], m.addRemote()} {
		resp, _ := m.send(from, "POST", "/p/x", nil, "body")
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
}

func TestStatusForKind(t *testing.T) {
	for _, kind := range fault.Kinds() {
		status := statusForKind(kind)
		saysNotRun := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if saysNotRun {
			must.Eq(t, fault.NotRun, fault.ResponseFor(kind).Outcome, must.Sprint(kind))
		}
		if fault.ResponseFor(kind).Outcome == fault.NotRun {
			must.SliceNotContains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, status, must.Sprint(kind))
		}
	}
}

// hijackAndClose closes the connection of a request without a response.
func hijackAndClose(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// recordingProxy records the headers that two daemons exchange.
type recordingProxy struct {
	next           http.Handler
	mu             sync.Mutex
	requestHeader  http.Header
	responseHeader http.Header
}

func (r *recordingProxy) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	requestHeader := req.Header.Clone()
	buffer := httptest.NewRecorder()
	r.next.ServeHTTP(buffer, req)
	r.mu.Lock()
	r.requestHeader, r.responseHeader = requestHeader, buffer.Header().Clone()
	r.mu.Unlock()
	for name, values := range buffer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(buffer.Code)
	_, _ = w.Write(buffer.Body.Bytes())
}

// TestNothingIsSaidTwiceBetweenDaemons guards against redundant headers on
// links between failure domains, which are expensive. Daemons omit headers
// whose values the forwarding metadata already carries, and headers that
// neither side set. The caller and the target still see all of theirs.
func TestNothingIsSaidTwiceBetweenDaemons(t *testing.T) {
	m := newMesh(t, version.Idempotent, 0, 1)
	recorder := &recordingProxy{next: m.instances[0].peerHandler}
	peerServer := httptest.NewServer(recorder)
	t.Cleanup(peerServer.Close)
	m.instances[0].record.PeerAddress = peerServer.Listener.Addr().String()
	m.instances[0].stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
		w.Header()["Date"] = nil
		w.Header()["Content-Type"] = nil
		_, _ = w.Write([]byte("<html>whole</html>"))
	})
	names := DefaultNames()
	response, body := m.send(m.addRemote(), "GET", "/p/x", map[string]string{names.Deadline: "300", "Other": "kept"}, "")
	must.Eq(t, 200, response.StatusCode)
	must.Eq(t, "<html>whole</html>", body)
	must.Eq(t, "id-1", response.Header.Get(names.RequestID))
	must.Eq(t, "s", response.Header.Get("Stamp"))
	must.Eq(t, "", response.Header.Get("Content-Type"), must.Sprint("the target stated none"))
	seen := m.instances[0].stub.requests[0]
	must.Eq(t, "id-1", seen.Header.Get(names.RequestID))
	must.NotEq(t, "", seen.Header.Get(names.Deadline))
	must.Eq(t, "kept", seen.Header.Get("Other"))
	for _, name := range []string{names.RequestID, names.Deadline, names.Key, names.Team} {
		must.Eq(t, "", recorder.requestHeader.Get(name), must.Sprint(name))
	}
	for _, name := range []string{names.RequestID, "Date", "Content-Type", headerShedLevel} {
		must.Eq(t, "", recorder.responseHeader.Get(name), must.Sprint(name))
	}
}
