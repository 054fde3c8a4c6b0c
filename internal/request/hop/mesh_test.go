package hop

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/connection/memnet"
	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/peer"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/connection/target"
	"github.com/teaselrack/teaselrack/internal/request/inflight"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	secret         = "Sesame-Opens-The-Door-0123456789"
	networkLatency = time.Millisecond
)

var note = `
number: 1
added:
  teams:
    - {name: obala, rate: 50, burst: 100}
  keys:
    - {team: obala, hash: "` + version.HashKey(secret) + `"}
  routes:
    - {name: look, path: /look, service: tides, importance: high, retries: 2}
    - {name: open, path: /open, service: tides, access: open, retries: 2}
    - {name: pay, path: /pay, service: blagajna, importance: critical, mode: once, retries: 2}
    - {name: charge, path: /charge, service: blagajna, importance: critical, mode: once, retries: 0}
    - {name: deep, path: /deep, service: oprema, access: internal, timeout: 30s, retries: 2}
    - {name: hold, path: /hold, service: raspored, access: internal, mode: once, retries: 2}
`

// testMesh is a mesh of daemons on an in-memory network. Each daemon has one
// local target and also serves callers.
type testMesh struct {
	t       *testing.T
	network *memnet.Network
	ca      mesh.KeyPair
	config  *fakeConfiguration
	quota   *fakeQuota
	router  *fakeRouter
	permits *fakePermits
	ledger  *fakeLedger
	events  *fakeRecorder
	nodes   []*testNode
	servers []*http.Server
	caller  *http.Client
}

type testNode struct {
	mesh         *testMesh
	ip           string
	admission    *fakeAdmission
	localTargets *fakeLocalTargets
	inFlight     *inflight.Table
	peers        *peer.Client
	targets      *target.Client
}

// runMesh calls body in a synctest bubble with a mesh that has one daemon, with a
// local target, for each element of services.
func runMesh(t *testing.T, services []string, body func(t *testing.T, m *testMesh)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := newTestMesh(t)
		defer m.close()
		for _, service := range services {
			m.add(service)
		}
		body(t, m)
	})
}

func newTestMesh(t *testing.T) *testMesh {
	n, err := version.ParseNote([]byte(note))
	must.NoError(t, err)
	state, err := version.Initial().Apply(n)
	must.NoError(t, err)
	ca, err := mesh.NewAuthority("mesh", time.Now())
	must.NoError(t, err)
	m := &testMesh{
		t:       t,
		network: memnet.New(networkLatency),
		ca:      ca,
		config:  &fakeConfiguration{state: state},
		quota:   &fakeQuota{},
		router:  &fakeRouter{},
		permits: &fakePermits{remaining: make(map[string]int)},
		ledger:  &fakeLedger{claims: make(map[protocol.OnceKey]*fakeClaim), fenced: make(map[string]bool)},
		events:  &fakeRecorder{},
	}
	m.caller = &http.Client{Transport: &http.Transport{DialContext: m.network.Dial, DisableKeepAlives: true}}
	return m
}

func (m *testMesh) identity(name string, role mesh.Role, ip string) *mesh.Identity {
	pair, err := m.ca.Issue(name, role, []net.IP{net.ParseIP(ip)}, time.Now())
	must.NoError(m.t, err)
	id, err := mesh.NewIdentity(m.ca.Certificate, pair)
	must.NoError(m.t, err)
	return id
}

