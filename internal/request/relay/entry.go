package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/link"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/budget"
	"github.com/teaselrack/teaselrack/internal/process/placement"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// startRetry is the advised wait where this process knows no configuration.
	startRetry = 500 * time.Millisecond
	// failedFor is how long a target is passed over that cannot be reached.
	failedFor = 500 * time.Millisecond
)

// Configuration gives the state that this process holds.
type Configuration interface {
	// Current is never nil; its number is 0 before any state is known.
	Current() *version.State
}

// Quota limits teams.
type Quota interface {
	// Take takes one token of the team. Errors: QuotaExceeded, QuotaUnavailable.
	Take(ctx context.Context, team string) error
}

// Entry serves the callers and the target of its own machine.
type Entry struct {
	Names         HeaderNames
	Instance      string
	Service       string
	Configuration Configuration
	Quota         Quota
	Directory     *placement.Directory
	Budget        *budget.Budget
	Beside        *Beside
	Peers         *link.Client
	// Levels holds what answers state; Calls learns what the target of this
	// machine calls.
	Levels *shedding.Levels
	Calls  *shedding.Calls
	// Demand tells which requests a level sheds.
	Demand *shedding.Demand
	// Returns remembers the callers that were turned away.
	Returns *shedding.Returns
	Log     *zap.Logger
	Stats   *Stats
}

// ServeHTTP answers one request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := &arrival{began: time.Now(), id: r.Header.Get(e.Names.RequestID), request: r}
	// The answer is passed on within the same context that it was asked for in.
	answer, err := e.serve(r.Context(), w, a)
	if a.release != nil {
		defer a.release()
	}
	if err != nil {
		e.fail(w, a, err)
		return
	}
	h := w.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	if _, ok := h[e.Names.RequestID]; !ok && a.id != "" {
		h[e.Names.RequestID] = []string{a.id}
	}
	asTyped(h)
	e.Stats.Answered(answer.Status, time.Since(a.began))
	if err := passOn(w, answer); err != nil {
		e.Log.Info("answer broke off", zap.String("request", a.id), zap.String("route", a.route.Name), zap.String("reason", err.Error()))
		panic(http.ErrAbortHandler)
	}
}

// fail gives the final answer to a request that was given up.
func (e *Entry) fail(w http.ResponseWriter, a *arrival, err error) {
	kind := fault.KindOf(err)
	after := fault.AnswerFor(kind).RetryAfter
	var refusal *Refusal
	if errors.As(err, &refusal) && refusal.After > 0 {
		after = refusal.After
	}
	e.Stats.Failed(kind, time.Since(a.began))
	e.Log.Info("request refused", zap.String("request", a.id), zap.String("route", a.route.Name), zap.String("service", a.service),
		zap.String("team", a.team), zap.Int("rank", a.rank), zap.Bool("call", a.call), zap.Duration("age", time.Since(a.began)),
		zap.Uint64("configuration", a.version), zap.String("kind", string(kind)), zap.String("outcome", string(fault.OutcomeOf(err))),
		zap.Duration("retry_after", after), zap.String("reason", fault.Message(err)))
	if !a.call && after > 0 && fault.OutcomeOf(err) == fault.NotRun {
		e.Returns.TurnedAway(time.Now(), a.key(), after)
	}
	if kind == fault.CallerGone {
		panic(http.ErrAbortHandler)
	}
	writeFailure(w, err, after)
}

func (e *Entry) serve(ctx context.Context, w http.ResponseWriter, a *arrival) (*Answer, error) {
	state := e.Configuration.Current()
	if state.Number() == 0 {
		return nil, refuse(fault.New(fault.LeaseExpired, "no configuration is known here yet"), startRetry)
	}
	if err := e.identify(a, state); err != nil {
		return nil, err
	}
	ctx, a.release = context.WithDeadline(ctx, a.deadline)
	if err := e.readBody(ctx, w, a, state.Limits()); err != nil {
		return nil, err
	}
	e.Budget.Request(a.began, a.service)
	if err := e.shed(a); err != nil {
		return nil, err
	}
	if t, ok := state.Team(a.team); ok && t.Rate > 0 {
		if err := e.Quota.Take(ctx, a.team); err != nil {
			return nil, refuse(err, a.comeBack())
		}
	}
	return e.send(ctx, a)
}

