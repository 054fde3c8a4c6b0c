package relay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/memnet"
	"github.com/teaselrack/teaselrack/internal/version"
)

// TestRequestAfterALeavingResponse guards against requests to a target that has said
// in a response that it leaves, while its heartbeats say nothing: from any sender, and,
// after the daemon beside it has restarted, from those that passed the response on.
func TestRequestAfterALeavingResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMeshOn(t, memnet.New(time.Millisecond), version.Idempotent, 1, 2)
		leaving := m.instances[0]
		leaving.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(DefaultNames().Leaving, "1")
			_, _ = w.Write([]byte("ok"))
		})
		told, other := m.addRemote(), m.addRemote()
		send := func(from *instance) {
			for range 30 {
				response, _ := m.send(from, "GET", "/p/x", nil, "")
				must.Eq(t, 200, response.StatusCode)
				time.Sleep(50 * time.Millisecond)
			}
		}
		send(told)
		must.Eq(t, 1, leaving.stub.count())
		send(other)
		must.Eq(t, 1, leaving.stub.count())
		m.restart(leaving)
		send(told)
		must.Eq(t, 1, leaving.stub.count())
	})
}
