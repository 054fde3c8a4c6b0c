package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/http/httpguts"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
	"github.com/teaselrack/teaselrack/internal/connection/http1"
	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/connection/traffic"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/balancing"
	"github.com/teaselrack/teaselrack/internal/process/quarantine"
	"github.com/teaselrack/teaselrack/internal/process/retrybudget"
	"github.com/teaselrack/teaselrack/internal/process/routing"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// noConfigurationRetryAfter is the retry-after time while this daemon has
	// no configuration.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// unreachableBackoff is how long a target that cannot be reached gets no
	// requests.
	unreachableBackoff = 500 * time.Millisecond
)

// Configuration provides the configuration state that this daemon holds.
type Configuration interface {
	// Current returns the state. It is never nil. Its number is 0 until the
	// first state is received.
	Current() *version.State
}

// Quota enforces the rate limits of teams.
type Quota interface {
	// Take consumes one token of the team. Errors: QuotaExceeded,
	// QuotaUnavailable.
	Take(ctx context.Context, team string) error
}

// EntryHandler serves the callers and the target of its own instance.
type EntryHandler struct {
	HeaderNames   HeaderNames
	Instance      string
	Service       string
	Configuration Configuration
	Quota         Quota
	Balancer      *balancing.Balancer
	RetryBudget   *retrybudget.Budget
	// Local serves the requests for which the local target is chosen. PeerClient
	// forwards all others.
	Local      *PeerHandler
	PeerClient *http1.Client
	// Levels holds the shedding levels that responses report. CallGraph
	// learns which routes the local target calls.
	Levels    *shedding.Levels
	CallGraph *shedding.CallGraph
	// Demand determines which requests are shed at a given level.
	Demand *shedding.Demand
	// Quarantine holds the requests that no target may get.
	Quarantine *quarantine.List
	// Rejections remembers the requests that were rejected with a retry-after
	// time.
	Rejections *shedding.Rejections
	// Shutdown returns the schedule of the shutdown of this process; nil if it never
	// shuts down.
	Shutdown func() drain.Schedule
	Log      *zap.Logger
	Stats    *Stats
	// Traffic counts the bytes exchanged with other daemons.
	Traffic *traffic.Counter
	// CatchUp, if set, waits until the configuration is known to be current again, where
	// this process was paused.
	CatchUp func(ctx context.Context, now time.Time)
}

func (e *EntryHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := &inboundRequest{receivedAt: time.Now(), id: r.Header.Get(e.HeaderNames.RequestID), request: r, reservation: listener.ReservationFor(r.Context())}
	defer req.reservation.Release()
	// The context of the attempt must stay alive until the response has been
	// forwarded.
	response, err := e.serve(r.Context(), w, req)
	req.progress.Reach(drain.BeingAnswered)
	if req.cancel != nil {
		defer req.cancel()
		defer req.following.Stop()
	}
	if err != nil {
		e.returnProbe(req, err)
		e.respondWithError(w, req, err)
		return
	}
	h := w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	if _, ok := h[e.HeaderNames.RequestID]; !ok && req.id != "" {
		h[e.HeaderNames.RequestID] = []string{req.id}
	}
	disableContentSniffing(h)
	req.body.arrival.keepConnection(r, h)
	e.Stats.CountResponse(response.Status, time.Since(req.receivedAt))
	if err := writeResponse(w, response); err != nil {
		e.Log.Info("response interrupted", zap.String("request", req.id), zap.String("route", req.route.Name), zap.String("reason", err.Error()))
		listener.Abort(w, r)
	}
}