// shed turns a request away that would load a service without room.
func (e *Entry) shed(a *arrival) error {
	if a.call {
		e.Calls.Called(a.began, a.route.Name, a.expires)
		return nil
	}
	a.returned = e.Returns.Returned(a.began, a.key())
	bound := e.Levels.Route(a.began, a.route.Name)
	share := e.Demand.Share(a.began, a.rank, a.route.Name, bound)
	if share <= 0 || rand.Float64() >= share {
		return nil
	}
	err := fault.New(fault.Overloaded, "service %s sheds %.2f of its work, %.2f of the requests of rank %d on route %s", bound.Service, bound.Level, share, a.rank, a.route.Name)
	return refuse(err, a.comeBack())
}

// identify finds the route and the team of a request.
func (e *Entry) identify(a *arrival, state *version.State) error {
	r := a.request
	a.version = state.Revision()
	route, ok := state.HostedRoute(r.Host, r.URL.EscapedPath())
	if !ok {
		return fault.New(fault.UnknownRoute, "no route serves %s%s", r.Host, r.URL.Path)
	}
	a.route = route
	a.call = route.Access != version.Keyed
	if state.HasTeams() && route.Access == version.Keyed {
		key, known := state.Key(r.Header.Get(e.Names.Key))
		if !known {
			return fault.New(fault.Unauthenticated, "the key is not in force")
		}
		a.team = key.Team
	}
	a.rank = state.Rank(a.team, &route)
	a.service = route.ServiceFor(rand.Float64())
	a.header = passedOn(r.Header)
	// The daemon beside the target sets these anew.
	for _, name := range []string{e.Names.Key, e.Names.Team, e.Names.RequestID, e.Names.Deadline} {
		delete(a.header, name)
	}
	e.setTimes(a)
	return nil
}

func (e *Entry) readBody(ctx context.Context, w http.ResponseWriter, a *arrival, limits version.Limits) error {
	r := a.request
	if limits.BodyBytes > 0 {
		if r.ContentLength > limits.BodyBytes {
			return fault.New(fault.TooLarge, "the body has %d bytes, the limit is %d", r.ContentLength, limits.BodyBytes)
		}
		r.Body = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
	}
	c, err := readContent(r.Body, r.ContentLength)
	if err != nil {
		if ctx.Err() != nil {
			return fault.Wrap(fault.CallerGone, err, "the caller left before the body had come")
		}
		return fault.Wrap(fault.BadRequest, err, "the body ended before it was whole")
	}
	a.content = c
	return nil
}

// send offers the request to targets until one answers, or it must be given up.
func (e *Entry) send(ctx context.Context, a *arrival) (*Answer, error) {
	var t tries
	for {
		choice, ok := e.Directory.Choose(time.Now(), a.service, t.excluded)
		if !ok {
			return nil, t.result(fault.New(fault.NoTarget, "no target of service %s is left", a.service))
		}
		answer, err := e.attempt(ctx, a, choice)
		if err == nil && !answer.NotRun {
			return answer, nil
		}
		t.add(choice.Record.Instance, answer, err)
		if !e.again(ctx, a, &t, answer, err) {
			return conclude(&t, answer)
		}
		if answer != nil {
			answer.Close(nil)
		}
		e.Log.Debug("request sent again", zap.String("request", a.id), zap.String("after", choice.Record.Instance), zap.Int("offers", t.offers))
	}
}

// again reports whether the request may be offered to another target.
func (e *Entry) again(ctx context.Context, a *arrival, t *tries, answer *Answer, err error) bool {
	if ctx.Err() != nil || t.offers >= maxOffers || a.content.rest != nil {
		return false
	}
	if err != nil && fault.OutcomeOf(err) == fault.NotRun {
		return fault.AnswerFor(fault.KindOf(err)).Retry
	}
	if fault.Is(err, fault.DeadlineUnknown) {
		// The daemon beside the target saw the end of the time first.
		return false
	}
	repeatable := a.route.Mode == version.Idempotent
	if answer == nil && !repeatable {
		return false
	}
	attempts := max(a.route.Retries+1, 1)
	return t.given < attempts && e.Budget.Take(time.Now(), a.service)
}

// attempt sends the request to one target.
func (e *Entry) attempt(ctx context.Context, a *arrival, choice placement.Choice) (*Answer, error) {
	answer, err := e.pass(ctx, a, choice)
	now := time.Now()
	choice.Update(func(t *placement.Target) {
		if answer != nil && answer.Load >= 0 {
			t.Report(now, answer.Load, answer.Shed)
		}
		judge(now, t, answer, err)
	})
	if err != nil {
		choice.Ended()
		return nil, err
	}
	answer.onEnd(func(error) { choice.Ended() })
	return answer, nil
}

