package operate

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

func TestTimelineMergesAndNamesWhatIsMissing(t *testing.T) {
	ca, err := mesh.NewAuthority("mesh", time.Now())
	must.NoError(t, err)
	first := eventServer(t, ca, "a", protocol.Event{Wall: 2, Name: "second"}, protocol.Event{Wall: 5, Name: "last"})
	second := eventServer(t, ca, "b", protocol.Event{Wall: 1, Name: "first"}, protocol.Event{Wall: 2, Logical: 1, Name: "third"})
	daemons := []protocol.DaemonStatus{
		{Instance: "a", PeerAddress: first},
		{Instance: "b", PeerAddress: second},
		{Instance: "gone", PeerAddress: "127.0.0.1:1"},
	}
	source := NewPeerEvents(identity(t, ca, mesh.Operator))
	defer source.Close()
	timeline := ReadTimeline(t.Context(), source, daemons, protocol.EventsRequest{Team: "obala"})
	must.Eq(t, []string{"gone"}, timeline.Missing)
	must.Eq(t, 2, timeline.Dropped)
	var names []string
	for _, e := range timeline.Events {
		names = append(names, e.Name)
	}
	must.Eq(t, []string{"first", "second", "third", "last"}, names)
	var out bytes.Buffer
	must.NoError(t, WriteTimeline(&out, timeline))
	must.StrContains(t, out.String(), "not reached: gone")
}

func eventServer(t *testing.T, ca mesh.KeyPair, process string, events ...protocol.Event) string {
	t.Helper()
	for i := range events {
		events[i].Process = process
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != eventsPath || r.URL.Query().Get("team") != "obala" {
			http.Error(w, "unexpected request", http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(protocol.EventsReply{Events: events, Dropped: 1})
	}))
	server.TLS = identity(t, ca, mesh.Daemon).ServerTLS()
	server.EnableHTTP2 = true
	server.StartTLS()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func identity(t *testing.T, ca mesh.KeyPair, role mesh.Role) *mesh.Identity {
	t.Helper()
	pair, err := ca.Issue("p", role, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now())
	must.NoError(t, err)
	id, err := mesh.NewIdentity(ca.Certificate, pair)
	must.NoError(t, err)
	return id
}
