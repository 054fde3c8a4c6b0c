package relay

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/memnet"
	"github.com/teaselrack/teaselrack/internal/version"
)

// TestRepeatedRefusalOfAnEarlierRequest simulates a target that rejects a request and
// writes that rejection once more, without its ID, while the next request runs. The caller
// of a request that is not idempotent must not be told that it has not run, and no other
// target may get it.
func TestRepeatedRefusalOfAnEarlierRequest(t *testing.T) {
	m := newMesh(t, version.Once, 1, 2)
	outside := m.addRemote()
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n%sTeaselrack-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
	for _, inst := range m.instances[:2] {
		inst.stub.serveWith(func(w http.ResponseWriter, r *http.Request) {
			conn, buf, err := w.(http.Hijacker).Hijack()
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			id := r.Header.Get("Teaselrack-Request")
			_, _ = fmt.Fprintf(conn, refusal, "Teaselrack-Request: "+id+"\r\n")
			if _, err = http.ReadRequest(buf.Reader); err != nil {
				return
			}
			inst.stub.mu.Lock()
			inst.stub.requests = append(inst.stub.requests, r)
			inst.stub.mu.Unlock()
			_, _ = fmt.Fprintf(conn, refusal, "")
			time.Sleep(50 * time.Millisecond)
		})
	}
	resp, _ := m.send(outside, "POST", "/p/x", nil, "")
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode, must.Sprint("both targets reject the first request"))
	before := m.instances[0].stub.count() + m.instances[1].stub.count()
	resp, _ = m.send(outside, "POST", "/p/x", map[string]string{"Teaselrack-Request": "id-2"}, "")
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	must.Eq(t, before+1, m.instances[0].stub.count()+m.instances[1].stub.count())
}

// TestTargetStopsInTheMiddleOfAHead closes the target's connection after each part of a
// response head. The caller must not get a success.
func TestTargetStopsInTheMiddleOfAHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		m := newMeshOn(t, network, version.Once, 0, 1)
		outside := m.addRemote()
		const head = "HTTP/1.1 200 OK\r\nTeaselrack-Request: id-1\r\nStamp: s\r\nContent-Length: 12\r\n\r\n"
		for cut := range head {
			m.instances[0].stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				must.NoError(t, err)
				_, _ = io.WriteString(conn, head[:cut])
				_ = conn.Close()
			})
			for _, from := range []*instance{m.instances[0], outside} {
				resp, _ := m.send(from, "POST", "/p/x", nil, "")
				must.Eq(t, http.StatusBadGateway, resp.StatusCode, must.Sprintf("%q", head[:cut]))
			}
		}
		network.Close()
		time.Sleep(time.Minute)
	})
}