// respondWithError writes the final response to a request that failed. If the
// caller canceled the request, it aborts the connection instead. That another process
// reports a canceled request says nothing about this caller.
func (e *EntryHandler) respondWithError(w http.ResponseWriter, req *inboundRequest, err error) {
	kind := fault.KindOf(err)
	retryAfter := fault.ResponseFor(kind).RetryAfter
	var retryErr *RetryAfterError
	if errors.As(err, &retryErr) && retryErr.After > 0 {
		retryAfter = retryErr.After
	}
	retryAfter = req.followed(time.Now(), retryAfter)
	e.Stats.CountFailure(kind, time.Since(req.receivedAt))
	e.Log.Info("request failed", zap.String("request", req.id), zap.String("route", req.route.Name), zap.String("service", req.service),
		zap.String("team", req.team), zap.Int("rank", req.rank), zap.Bool("call", req.fromTarget), zap.Duration("age", time.Since(req.receivedAt)),
		zap.Uint64("configuration", req.revision), zap.String("kind", string(kind)), zap.String("outcome", string(fault.OutcomeOf(err))),
		zap.Duration("retry_after", retryAfter), zap.String("reason", fault.Message(err)))
	if !req.fromTarget && retryAfter > 0 && fault.OutcomeOf(err) == fault.NotRun {
		e.Rejections.Add(time.Now(), req.fingerprint(), retryAfter)
	}
	if kind == fault.CallerGone && req.request.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	req.body.arrival.keepConnection(req.request, w.Header())
	writeErrorResponse(w, err, retryAfter)
}

func (e *EntryHandler) serve(ctx context.Context, w http.ResponseWriter, req *inboundRequest) (*Response, error) {
	if e.CatchUp != nil {
		e.CatchUp(ctx, req.receivedAt)
	}
	state := e.Configuration.Current()
	if state.Number() == 0 {
		return nil, withRetryAfter(fault.New(fault.LeaseExpired, "no configuration received yet"), noConfigurationRetryAfter)
	}
	if err := e.identify(req, state); err != nil {
		return nil, err
	}
	ctx, req.cancel = context.WithDeadline(ctx, req.deadline)
	req.progress.ID, req.progress.Route, req.progress.Began = req.id, req.route.Name, req.receivedAt
	req.following = drain.Follow(ctx, &req.progress)
	if err := e.readBody(ctx, w, req, state.Limits()); err != nil {
		return nil, err
	}
	req.content = quarantine.NewFingerprint(req.request.Method, req.request.Host, req.request.RequestURI, req.body.prefix, req.body.length)
	if err := e.checkQuarantine(req); err != nil {
		return nil, err
	}
	e.count(req)
	if err := e.shed(ctx, req); err != nil {
		return nil, err
	}
	if t, ok := state.Team(req.team); ok && req.team != "" && t.Rate > 0 {
		req.progress.Reach(drain.WaitingForToken)
		if err := e.Quota.Take(ctx, req.team); err != nil {
			return nil, withRetryAfter(err, req.retryAfter())
		}
	}
	return e.send(ctx, req)
}

// checkQuarantine returns an error if no target may get the request, and this daemon has no
// probe for it. Errors: Quarantined.
func (e *EntryHandler) checkQuarantine(req *inboundRequest) error {
	err := e.Quarantine.Check(req.content)
	if err == nil {
		return nil
	}
	if req.probe = e.Quarantine.TakeProbe(req.content); !req.probe {
		return withRetryAfter(err, quarantine.RetryAfter)
	}
	e.Log.Info("quarantined request is sent to one target", zap.String("request", req.id), zap.Stringer("content", req.content))
	return nil
}

// returnProbe gives the probe back if no target may have received the request.
func (e *EntryHandler) returnProbe(req *inboundRequest, err error) {
	if req.probe && err != nil && fault.OutcomeOf(err) == fault.NotRun {
		e.Quarantine.ReturnProbe(req.content)
	}
}

// count counts the request in the call graph and the retry budget.
func (e *EntryHandler) count(req *inboundRequest) {
	if req.fromTarget {
		req.call = e.CallGraph.ObserveCall(req.receivedAt, req.route.ID, req.service, req.callerDeadline)
	}
	if req.call.Repeat {
		e.RetryBudget.CountRepeat(req.receivedAt, req.service)
		return
	}
	e.RetryBudget.CountRequest(req.receivedAt, req.service)
}

