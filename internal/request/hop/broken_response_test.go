package hop

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/connectiontest"
)

// respondRaw returns a handler that writes text in place of a response and closes the connection.
func respondRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
}

// TestBrokenResponseReachesNoCaller guards against bytes that are passed on although they are no
// complete response. The caller gets 502, with nothing of what the target sent: that of a request and
// the target that makes a call, from the daemon beside the target and from another one.
func TestBrokenResponseReachesNoCaller(t *testing.T) {
	for name, text := range connectiontest.BrokenResponses {
		for path, services := range map[string][]string{"beside the target": {"tides"}, "forwarded": {"oprema", "tides"}} {
			t.Run(name+", "+path, func(t *testing.T) {
				runMesh(t, services, func(t *testing.T, m *testMesh) {
					m.serveTargets(len(services)-1, respondRaw(text))
					expectBadGateway(t, m.call(http.MethodGet, "/look", ""))
					expectBadGateway(t, m.call(http.MethodPost, "/look", "body"))
				})
			})
		}
		t.Run(name+", call of a target", func(t *testing.T) {
			runMesh(t, []string{"tides", "oprema"}, func(t *testing.T, m *testMesh) {
				calls := make(chan result, 1)
				m.serve(m.nodes[0].target(), &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					calls <- m.callEgress(r.Context(), r, http.MethodGet, "/deep")
				})})
				m.serveTargets(1, respondRaw(text))
				must.Eq(t, http.StatusOK, m.call(http.MethodGet, "/look", "").status)
				expectBadGateway(t, <-calls)
			})
		})
	}
}

func expectBadGateway(t *testing.T, res result) {
	t.Helper()
	must.NoError(t, res.err)
	must.Eq(t, http.StatusBadGateway, res.status)
	must.StrNotContains(t, fmt.Sprint(res.header, res.body), connectiontest.BrokenMarker)
}
