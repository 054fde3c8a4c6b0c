package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
	"github.com/teaselrack/teaselrack/internal/connection/http1"
	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/balancing"
	"github.com/teaselrack/teaselrack/internal/process/limiter"
	"github.com/teaselrack/teaselrack/internal/process/local"
	"github.com/teaselrack/teaselrack/internal/process/quarantine"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
)

const (
	// minReportedLevel is the lowest shedding level that responses report. Nothing
	// is shed for a lower one.
	minReportedLevel = 0.005
	// minReportedCalledLoad is the lowest load of called services that responses report.
	minReportedCalledLoad = 0.5
	// minCallsToMove is the number of calls to a service that a request must make for
	// that service's load to count: moving the request then saves messages.
	minCallsToMove = 2
	// rejectionTime is how long before its deadline a request stops waiting for a slot, so
	// that the rejection reaches the entry in time, from another region too. It is at most
	// the remaining time divided by rejectionDivisor.
	rejectionTime    = 40 * time.Millisecond
	rejectionDivisor = 8
)

// PeerHandler admits requests and sends them to the local target.
type PeerHandler struct {
	HeaderNames HeaderNames
	// Service and Address are those of the local target.
	Service string
	Address string
	Target  *local.Target
	// Levels and CallGraph give the shedding level of the services that the
	// target calls.
	Levels    *shedding.Levels
	CallGraph *shedding.CallGraph
	// Balancer tells the load of the services that the target calls.
	Balancer     *balancing.Balancer
	TargetClient *http1.Client
	// Quarantine holds the requests that no target may get.
	Quarantine *quarantine.List
	// Shutdown returns the schedule of the shutdown of this process; nil if it never
	// shuts down.
	Shutdown func() drain.Schedule
	Log      *zap.Logger
	Stats    *Stats
	// CatchUp is that of EntryHandler.
	CatchUp func(ctx context.Context, now time.Time)
}

// ServeHTTP serves the requests that other daemons forward.
func (p *PeerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m, err := DecodeForwardingMetadata(r.Header.Get(headerMetadata))
	if err != nil {
		p.writePeerError(w, &ForwardingMetadata{}, err, 0)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), m.Remaining)
	defer cancel()
	if p.CatchUp != nil {
		p.CatchUp(ctx, time.Now())
	}
	progress := &drain.Progress{ID: m.RequestID, Route: m.Route, Began: time.Now()}
	defer drain.Follow(r.Context(), progress).Stop()
	deadline, _ := ctx.Deadline()
	reservation := listener.ReservationFor(ctx)
	defer reservation.Release()
	body, err := bufferRequestBody(w, r, deadline, reservation)
	if err != nil {
		p.writePeerError(w, m, err, 0)
		return
	}
	if m.Known, err = readPeerStatement(r.Header); err != nil {
		p.Log.Warn("malformed statement of another daemon", zap.String("request", m.RequestID), zap.Error(err))
	}
	request := newClientRequest(r, forwardedHeaders(r.Header), body)
	request.Progress = progress
	m.ObjectiveRemaining = scheduleOf(p.Shutdown).Bound(time.Now(), m.ObjectiveRemaining)
	resp, err := p.Serve(ctx, m, request)
	progress.Reach(drain.BeingAnswered)
	body.arrival.keepConnection(r, w.Header())
	if err != nil {
		var retryErr *RetryAfterError
		retryAfter := time.Duration(0)
		if errors.As(err, &retryErr) {
			retryAfter = retryErr.After
		}
		p.writePeerError(w, m, err, retryAfter)
		return
	}
	p.writePeerResponse(w, m, resp)
}

func (p *PeerHandler) writePeerError(w http.ResponseWriter, m *ForwardingMetadata, err error, retryAfter time.Duration) {
	h := w.Header()
	h.Set(headerErrorKind, string(fault.KindOf(err)))
	h.Set(headerRetryAfter, strconv.FormatInt(retryAfter.Microseconds(), 10))
	p.writeLoadHeaders(h, m)
	writeErrorResponse(w, err, retryAfter)
}

