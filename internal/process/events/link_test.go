package events

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// handlerLink is a PeerLink that calls a handler directly.
type handlerLink struct{ handler http.Handler }

func (l handlerLink) RoundTrip(_ string, r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	l.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// TestLinkOrdersBothWays checks the order of events on both sides of a request,
// once with a server whose clock is behind the client's and once with one whose
// clock is ahead.
func TestLinkOrdersBothWays(t *testing.T) {
	for _, serverSeconds := range []int64{1, 40} {
		client := New("client", 10, func() time.Time { return time.Unix(20, 0) })
		server := New("server", 10, func() time.Time { return time.Unix(serverSeconds, 0) })
		serve := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			server.Record(protocol.Event{Name: "serve"})
			w.WriteHeader(http.StatusNoContent)
		})
		client.Record(protocol.Event{Name: "send"})
		link := NewTimestampedLink(client, handlerLink{TimestampedHandler(server, serve)})
		resp, err := link.RoundTrip("", httptest.NewRequest(http.MethodGet, "/", nil))
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		client.Record(protocol.Event{Name: "done"})
		timeline := Merge(client.Read(protocol.EventsRequest{}).Events, server.Read(protocol.EventsRequest{}).Events)
		must.Eq(t, "send", timeline[0].Name)
		must.Eq(t, "serve", timeline[1].Name)
		must.Eq(t, "done", timeline[2].Name)
	}
}
