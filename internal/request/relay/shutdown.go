package relay

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// scheduleOf returns the schedule of a shutdown. shutdown may be nil.
func scheduleOf(shutdown func() drain.Schedule) drain.Schedule {
	if shutdown == nil {
		return drain.Schedule{}
	}
	return shutdown()
}

// TimeLimit returns the time within which the entry responds to r: what the caller and
// the route allow. It is 0 for a request that is rejected without being forwarded. Callers
// know no other process.
func (e *EntryHandler) TimeLimit(r *http.Request) (limit time.Duration, movable bool) {
	req := e.lateRequest(r)
	return req.deadline.Sub(req.receivedAt), false
}

// Refuse rejects a request because it may not end before this process does.
func (e *EntryHandler) Refuse(w http.ResponseWriter, r *http.Request) {
	req := e.lateRequest(r)
	err := fault.New(fault.ShuttingDown, "this process stops before the request's time limit of %s", req.deadline.Sub(req.receivedAt).Round(time.Millisecond))
	e.respondWithError(w, req, withRetryAfter(err, req.retryAfter()))
}

// lateRequest determines the route and the deadlines of a request that arrives while
// this process shuts down.
func (e *EntryHandler) lateRequest(r *http.Request) *inboundRequest {
	req := &inboundRequest{receivedAt: time.Now(), id: r.Header.Get(e.HeaderNames.RequestID), request: r}
	route, ok := e.Configuration.Current().RouteForHost(r.Host, r.URL.EscapedPath())
	if !ok {
		req.deadline, req.objectiveDeadline = req.receivedAt, req.receivedAt
		return req
	}
	req.route, req.service = route, route.Service
	req.fromTarget = route.Access != version.Keyed
	e.setDeadlines(req)
	return req
}

// TimeLimit returns the time that the sender of r allows, or 0 if that is malformed. The
// sender can turn to another target unless it says that there is none.
func (p *PeerHandler) TimeLimit(r *http.Request) (limit time.Duration, movable bool) {
	m, err := DecodeForwardingMetadata(r.Header.Get(headerMetadata))
	if err != nil {
		return 0, false
	}
	return m.Remaining, !m.LastResort
}

// Refuse rejects a request because it may not end before this process does. Its sender
// may try another target.
func (p *PeerHandler) Refuse(w http.ResponseWriter, r *http.Request) {
	m, err := DecodeForwardingMetadata(r.Header.Get(headerMetadata))
	if err != nil {
		m = &ForwardingMetadata{}
	} else {
		err = fault.New(fault.ShuttingDown, "the daemon of the target stops before the request's time limit of %s", m.Remaining.Round(time.Millisecond))
	}
	p.Log.Info("request not sent to the target", zap.String("request", m.RequestID), zap.String("service", m.Service),
		zap.String("kind", string(fault.KindOf(err))), zap.String("reason", fault.Message(err)))
	p.writePeerError(w, m, err, 0)
}