// identify determines the route, the team, the rank and the deadlines of a
// request. Errors: UnknownRoute, Unauthenticated, Forbidden.
func (e *EntryHandler) identify(req *inboundRequest, state *version.State) error {
	r := req.request
	req.revision = state.Revision()
	route, ok := state.RouteForHost(r.Host, r.URL.EscapedPath())
	if !ok {
		return fault.New(fault.UnknownRoute, "no route matches %s%s", r.Host, r.URL.Path)
	}
	req.route = route
	req.fromTarget = route.Access != version.Keyed
	if state.KeysRequired() && route.Access == version.Keyed {
		key, known := state.Key(r.Header.Get(e.HeaderNames.Key))
		if !known {
			return fault.New(fault.Unauthenticated, "unknown API key")
		}
		team, _ := state.Team(key.Team)
		req.team, req.teamLabel = key.Team, team.DisplayName()
		if !httpguts.ValidHeaderFieldValue(req.teamLabel) {
			return fault.New(fault.Forbidden, "the name %.100q of the team cannot stand in a header", req.teamLabel)
		}
	}
	req.rank = state.Rank(req.team, &route)
	req.service = route.ServiceFor(rand.Float64())
	req.header = forwardedHeaders(r.Header)
	// The target's daemon sets these.
	for _, name := range []string{e.HeaderNames.Key, e.HeaderNames.Team, e.HeaderNames.RequestID, e.HeaderNames.Deadline} {
		delete(req.header, name)
	}
	e.setDeadlines(req)
	return nil
}

// readBody reads the beginning of the request body. Errors: TooLarge, Overloaded,
// DeadlineNotRun, CallerGone, BadRequest.
func (e *EntryHandler) readBody(ctx context.Context, w http.ResponseWriter, req *inboundRequest, limits version.Limits) error {
	r := req.request
	if limits.BodyBytes > 0 {
		if r.ContentLength > limits.BodyBytes {
			return fault.New(fault.TooLarge, "request body of %d bytes exceeds the limit of %d bytes", r.ContentLength, limits.BodyBytes)
		}
		r.Body = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
	}
	body, err := bufferRequestBody(w, r, req.deadline, req.reservation)
	switch {
	case fault.Is(err, fault.Overloaded):
		return withRetryAfter(err, req.retryAfter())
	case fault.Is(err, fault.DeadlineNotRun):
		// The server cancels the context of a request whose connection it cannot read.
		return err
	case err != nil && ctx.Err() != nil:
		return fault.OfContext(ctx, err, false)
	case err != nil:
		return err
	}
	req.body = body
	return nil
}

// send forwards the request to one target after the other, until one responds
// or no further attempt is allowed. If a target fails the request and the repeat brings no
// response, that of the first one is returned.
func (e *EntryHandler) send(ctx context.Context, req *inboundRequest) (*Response, error) {
	var history attempts
	for {
		choice, ok := e.choose(req, &history)
		if !ok {
			return history.result(fault.New(fault.NoTarget, "no target of service %s is available", req.service))
		}
		began := time.Now()
		response, err := e.attempt(ctx, req, choice, &history)
		ran := err == nil && !response.NotRun
		if history.mayHaveRun && (ran || fault.OutcomeOf(err) != fault.NotRun) {
			e.RetryBudget.RecordRerun(time.Now(), req.service, ran && response.succeeded())
		}
		if ran && (response.succeeded() || response.rest != nil) {
			return response, nil
		}
		history.add(choice.Record.Instance, response, err)
		if ran && !e.mayRepeatFailed(ctx, req, &history, time.Since(began)) {
			return history.result(nil)
		}
		if !ran && !e.mayRetry(ctx, req, &history, response, err) {
			return history.result(nil)
		}
		e.Log.Debug("request retried on another target", zap.String("request", req.id), zap.String("after", choice.Record.Instance), zap.Int("offers", history.forwards))
	}
}

// choose returns the target of the next attempt.
func (e *EntryHandler) choose(req *inboundRequest, history *attempts) (balancing.Choice, bool) {
	for {
		choice, ok := e.Balancer.Choose(time.Now(), req.service, req.route.ID, req.objectiveDeadline.Sub(req.receivedAt), history.excluded)
		if ok || !history.reconsider() {
			return choice, ok
		}
	}
}

