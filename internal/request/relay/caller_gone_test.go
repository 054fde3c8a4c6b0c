package relay

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// TestCallerIsNotCutOffForAnotherProcess guards against a connection that is closed without
// a response although its caller waits: another daemon reports that its caller has gone.
func TestCallerIsNotCutOffForAnotherProcess(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	m.instances[0].record.PeerAddress = m.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerErrorKind, string(fault.CallerGone))
		w.WriteHeader(http.StatusBadGateway)
	}))
	resp, _ := m.send(m.addRemote(), "POST", "/p/x", nil, "")
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
}
