package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/link"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/budget"
	"github.com/teaselrack/teaselrack/internal/process/local"
	"github.com/teaselrack/teaselrack/internal/process/placement"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	key  = "0123456789abcdef"
	host = "a.example"
)

// stub is a target that records what it is given.
type stub struct {
	mu     sync.Mutex
	seen   []*http.Request
	bodies []string
	// answer serves a request; nil answers 200.
	answer func(w http.ResponseWriter, r *http.Request)
}

func (s *stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.seen = append(s.seen, r)
	s.bodies = append(s.bodies, string(body))
	answer := s.answer
	s.mu.Unlock()
	w.Header().Set("Teaselrack-Request", r.Header.Get("Teaselrack-Request"))
	w.Header().Set("Stamp", "s")
	if answer != nil {
		answer(w, r)
		return
	}
	_, _ = w.Write([]byte("ok"))
}

func (s *stub) serveWith(answer func(w http.ResponseWriter, r *http.Request)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func (s *stub) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

// machine is one instance: a target, the daemon beside it and its listeners.
type machine struct {
	name   string
	stub   *stub
	target *local.Target
	beside *Beside
	entry  *Entry
	record protocol.TargetRecord
	outer  *httptest.Server
}

type mesh struct {
	t        *testing.T
	state    *version.State
	machines []*machine
}

func (m *mesh) Current() *version.State { return m.state }

// Take lets every team through.
func (m *mesh) Take(context.Context, string) error { return nil }

func (m *mesh) list(service string) []protocol.TargetRecord {
	var records []protocol.TargetRecord
	for _, machine := range m.machines {
		if machine.record.Service == service {
			records = append(records, machine.record)
		}
	}
	return records
}

func newMesh(t *testing.T, mode version.Mode, retries, targets int) *mesh {
	hash := version.HashKey(key)
	whole := &version.Whole{Revision: 1, Entries: version.Entries{
		Teams: []version.Team{{Name: "team", Weight: 1}},
		Keys:  []version.Key{{ID: version.KeyID(hash), Team: "team", Hash: hash}},
		Routes: []version.Route{{
			Name: "r", Host: host, Path: "/p/", Service: "s", Mode: mode, Access: version.Keyed,
			Timeout: 400 * time.Millisecond, Objective: 300 * time.Millisecond, Retries: retries,
		}},
		Services: []version.Service{{Name: "s"}},
	}}
	must.NoError(t, whole.Check())
	state, err := version.Initial().Carry(&version.Order{Whole: whole})
	must.NoError(t, err)
	m := &mesh{t: t, state: state}
	for i := range targets {
		m.add(fmt.Sprintf("m%d", i), "s")
	}
	return m
}

func (m *mesh) add(name, service string) *machine {
	one := &machine{name: name, stub: &stub{}}
	inner := httptest.NewServer(one.stub)
	m.t.Cleanup(inner.Close)
	address := inner.Listener.Addr().String()
	one.target = local.New(local.Options{
		Service: service, Address: address, Interval: time.Minute,
		ColdRate: func() float64 { return 0 }, InService: func() bool { return true }, Changed: func() {},
		Now: time.Now, Log: zap.NewNop(),
	})
	must.NoError(m.t, one.target.Heartbeat(local.Heartbeat{ID: name, Sequence: 1, Service: service, Address: address, Slots: 100}))
	levels, calls := new(shedding.Levels), new(shedding.Calls)
	one.beside = &Beside{
		Names: DefaultNames(), Service: service, Address: address, Target: one.target, Levels: levels, Calls: calls,
		Links: link.NewClient(link.Options{IDHeader: "Teaselrack-Request"}), Log: zap.NewNop(), Stats: NewStats(),
	}
	peer := httptest.NewServer(one.beside)
	m.t.Cleanup(peer.Close)
	one.record = protocol.TargetRecord{Service: service, Instance: name, PeerAddress: peer.Listener.Addr().String(), FailureDomain: "z", Slots: 100, State: protocol.Warm}
	one.entry = &Entry{
		Names: DefaultNames(), Instance: name, Service: service, Configuration: m, Quota: m,
		Directory: &placement.Directory{FailureDomain: "z", List: m.list},
		Budget:    budget.New(budget.Options{Ratio: 100, Window: time.Second, Slack: 1000, Processes: func() int { return 1 }}),
		Beside:    one.beside, Peers: link.NewClient(link.Options{Trusted: true}),
		Levels: levels, Calls: calls, Demand: new(shedding.Demand), Returns: new(shedding.Returns), Log: zap.NewNop(), Stats: NewStats(),
	}
	one.outer = httptest.NewServer(one.entry)
	m.t.Cleanup(one.outer.Close)
	m.machines = append(m.machines, one)
	return one
}

// outside adds a machine without a target of service s, so that its entry must
// hand every request on.
func (m *mesh) outside() *machine { return m.add("outside", "other") }

func (m *mesh) send(from *machine, method, path string, header map[string]string, body string) (reply, string) {
	r, err := http.NewRequest(method, from.outer.URL+path, strings.NewReader(body))
	must.NoError(m.t, err)
	r.Host = host
	r.Header.Set("Teaselrack-Request", "id-1")
	r.Header.Set("Teaselrack-Key", key)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	must.NoError(m.t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	must.NoError(m.t, err)
	return reply{resp.StatusCode, resp.Header}, string(text)
}

// reply is an answer whose body was read.
type reply struct {
	StatusCode int
	Header     http.Header
}

func TestRequestReachesTheTargetUnchanged(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	for _, from := range []*machine{m.machines[0], m.outside()} {
		before := m.machines[0].stub.count()
		resp, text := m.send(from, "POST", "/p//x/%41?q=%20&b", map[string]string{"Other": "kept", "Teaselrack-Team": "forged", "Teaselrack-Origin": "forged"}, "body")
		must.Eq(t, 200, resp.StatusCode)
		must.Eq(t, "ok", text)
		must.Eq(t, "s", resp.Header.Get("Stamp"))
		s := m.machines[0].stub
		must.Eq(t, before+1, s.count())
		got := s.seen[before]
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
		resp, _ := m.send(m.machines[0], "GET", c.path, c.header, "")
		must.Eq(t, c.want, resp.StatusCode)
	}
	must.Eq(t, 0, m.machines[0].stub.count())
	m.state = version.Initial()
	resp, _ := m.send(m.machines[0], "GET", "/p/x", nil, "")
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
}

func TestDeadlineIsNeverLengthened(t *testing.T) {
	m := newMesh(t, version.Idempotent, 0, 1)
	for header, most := range map[string]string{"200": "200", "5000": "400"} {
		_, _ = m.send(m.outside(), "GET", "/p/x", map[string]string{"Teaselrack-Timeout": header}, "")
		s := m.machines[0].stub
		got := s.seen[s.count()-1].Header.Get("Teaselrack-Timeout")
		must.True(t, len(got) < len(most) || len(got) == len(most) && got <= most, must.Sprint(got, most))
	}
}

// TestFinalAnswerAtTheTimeout: a target that does not answer.
func TestFinalAnswerAtTheTimeout(t *testing.T) {
	m := newMesh(t, version.Idempotent, 1, 2)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	for _, one := range m.machines {
		one.stub.serveWith(func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		})
	}
	resp, _ := m.send(m.outside(), "GET", "/p/x", nil, "")
	must.Eq(t, http.StatusGatewayTimeout, resp.StatusCode)
}

// TestOnceIsNeverSentTwice: the target runs the request and its answer is
// lost. The failure promises nothing.
func TestOnceIsNeverSentTwice(t *testing.T) {
	m := newMesh(t, version.Once, 3, 2)
	for _, one := range m.machines {
		one.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) { hijackAndClose(w) })
	}
	resp, _ := m.send(m.outside(), "POST", "/p/x", nil, "body")
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	must.Eq(t, 1, m.machines[0].stub.count()+m.machines[1].stub.count())
}

