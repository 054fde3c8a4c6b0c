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
	// permitTimeout bounds one ask for a permit; no answer means no retry.
	permitTimeout = 300 * time.Millisecond
)

// peerHandler serves the listener for mesh links: requests with a context go
// to the hop beside the target, the rest are the daemon's own.
func (d *Daemon) peerHandler(beside http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathPermit+"{request}", d.servePermit)
	mux.HandleFunc("GET "+pathEvents, d.serveEvents)
	split := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(envelope.Header) != "" {
			beside.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
	return events.Handler(d.ring, split)
}

// servePermit answers another daemon's ask for a retry of a request that began
// here: 204 for a permit, 409 for none.
func (d *Daemon) servePermit(w http.ResponseWriter, r *http.Request) {
	peer, err := mesh.PeerOf(r.TLS)
	if err == nil {
		err = peer.Allow(mesh.Daemon, mesh.Replica)
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

// askPermit asks the root of a request for one retry. It implements permit.Ask.
func (d *Daemon) askPermit(ctx context.Context, root, requestID string) bool {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+root+pathPermit+requestID, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := d.peers.RoundTrip(root, r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}

// serveEvents answers with the events of this process, for any holder of a
// mesh certificate.
func (d *Daemon) serveEvents(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	reply := d.ring.Read(protocol.EventsRequest{
		Request: query.Get("request"),
		Team:    query.Get("team"),
		Target:  query.Get("target"),
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
