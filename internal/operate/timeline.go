package operate

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/events"
)

const (
	// eventsPath is the path of a daemon's events on its peer listener.
	eventsPath = "/v1/events"
	// eventsTimeout bounds the request to one daemon.
	eventsTimeout = 3 * time.Second
	// maxConcurrentReads is the maximum number of daemons that are read concurrently.
	maxConcurrentReads = 16
	// maxEventsBytes bounds the response body of one daemon.
	maxEventsBytes = 64 << 20
)

// Timeline holds the merged events of all processes that responded.
type Timeline struct {
	Events []protocol.Event `json:"events"`
	// Dropped is the number of events that the processes' ring buffers have
	// overwritten.
	Dropped uint64 `json:"dropped"`
	// Missing lists the instances whose events could not be read.
	Missing []string `json:"missing,omitempty"`
}

// EventSource reads the events of one process.
type EventSource interface {
	Read(ctx context.Context, address string, request protocol.EventsRequest) (protocol.EventsReply, error)
}

// ReadTimeline reads the events of the given daemons and merges them.
func ReadTimeline(ctx context.Context, source EventSource, daemons []protocol.DaemonStatus, request protocol.EventsRequest) Timeline {
	replies := make([]protocol.EventsReply, len(daemons))
	errs := make([]error, len(daemons))
	semaphore := make(chan struct{}, maxConcurrentReads)
	var wg sync.WaitGroup
	for i, daemon := range daemons {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			replies[i], errs[i] = source.Read(ctx, daemon.PeerAddress, request)
		})
	}
	wg.Wait()
	var timeline Timeline
	lists := make([][]protocol.Event, 0, len(daemons))
	for i, daemon := range daemons {
		if errs[i] != nil {
			timeline.Missing = append(timeline.Missing, daemon.Instance)
			continue
		}
		lists = append(lists, replies[i].Events)
		timeline.Dropped += replies[i].Dropped
	}
	timeline.Events = events.Merge(lists...)
	return timeline
}

// PeerEvents reads events from the peer listeners of daemons over mutual TLS.
type PeerEvents struct {
	client *http.Client
}

// NewPeerEvents returns an EventSource that presents the operator's identity.
func NewPeerEvents(id *mesh.Identity) *PeerEvents {
	transport := &http.Transport{TLSClientConfig: id.ClientTLS(), ForceAttemptHTTP2: true}
	return &PeerEvents{client: &http.Client{Transport: transport, Timeout: eventsTimeout}}
}

// Read implements EventSource. Errors: ConnectFailed, AnswerBroken where the response
// body cannot be decoded, and Internal.
func (p *PeerEvents) Read(ctx context.Context, address string, request protocol.EventsRequest) (protocol.EventsReply, error) {
	var reply protocol.EventsReply
	query := url.Values{"request": {request.Request}, "team": {request.Team}, "target": {request.Target}}
	target := url.URL{Scheme: "https", Host: address, Path: eventsPath, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return reply, fault.Wrap(fault.Internal, err, "build the request for events")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return reply, fault.Wrap(fault.ConnectFailed, err, "read the events of %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return reply, fault.New(fault.Internal, "read the events of %s: the response has the status %s", address, resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEventsBytes)).Decode(&reply); err != nil {
		return reply, fault.Wrap(fault.AnswerBroken, err, "decode the events of %s", address)
	}
	return reply, nil
}

// Close closes idle connections.
func (p *PeerEvents) Close() { p.client.CloseIdleConnections() }
