package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/events"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
)

const (
	pathPermit = "/v1/permit/"
	pathEvents = "/v1/events"
	// permitTimeout is the time limit of one request for a retry permit.
	// Without a response there is no retry.
	permitTimeout = 300 * time.Millisecond
)

// peerHandler returns the handler of the peer listener. Requests with an
// envelope header go to forwarded, all other requests to the daemon's own
// endpoints.
func (d *Daemon) peerHandler(forwarded http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathPermit+"{request}", d.servePermit)
	mux.HandleFunc("GET "+pathEvents, d.serveEvents)
	dispatch := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(envelope.Header) != "" {
			forwarded.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
	return events.TimestampedHandler(d.events, dispatch)
}

// servePermit responds to another daemon's request for a permit to retry a
// request that entered at this daemon. It responds with 204 if a permit is
// granted and with 409 if not, or with 403 to a process that is neither a daemon
// nor a replica.
func (d *Daemon) servePermit(w http.ResponseWriter, r *http.Request) {
	peer, err := mesh.PeerOf(r.TLS)
	if err == nil {
		err = peer.RequireRole(mesh.Daemon, mesh.Replica)
	}
	if err != nil {
		http.Error(w, fault.Message(err), http.StatusForbidden)
		return
	}
	if !d.permits.Grant(r.PathValue("request")) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// requestPermit requests one retry permit from the daemon where the request
// entered, and reports whether it was granted. root is the peer address of
// that daemon. It implements permit.RequestPermit.
func (d *Daemon) requestPermit(ctx context.Context, root, requestID string) bool {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+root+pathPermit+requestID, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := d.peerClient.RoundTrip(root, r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}

// serveEvents responds with the events of this process. Every holder of a mesh
// certificate may read them.
func (d *Daemon) serveEvents(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	reply := d.events.Read(protocol.EventsRequest{
		Request: query.Get("request"),
		Team:    query.Get("team"),
		Target:  query.Get("target"),
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