// judge takes the result of one request into the view of its target.
func judge(now time.Time, t *placement.Target, answer *Answer, err error) {
	switch fault.KindOf(err) {
	case "":
		t.Result(now, answer.NotRun || answer.Status == http.StatusInternalServerError || answer.Status == http.StatusBadGateway)
	case fault.ConnectFailed, fault.NoTarget:
		t.Down(now, failedFor)
	case fault.Overloaded, fault.TargetCold, fault.TargetLeaving, fault.OutOfService:
		t.Refused(now)
	case fault.ConnectionLost, fault.AnswerBroken:
		t.Result(now, true)
	}
}

func (e *Entry) pass(ctx context.Context, a *arrival, choice placement.Choice) (*Answer, error) {
	now := time.Now()
	p := &Passage{
		RequestID: a.id, Service: a.service, Route: a.route.Name, Team: a.team, Origin: e.Service, Rank: a.rank, Call: a.call, Returned: a.returned,
		Repeatable: a.route.Mode == version.Idempotent, Remaining: a.deadline.Sub(now), Useful: a.useful.Sub(now),
	}
	if p.Remaining <= 0 {
		return nil, fault.New(fault.DeadlineNotRun, "the deadline passed before the request was sent")
	}
	if p.Useful <= 0 {
		p.Useful = p.Remaining
	}
	header := make(http.Header, len(a.header)+6)
	for name, values := range a.header {
		header[name] = values
	}
	request := requestOf(a.request, header, a.content)
	if choice.Record.Instance == e.Instance && e.Beside != nil {
		answer, err := e.Beside.Serve(ctx, p, request)
		e.Levels.Observe(time.Now(), p.Route, e.Beside.Level(p.Route))
		if answer != nil {
			answer.Load = e.Beside.Target.Load()
			answer.Shed, _ = e.Beside.Target.Level()
		}
		return answer, err
	}
	return e.remote(ctx, p, request, choice.Record.PeerAddress)
}

// remote hands the request to the daemon at an address.
func (e *Entry) remote(ctx context.Context, p *Passage, r *link.Request, address string) (*Answer, error) {
	r.Header[headerPassage] = []string{p.Encode()}
	r.Repeatable = p.Repeatable
	resp, err := e.Peers.Do(ctx, address, r)
	if err != nil {
		return nil, err
	}
	load, stated, after := e.reported(p.Route, resp.Header)
	if kind := fault.Kind(resp.Header.Get(headerKind)); kind != "" {
		return nil, readRefusal(resp, kind, after)
	}
	notRun := resp.Header.Get(e.Names.NotRun) != ""
	a, err := newAnswer(resp)
	if err != nil {
		return nil, err
	}
	a.Load = load
	if stated.Service == p.Service {
		a.Shed = stated.Level
	}
	a.NotRun = notRun
	return a, nil
}

// reported takes in the level that a daemon states; where it states none,
// nothing is to be shed. It returns the daemon's load, -1 where it states none,
// the level, and the advised wait.
func (e *Entry) reported(route string, h http.Header) (load float64, stated shedding.Stated, after time.Duration) {
	if text := h.Get(headerLevel); text != "" {
		parsed, err := shedding.ParseStated(text)
		if err != nil {
			e.Log.Warn("level not understood", zap.String("route", route), zap.Error(err))
		}
		stated = parsed
	}
	e.Levels.Observe(time.Now(), route, stated)
	load, err := strconv.ParseFloat(h.Get(headerLoad), 64)
	if err != nil {
		load = -1
	}
	us, err := strconv.ParseInt(h.Get(headerWait), 10, 64)
	if err != nil {
		us = 0
	}
	return load, stated, time.Duration(us) * time.Microsecond
}

// readRefusal turns the refusal of a daemon back into its error.
func readRefusal(resp *http.Response, kind fault.Kind, after time.Duration) error {
	c, err := readContent(resp.Body, resp.ContentLength)
	_ = resp.Body.Close()
	text := string(c.body)
	if err != nil {
		text = "refused by the daemon beside the target"
	}
	return refuse(fault.New(kind, "%s", trimLine(text)), after)
}

func trimLine(s string) string {
	for len(s) > 0 && s[len(s)-1] == '\n' {
		s = s[:len(s)-1]
	}
	return s
}