// mayRepeatFailed reports whether a request that a target ran and failed may be sent to
// another one, and takes a token from the retry budget for that. took is the time that the
// target took; a repeat needs as much again.
func (e *EntryHandler) mayRepeatFailed(ctx context.Context, req *inboundRequest, history *attempts, took time.Duration) bool {
	if req.probe || req.route.Mode != version.Idempotent || req.body.rest != nil || ctx.Err() != nil || history.forwards >= maxForwards {
		return false
	}
	now := time.Now()
	if history.delivered > req.route.Retries || now.Add(took).After(req.deadline) || !scheduleOf(e.Shutdown).Allows(now, now.Add(took)) {
		return false
	}
	return e.RetryBudget.TakeRerun(now, req.service, req.call.Remaining)
}

// mayRetry reports whether the request may be sent to another target. If a
// target may have received the request, the retry takes a token from the retry
// budget.
func (e *EntryHandler) mayRetry(ctx context.Context, req *inboundRequest, history *attempts, response *Response, err error) bool {
	if ctx.Err() != nil || history.forwards >= maxForwards || req.body.rest != nil {
		return false
	}
	if now := time.Now(); !req.mayBegin(now, scheduleOf(e.Shutdown)) {
		return false
	}
	if fault.Is(err, fault.DeadlineUnknown) || fault.Is(err, fault.DeadlineNotRun) {
		// The target's daemon reached the deadline before this daemon did.
		return false
	}
	if err != nil && fault.OutcomeOf(err) == fault.NotRun {
		return fault.ResponseFor(fault.KindOf(err)).Retry
	}
	if req.probe {
		return false
	}
	idempotent := req.route.Mode == version.Idempotent
	if response == nil && !idempotent {
		return false
	}
	if history.delivered >= max(req.route.Retries+1, 1) {
		return false
	}
	if history.mayHaveRun {
		return e.RetryBudget.TakeRerun(time.Now(), req.service, req.call.Remaining)
	}
	return e.RetryBudget.Take(time.Now(), req.service, req.call.Remaining)
}

// attempt forwards the request to one target and records the outcome. history holds the
// attempts before.
func (e *EntryHandler) attempt(ctx context.Context, req *inboundRequest, choice balancing.Choice, history *attempts) (*Response, error) {
	response, err := e.forward(ctx, req, choice, history)
	now := time.Now()
	choice.Update(func(t *balancing.Target) {
		if response != nil && response.Load >= 0 {
			t.RecordLoad(now, response.Load, response.ShedLevel)
			t.RecordCalledLoad(now, req.route.ID, response.CalledLoad)
		}
		if response != nil {
			t.RecordStatement(now, response.Statement)
		}
		recordOutcome(now, t, response, err)
	})
	choice.RecordTime(now, timeTaken(response, err))
	if fault.Is(err, fault.ConnectionLost) || fault.Is(err, fault.AnswerBroken) {
		e.Quarantine.Lost(req.content)
	}
	if err != nil {
		choice.Ended()
		return nil, err
	}
	response.onComplete(func(err error) {
		choice.Ended()
		if err == nil && response.succeeded() {
			e.Quarantine.Completed(req.content)
		}
	})
	return response, nil
}

// recordOutcome updates the statistics of a target with the outcome of one
// request.
func recordOutcome(now time.Time, t *balancing.Target, response *Response, err error) {
	switch routing.EffectOf(err) {
	case routing.Succeeded:
		t.RecordResult(now, response.NotRun || response.Status >= http.StatusInternalServerError)
	case routing.Failed:
		t.RecordResult(now, true)
		if fault.Is(err, fault.ConnectFailed) {
			t.Penalize(now, unreachableBackoff)
		}
	case routing.Leaving:
		t.Penalize(now, unreachableBackoff)
	case routing.Cold:
		t.RecordRejection(now)
	case routing.Neutral:
		if fault.Is(err, fault.Overloaded) || fault.Is(err, fault.LeaseExpired) || fault.Is(err, fault.DeadlineNotRun) {
			t.RecordRejection(now)
		}
	}
}

