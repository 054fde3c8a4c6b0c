package hop

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
)

// TestRequestThatReachedNoTarget guards against 502 and 504 for requests that reached no
// target: callers cannot repeat those that may run only once. No daemon of the service
// accepts connections, or the deadline passes while the request waits for a slot.
func TestRequestThatReachedNoTarget(t *testing.T) {
	cases := map[fault.Kind]func(m *testMesh){
		fault.ConnectFailed: func(m *testMesh) {
			m.router.targets = []protocol.TargetRecord{{Service: "blagajna", Instance: "gone", PeerAddress: "127.0.0.9:7000"}}
		},
		fault.DeadlineNotRun: func(m *testMesh) {
			m.nodes[0].admission.beforeAdmit = func(*envelope.Envelope) error {
				time.Sleep(97 * time.Millisecond)
				return fault.New(fault.DeadlineNotRun, "the deadline does not leave enough time")
			}
		},
	}
	for kind, prepare := range cases {
		t.Run(string(kind), func(t *testing.T) {
			runMesh(t, []string{"blagajna"}, func(t *testing.T, m *testMesh) {
				var ran atomic.Int64
				m.serveTargets(0, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
				prepare(m)
				res := m.call(http.MethodPost, "/pay", "5 EUR", withOnceKey("k"), func(r *http.Request) { r.Header.Set(HeaderTimeout, "100") })
				must.NoError(t, res.err)
				must.Eq(t, kind, res.errorBody.Kind, must.Sprint(res.body))
				must.Eq(t, http.StatusServiceUnavailable, res.status)
				must.Eq(t, "not-run", res.header.Get(HeaderOutcome))
				must.NotEq(t, "", res.header.Get("Retry-After"))
				time.Sleep(time.Minute)
				must.Eq(t, 0, ran.Load())
			})
		})
	}
}