func TestRepeatableIsSentToAnotherTarget(t *testing.T) {
	m := newMesh(t, version.Idempotent, 1, 2)
	for _, broken := range m.machines {
		for _, one := range m.machines {
			one.stub.serveWith(nil)
		}
		broken.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) { hijackAndClose(w) })
		for range 3 {
			resp, text := m.send(m.outside(), "POST", "/p/x", nil, "body")
			must.Eq(t, 200, resp.StatusCode)
			must.Eq(t, "ok", text)
		}
	}
	for _, one := range m.machines {
		one.stub.mu.Lock()
		for _, body := range one.stub.bodies {
			must.Eq(t, "body", body)
		}
		one.stub.mu.Unlock()
	}
}

// TestAttemptsAreBounded: every target loses its answers.
func TestAttemptsAreBounded(t *testing.T) {
	m := newMesh(t, version.Idempotent, 1, 4)
	for _, one := range m.machines {
		one.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) { hijackAndClose(w) })
	}
	resp, _ := m.send(m.outside(), "GET", "/p/x", nil, "")
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	total := 0
	for _, one := range m.machines {
		total += one.stub.count()
	}
	must.Eq(t, 2, total)
}

// TestRejectionIsANotRunRefusal: every target turns the request away unrun.
func TestRejectionIsANotRunRefusal(t *testing.T) {
	m := newMesh(t, version.Once, 1, 2)
	for _, one := range m.machines {
		one.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Teaselrack-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	resp, _ := m.send(m.outside(), "POST", "/p/x", nil, "body")
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.NotEq(t, "", resp.Header.Get("Retry-After"))
	must.Eq(t, 2, m.machines[0].stub.count()+m.machines[1].stub.count())
}

// TestMayHaveRunIsNeverSaidToBeNotRun: the first target loses its answer, the
// second turns the request away.
func TestMayHaveRunIsNeverSaidToBeNotRun(t *testing.T) {
	m := newMesh(t, version.Idempotent, 1, 2)
	first := true
	var mu sync.Mutex
	for _, one := range m.machines {
		one.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
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
	resp, _ := m.send(m.outside(), "GET", "/p/x", nil, "")
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
}

// TestAnotherTargetAtTheAddress: what answers at the address is not the target
// that announced itself.
func TestAnotherTargetAtTheAddress(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	m.machines[0].stub.serveWith(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	resp, _ := m.send(m.outside(), "POST", "/p/x", nil, "")
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
}

func TestServiceThatIsNotHere(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	m.machines[0].record.PeerAddress = m.outside().record.PeerAddress
	from := m.add("sender", "other")
	resp, _ := m.send(from, "POST", "/p/x", nil, "")
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	for _, one := range m.machines {
		must.Eq(t, 0, one.stub.count())
	}
}

// TestBrokenAnswerDoesNotLookComplete: a long answer ends before its length.
func TestBrokenAnswerDoesNotLookComplete(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	m.machines[0].stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000000")
		_, _ = w.Write(make([]byte, 200_000))
		hijackAndClose(w)
	})
	r, err := http.NewRequest("GET", m.outside().outer.URL+"/p/x", nil)
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
	m.machines[0].stub.serveWith(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(long)) })
	resp, text := m.send(m.outside(), "POST", "/p/x", nil, long)
	must.Eq(t, 200, resp.StatusCode)
	must.Eq(t, long, text)
	must.Eq(t, long, m.machines[0].stub.bodies[0])
}