// timeTaken returns what the end of an attempt shows about the time that its target takes.
func timeTaken(response *Response, err error) balancing.TimeTaken {
	switch {
	case err == nil && response.succeeded():
		return balancing.WholeTimeTaken
	case fault.Is(err, fault.DeadlineUnknown) || fault.Is(err, fault.DeadlineNotRun) || fault.Is(err, fault.CallerGone) || fault.Is(err, fault.Interrupted):
		return balancing.LeastTimeTaken
	}
	return balancing.NoTimeTaken
}

func (e *EntryHandler) forward(ctx context.Context, req *inboundRequest, choice balancing.Choice, history *attempts) (*Response, error) {
	now := time.Now()
	m := &ForwardingMetadata{
		RequestID: req.id, Service: req.service, Route: req.route.ID, Team: req.teamLabel, Origin: e.Service, Rank: req.rank, FromTarget: req.fromTarget, ClientRetry: req.clientRetry,
		Idempotent: req.route.Mode == version.Idempotent, Remaining: req.deadline.Sub(now), ObjectiveRemaining: req.objectiveDeadline.Sub(now),
		Known: choice.Stated(), Repeat: history.delivered > 0 || req.call.Repeat, Probe: req.probe, LastResort: history.lastResort || history.forwards == maxForwards-1 || req.body.rest != nil,
	}
	if m.Remaining <= 0 {
		return nil, fault.New(fault.DeadlineNotRun, "deadline exceeded before the request was sent")
	}
	if m.ObjectiveRemaining <= 0 {
		m.ObjectiveRemaining = m.Remaining
	}
	m.ObjectiveRemaining = scheduleOf(e.Shutdown).Bound(now, m.ObjectiveRemaining)
	header := make(http.Header, len(req.header)+6)
	for name, values := range req.header {
		header[name] = values
	}
	request := newClientRequest(req.request, header, req.body)
	request.Progress = &req.progress
	if choice.Record.Instance == e.Instance && e.Local != nil {
		response, err := e.Local.Serve(ctx, m, request)
		e.Levels.Observe(time.Now(), m.Route, e.Local.Bottleneck(m.Route))
		if response != nil {
			response.Load = e.Local.Target.Load()
			response.ShedLevel = e.Local.Target.Bottleneck().Level
			response.CalledLoad = e.Local.CalledLoad(m.Route)
		}
		return response, err
	}
	e.Traffic.Learn(choice.Record.PeerAddress, choice.Record.FailureDomain)
	return e.forwardToPeer(ctx, m, request, choice.Record.PeerAddress)
}

// forwardToPeer sends the request to the daemon at an address. The error is that
// of the connection, or the one that the daemon responded with.
func (e *EntryHandler) forwardToPeer(ctx context.Context, m *ForwardingMetadata, r *http1.Request, address string) (*Response, error) {
	r.Header[headerMetadata] = []string{m.Encode()}
	if !m.Known.Empty() {
		r.Header[headerStatement] = []string{m.Known.String()}
	}
	r.Idempotent = m.Idempotent
	r.Progress.Reach(drain.ConnectingToPeer)
	resp, err := e.PeerClient.Do(ctx, address, r)
	if err != nil {
		return nil, err
	}
	e.Traffic.Move(address, traffic.Response, traffic.LoadReport, loadReportBytes(resp.Header))
	load, bottleneck, retryAfter := e.readLoadHeaders(m.Route, resp.Header)
	if kind := fault.Kind(resp.Header.Get(headerErrorKind)); kind != "" {
		return nil, readPeerError(resp, kind, retryAfter)
	}
	notRun := resp.Header.Get(e.HeaderNames.NotRun) != ""
	calledLoad, err := readCalledLoad(resp.Header)
	if err != nil {
		e.Log.Warn("malformed load in a response", zap.String("request", m.RequestID), zap.Error(err))
	}
	response, err := newResponse(resp, notRun)
	if err != nil {
		return nil, err
	}
	response.Load = load
	if bottleneck.Service == m.Service {
		response.ShedLevel = bottleneck.Level
	}
	response.CalledLoad = calledLoad
	if response.Statement, err = readPeerStatement(resp.Header); err != nil {
		e.Log.Warn("malformed statement in a response", zap.String("request", m.RequestID), zap.Error(err))
	}
	return response, nil
}