// writeLoadHeaders sets the headers that report the target's load and the
// shedding level. It suppresses the Date header, which the entry adds itself.
func (p *PeerHandler) writeLoadHeaders(h http.Header, m *ForwardingMetadata) {
	h.Set(headerLoad, strconv.FormatFloat(p.Target.Load(), 'f', 2, 64))
	if bottleneck := p.Bottleneck(m.Route); bottleneck.Level >= minReportedLevel {
		h.Set(headerShedLevel, bottleneck.String())
		if bottleneck.EndsIn > 0 {
			h.Set(headerShedLevelEnds, strconv.FormatInt(bottleneck.EndsIn.Milliseconds(), 10))
		}
	}
	if load := p.CalledLoad(m.Route); load >= minReportedCalledLoad {
		h.Set(headerCalledLoad, strconv.FormatFloat(load, 'f', 2, 64))
	}
	h["Date"] = nil
}

// CalledLoad returns the highest load, in this failure domain, of the services to which
// each request of a route makes several calls. It is 0 if there are none.
func (p *PeerHandler) CalledLoad(route string) float64 {
	now := time.Now()
	highest := 0.0
	for called, n := range p.CallGraph.CallsPerRequest(now, route) {
		if n >= minCallsToMove {
			highest = max(highest, p.Balancer.DomainLoad(now, p.CallGraph.Service(called)))
		}
	}
	return highest
}

// Bottleneck returns the bottleneck that responses to requests of a route report:
// the service with the highest shedding level among the local target's and those
// that the route's requests call. The end of a cold target's level is left out while other
// targets of the service are warm.
func (p *PeerHandler) Bottleneck(route string) shedding.Bottleneck {
	now := time.Now()
	own := p.Target.Bottleneck()
	if own.EndsIn > 0 && !p.Balancer.AllCold(p.Service) {
		own.EndsIn = 0
	}
	downstream := p.Levels.Downstream(now, p.CallGraph.CallsPerRequest(now, route))
	if downstream.Service != "" && downstream.Level >= own.Level {
		return downstream
	}
	return own
}

// writePeerResponse writes the response of the target. It omits the request ID
// that the entry sent, because the entry adds it again.
func (p *PeerHandler) writePeerResponse(w http.ResponseWriter, m *ForwardingMetadata, resp *Response) {
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if id := h[p.HeaderNames.RequestID]; len(id) == 1 && id[0] == m.RequestID {
		delete(h, p.HeaderNames.RequestID)
	}
	disableContentSniffing(h)
	p.writeLoadHeaders(h, m)
	if !resp.Statement.Empty() {
		h.Set(headerStatement, resp.Statement.String())
	}
	if err := writeResponse(w, resp); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// disableContentSniffing stops net/http from guessing a Content-Type that the
// target did not send.
func disableContentSniffing(h http.Header) {
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// writeResponse writes a response to w. On error the caller must break the
// connection, so that the response does not look complete.
func writeResponse(w http.ResponseWriter, resp *Response) error {
	if resp.length >= 0 && mayHaveBody(resp.Status) {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.length, 10))
	}
	w.WriteHeader(resp.Status)
	if len(resp.prefix) > 0 {
		if _, err := w.Write(resp.prefix); err != nil {
			resp.Close(err)
			return err
		}
	}
	if resp.rest == nil {
		return resp.finish(w, nil)
	}
	return resp.finish(w, resp.stream(w))
}

func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// Serve admits a request and sends it to the target. It returns an error with
// the outcome "not run" only if the request was not sent to the target. Serve
// modifies r and its headers.
func (p *PeerHandler) Serve(ctx context.Context, m *ForwardingMetadata, r *http1.Request) (*Response, error) {
	if m.Service != p.Service {
		return nil, fault.New(fault.NoTarget, "service %s is not served here, the local target serves %s", m.Service, p.Service)
	}
	p.Target.AdoptStatement(m.Known)
	content := contentOf(r)
	if err := p.Quarantine.Check(content); err != nil && !m.Probe {
		return nil, withRetryAfter(err, quarantine.RetryAfter)
	}
	r.Progress.Reach(drain.WaitingForSlot)
	slot, retryAfter, err := p.admit(ctx, m)
	if err != nil {
		p.Log.Info("request not sent to the target", zap.String("request", m.RequestID), zap.String("service", m.Service),
			zap.Int("rank", m.Rank), zap.Bool("call", m.FromTarget), zap.Duration("useful", m.ObjectiveRemaining),
			zap.Float64("load", p.Target.Load()), zap.String("kind", string(fault.KindOf(err))), zap.String("reason", fault.Message(err)))
		return nil, withRetryAfter(err, retryAfter)
	}
	slot.Content = content
	p.setTargetHeaders(ctx, m, r, slot.ID)
	r.Progress.Reach(drain.ConnectingToTarget)
	began := time.Now()
	deadline, _ := ctx.Deadline()
	defer p.CallGraph.Begin(began, m.Route, deadline, m.Repeat)()
	resp, err := p.TargetClient.Do(ctx, p.Address, r)
	if err != nil {
		slot.Done(err)
		p.logFailure(m, content, slot.ID, time.Since(began), err)
		return nil, withRetryAfter(err, 0)
	}
	response, err := p.readTargetResponse(resp, slot)
	if err != nil {
		slot.Done(err)
		p.logFailure(m, content, slot.ID, time.Since(began), err)
		return nil, err
	}
	if !response.succeeded() {
		p.Log.Info("target failed the request", zap.String("request", m.RequestID), zap.String("service", m.Service), zap.Bool("call", m.FromTarget),
			zap.String("target", slot.ID), zap.Int("status", response.Status), zap.Bool("not_run", response.NotRun), zap.Duration("took", time.Since(began)))
	}
	response.onComplete(func(err error) {
		slot.Ran = response.succeeded()
		slot.Answered = !response.NotRun
		slot.Done(err)
		if err == nil && slot.Ran {
			p.Quarantine.Completed(content)
		}
	})
	p.Stats.Target.Observe(time.Since(began))
	return response, nil
}

