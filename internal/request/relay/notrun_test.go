package relay

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/http1"
	"github.com/teaselrack/teaselrack/internal/connection/memnet"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/local"
	"github.com/teaselrack/teaselrack/internal/version"
)

// TestRequestThatWaitsForASlotUntilItsDeadline guards against 504 for a request that has
// waited at its target's daemon all the while: the daemon knows that it has not run, but its
// rejection came after the entry's own deadline. All daemons are up to 15 ms away.
func TestRequestThatWaitsForASlotUntilItsDeadline(t *testing.T) {
	for _, oneWay := range []time.Duration{100 * time.Microsecond, 5 * time.Millisecond, 15 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			network := memnet.New(oneWay)
			m := newMeshOn(t, network, version.Once, 1, 1)
			outside := m.addRemote()
			busy := m.instances[0]
			must.NoError(t, busy.target.Heartbeat(local.Heartbeat{ID: busy.name, Sequence: 2, Service: "s", Address: busy.targetAddress, Slots: 1}))
			busy.stub.serveWith(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			for n, from := range []*instance{outside, busy} {
				go func() { _, _ = m.send(outside, "POST", "/p/first", nil, "body") }()
				time.Sleep(4 * oneWay)
				resp, text := m.send(from, "POST", "/p/second", map[string]string{"Teaselrack-Timeout": "350"}, "body")
				must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode, must.Sprintf("%v away: %s", oneWay, text))
				after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				must.NoError(t, err)
				must.Between(t, 0.001, after, 0.05)
				time.Sleep(time.Minute)
				must.Eq(t, n+1, busy.stub.count())
			}
			network.Close()
			time.Sleep(time.Minute)
		})
	}
}

// TestDeadlineAtTheMomentOfAdmission guards against closing the connection of a caller who
// still waits: the deadline passes as a slot becomes free, and the request has not run.
func TestDeadlineAtTheMomentOfAdmission(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	handler := m.instances[0].peerHandler
	ctx, cancel := context.WithTimeout(t.Context(), 0)
	defer cancel()
	for range 200 {
		_, err := handler.Serve(ctx, &ForwardingMetadata{Service: "s", Remaining: time.Second, ObjectiveRemaining: time.Second}, &http1.Request{Method: "POST", URI: "/p/x", Host: host, Header: make(http.Header)})
		must.Eq(t, fault.DeadlineNotRun, fault.KindOf(err))
	}
	must.Eq(t, 0, m.instances[0].stub.count())
}

// TestTruncatedRejectionIsNotRun guards against 502 for a request that a target has rejected,
// because the body of the rejection broke off: its head says that the request has not run.
func TestTruncatedRejectionIsNotRun(t *testing.T) {
	m := newMesh(t, version.Once, 1, 2)
	for _, inst := range m.instances {
		inst.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Teaselrack-Not-Run", "1")
			w.Header().Set("Content-Length", "1000")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write(make([]byte, 10))
			_ = http.NewResponseController(w).Flush()
			hijackAndClose(w)
		})
	}
	for n, from := range []*instance{m.addRemote(), m.instances[0]} {
		resp, _ := m.send(from, "POST", "/p/x", nil, "body")
		must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
		must.NotEq(t, "", resp.Header.Get("Retry-After"))
		must.Eq(t, "", resp.Header.Get("Stamp"))
		must.Eq(t, 2*(n+1), m.instances[0].stub.count()+m.instances[1].stub.count())
	}
}

// TestDaemonThatCannotBeReached checks what is known of a request whose target's daemon has
// ended: it has not run if there was no connection to send it on. If the connection ends after
// it was written, nobody can tell.
func TestDaemonThatCannotBeReached(t *testing.T) {
	for reachable, status := range map[bool]int{false: http.StatusServiceUnavailable, true: http.StatusBadGateway} {
		synctest.Test(t, func(t *testing.T) {
			network := memnet.New(time.Millisecond)
			m := newMeshOn(t, network, version.Once, 1, 1)
			outside := m.addRemote()
			m.instances[0].record.PeerAddress = "10.9.9.9:80"
			if reachable {
				listener := network.Listen("10.9.9.9:80")
				defer func() { _ = listener.Close() }()
				go func() {
					for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
						time.Sleep(10 * time.Millisecond)
						_ = conn.Close()
					}
				}()
			}
			resp, _ := m.send(outside, "POST", "/p/x", nil, "body")
			must.Eq(t, status, resp.StatusCode)
			must.Eq(t, reachable, resp.Header.Get("Retry-After") == "")
			must.Eq(t, 0, m.instances[0].stub.count())
			network.Close()
			time.Sleep(time.Minute)
		})
	}
}