// TestLeavingCallerFreesTheTarget: the caller closes its connection while the
// target works.
func TestLeavingCallerFreesTheTarget(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	working, freed := make(chan struct{}), make(chan struct{})
	m.machines[0].stub.serveWith(func(_ http.ResponseWriter, r *http.Request) {
		close(working)
		<-r.Context().Done()
		close(freed)
	})
	from := m.outside()
	conn, err := net.Dial("tcp", from.outer.Listener.Addr().String())
	must.NoError(t, err)
	_, err = fmt.Fprintf(conn, "GET /p/x HTTP/1.1\r\nHost: %s\r\nTeaselrack-Key: %s\r\n\r\n", host, key)
	must.NoError(t, err)
	<-working
	must.NoError(t, conn.Close())
	<-freed
}

func TestPassageRoundTrip(t *testing.T) {
	p := &Passage{RequestID: "id", Service: "s", Route: "r", Team: "t", Origin: "o", Rank: 3, Call: true, Repeatable: true, Returned: true, Remaining: time.Second, Useful: time.Millisecond}
	got, err := DecodePassage(p.Encode())
	must.NoError(t, err)
	must.Eq(t, p, got)
	for _, bad := range []string{"", "1\ta", "2\ts\tt\to\t0\t\t1\t1\tr\tid", "1\ts\tt\to\tx\t\t1\t1\tr\tid", "1\ts\tt\to\t0\t\tx\t1\tr\tid", "1\ts\tt\to\t0\t\t1\tx\tr\tid"} {
		_, err := DecodePassage(bad)
		must.Eq(t, fault.BadRequest, fault.KindOf(err))
	}
}