// admit waits until the request may be sent to the target. The entry learns only from a
// rejection that reaches it before the deadline that the request has not run.
func (p *PeerHandler) admit(ctx context.Context, m *ForwardingMetadata) (*local.Slot, time.Duration, error) {
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, remaining-min(rejectionTime, remaining/rejectionDivisor))
		defer cancel()
	}
	return p.Target.Admit(ctx, limiter.Request{Rank: m.Rank, Call: m.FromTarget, ClientRetry: m.ClientRetry, ObjectiveRemaining: m.ObjectiveRemaining})
}

// setTargetHeaders sets the headers that only the daemon may set, and removes
// the caller's key.
func (p *PeerHandler) setTargetHeaders(ctx context.Context, m *ForwardingMetadata, r *http1.Request, targetID string) {
	r.ID = m.RequestID
	r.Idempotent = m.Idempotent
	h := r.Header
	delete(h, p.HeaderNames.Key)
	delete(h, p.HeaderNames.Team)
	if m.Team != "" {
		h[p.HeaderNames.Team] = []string{m.Team}
	}
	if m.RequestID != "" {
		h[p.HeaderNames.RequestID] = []string{m.RequestID}
	}
	h[p.HeaderNames.Origin] = []string{m.Origin}
	h[p.HeaderNames.Expect] = []string{targetID}
	remaining := m.Remaining
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	h[p.HeaderNames.Deadline] = []string{strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)}
}

// readTargetResponse reads the response of the target. If the process at the
// address is not the expected target, the request was not run.
func (p *PeerHandler) readTargetResponse(resp *http.Response, slot *local.Slot) (*Response, error) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		_ = resp.Body.Close()
		p.Target.ReportReplaced(slot.ID)
		return nil, withRetryAfter(fault.New(fault.NoTarget, "the address of target %s now belongs to another target", slot.ID), 0)
	}
	statement := p.reportStatement(resp.Header, slot)
	notRun := resp.Header.Get(p.HeaderNames.NotRun) != ""
	response, err := newResponse(resp, notRun)
	if err != nil {
		return nil, err
	}
	response.Statement = statement
	return response, nil
}

// reportStatement records and returns what the target says about itself in the header
// of a response.
func (p *PeerHandler) reportStatement(h http.Header, slot *local.Slot) protocol.Statement {
	statement, err := readStatement(p.HeaderNames, h)
	if err != nil {
		p.Log.Warn("malformed statement of the target", zap.String("target", slot.ID), zap.Error(err))
	}
	slot.ReportStatement(&statement)
	return statement
}

func (p *PeerHandler) logFailure(m *ForwardingMetadata, content quarantine.Fingerprint, targetID string, took time.Duration, err error) {
	p.Log.Info("request failed at the target", zap.String("request", m.RequestID), zap.String("service", m.Service),
		zap.Stringer("content", content), zap.String("target", targetID), zap.Duration("took", took), zap.String("kind", string(fault.KindOf(err))),
		zap.String("outcome", string(fault.OutcomeOf(err))), zap.String("reason", fault.Message(err)))
}