func (m *testMesh) add(service string) {
	name := fmt.Sprintf("i%d", len(m.nodes)+1)
	n := &testNode{
		mesh:         m,
		ip:           fmt.Sprintf("127.0.0.%d", len(m.nodes)+1),
		localTargets: &fakeLocalTargets{},
		inFlight:     inflight.NewTable(),
		targets:      target.NewClient(target.Options{Dial: m.network.Dial}),
	}
	n.admission = &fakeAdmission{address: n.target()}
	id := m.identity(name, mesh.Daemon, n.ip)
	n.peers = peer.NewClient(id, peer.Options{Dial: m.network.Dial})
	d := Deps{
		Instance: name, FailureDomain: "split-a", PeerAddress: n.peer(),
		Configuration: m.config, Quota: m.quota, Ledger: m.ledger, Router: m.router,
		Admission: n.admission, Permits: m.permits, Recorder: m.events, InFlight: n.inFlight,
		Peers: n.peers, Targets: n.targets, LocalTargets: n.localTargets,
	}
	m.nodes = append(m.nodes, n)
	m.router.targets = append(m.router.targets, protocol.TargetRecord{Service: service, Instance: name, PeerAddress: n.peer()})
	m.serve(n.root(), listener.NewServer(NewRoot(d), listener.Options{}))
	m.serve(n.egress(), listener.NewServer(NewEgress(d), listener.Options{}))
	peerServer := peer.NewServer(id, NewPeer(d), peer.ServerOptions{})
	m.servers = append(m.servers, peerServer)
	l := m.network.Listen(n.peer())
	go func() { _ = peerServer.ServeTLS(l, "", "") }()
}

func (m *testMesh) serve(address string, server *http.Server) {
	m.servers = append(m.servers, server)
	l := m.network.Listen(address)
	go func() { _ = server.Serve(l) }()
}

// serveTargets serves handler as the local target of each daemon from index on.
func (m *testMesh) serveTargets(index int, handler http.HandlerFunc) {
	for _, n := range m.nodes[index:] {
		m.serve(n.target(), &http.Server{Handler: handler})
	}
}

func (m *testMesh) close() {
	time.Sleep(time.Minute) // let outstanding work finish
	for _, n := range m.nodes {
		must.Eq(m.t, 0, n.admission.heldSlots.Load(), must.Sprint("slots not released"))
		must.Eq(m.t, 0, n.admission.activeCalls.Load(), must.Sprint("outgoing calls not ended"))
		must.Eq(m.t, 0, n.inFlight.Len(), must.Sprint("handles not removed"))
		n.peers.Close()
		n.targets.Close()
	}
	for _, server := range m.servers {
		_ = server.Close()
	}
	m.network.Close()
	time.Sleep(time.Minute)
}

func (n *testNode) root() string   { return n.ip + ":7200" }
func (n *testNode) egress() string { return n.ip + ":7100" }
func (n *testNode) peer() string   { return n.ip + ":7000" }
func (n *testNode) target() string { return n.ip + ":9000" }

// result is the response that a caller received.
type result struct {
	status    int
	header    http.Header
	body      string
	err       error
	errorBody ErrorBody
}

// call sends a request with the API key to the ingress listener of the first
// daemon.
func (m *testMesh) call(method, path, body string, edit ...func(r *http.Request)) result {
	m.t.Helper()
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(m.t.Context(), method, "http://"+m.nodes[0].root()+path, content)
	must.NoError(m.t, err)
	r.Header.Set("Authorization", "Bearer "+secret)
	for _, f := range edit {
		f(r)
	}
	return m.do(r)
}

func (m *testMesh) do(r *http.Request) result {
	resp, err := m.caller.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	res := result{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
	if resp.Header.Get(HeaderKind) != "" {
		must.NoError(m.t, json.Unmarshal(body, &res.errorBody))
	}
	return res
}

// withOnceKey sets the Idempotency-Key.
func withOnceKey(key string) func(r *http.Request) {
	return func(r *http.Request) { r.Header.Set(headerOnceKey, key) }
}

// callEgress calls path on the egress listener of the instance whose target
// received r, with the handle of r.
func (m *testMesh) callEgress(ctx context.Context, r *http.Request, method, path string, edit ...func(r *http.Request)) result {
	host, _, _ := net.SplitHostPort(r.Host)
	out, err := http.NewRequestWithContext(ctx, method, "http://"+host+":7100"+path, nil)
	if err != nil {
		return result{err: err}
	}
	out.Header.Set(HeaderHandle, r.Header.Get(HeaderHandle))
	for _, f := range edit {
		f(out)
	}
	return m.do(out)
}