func TestStatusOfFailures(t *testing.T) {
	for _, kind := range fault.Kinds() {
		status := statusOf(kind)
		promise := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if promise {
			must.Eq(t, fault.NotRun, fault.AnswerFor(kind).Outcome, must.Sprint(kind))
		}
	}
}

// hijackAndClose ends the connection of a request without an answer.
func hijackAndClose(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// recorded keeps the headers of what passes between two daemons.
type recorded struct {
	next    http.Handler
	mu      sync.Mutex
	asked   http.Header
	replied http.Header
}

func (r *recorded) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	asked := req.Header.Clone()
	buffer := httptest.NewRecorder()
	r.next.ServeHTTP(buffer, req)
	r.mu.Lock()
	r.asked, r.replied = asked, buffer.Header().Clone()
	r.mu.Unlock()
	for name, values := range buffer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(buffer.Code)
	_, _ = w.Write(buffer.Body.Bytes())
}

// TestNothingIsSaidTwiceBetweenDaemons: links between failure domains are dear, so
// daemons leave out what the passage says already and what nobody stated. The
// caller and the target see all of it.
func TestNothingIsSaidTwiceBetweenDaemons(t *testing.T) {
	m := newMesh(t, version.Idempotent, 0, 1)
	record := &recorded{next: m.machines[0].beside}
	peer := httptest.NewServer(record)
	t.Cleanup(peer.Close)
	m.machines[0].record.PeerAddress = peer.Listener.Addr().String()
	m.machines[0].stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
		w.Header()["Date"] = nil
		w.Header()["Content-Type"] = nil
		_, _ = w.Write([]byte("<html>whole</html>"))
	})
	names := DefaultNames()
	reply, body := m.send(m.outside(), "GET", "/p/x", map[string]string{names.Deadline: "300", "Other": "kept"}, "")
	must.Eq(t, 200, reply.StatusCode)
	must.Eq(t, "<html>whole</html>", body)
	must.Eq(t, "id-1", reply.Header.Get(names.RequestID))
	must.Eq(t, "s", reply.Header.Get("Stamp"))
	must.Eq(t, "", reply.Header.Get("Content-Type"), must.Sprint("the target stated none"))
	seen := m.machines[0].stub.seen[0]
	must.Eq(t, "id-1", seen.Header.Get(names.RequestID))
	must.NotEq(t, "", seen.Header.Get(names.Deadline))
	must.Eq(t, "kept", seen.Header.Get("Other"))
	for _, name := range []string{names.RequestID, names.Deadline, names.Key, names.Team} {
		must.Eq(t, "", record.asked.Get(name), must.Sprint(name))
	}
	for _, name := range []string{names.RequestID, "Date", "Content-Type", headerLevel} {
		must.Eq(t, "", record.replied.Get(name), must.Sprint(name))
	}
}
