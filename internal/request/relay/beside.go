package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/link"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/gate"
	"github.com/teaselrack/teaselrack/internal/process/local"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
)

// leastStated is the level below which answers carry none; nothing is shed for it.
const leastStated = 0.005

// Beside gives requests to the target beside this process.
type Beside struct {
	Names   HeaderNames
	Service string
	Address string
	Target  *local.Target
	// Levels and Calls tell the level of what the target calls.
	Levels *shedding.Levels
	Calls  *shedding.Calls
	Links  *link.Client
	Log    *zap.Logger
	Stats  *Stats
}

// ServeHTTP serves the requests that other daemons hand on.
func (b *Beside) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p, err := DecodePassage(r.Header.Get(headerPassage))
	if err != nil {
		b.writeRefusal(w, &Passage{}, err, 0)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), p.Remaining)
	defer cancel()
	c, err := readContent(r.Body, r.ContentLength)
	if err != nil {
		b.writeRefusal(w, p, fault.Wrap(fault.BadRequest, err, "the body ended before it was whole"), 0)
		return
	}
	a, err := b.Serve(ctx, p, requestOf(r, passedOn(r.Header), c))
	if err != nil {
		var refusal *Refusal
		after := time.Duration(0)
		if errors.As(err, &refusal) {
			after = refusal.After
		}
		b.writeRefusal(w, p, err, after)
		return
	}
	b.writeAnswer(w, p, a)
}

func (b *Beside) writeRefusal(w http.ResponseWriter, p *Passage, err error, after time.Duration) {
	h := w.Header()
	h.Set(headerKind, string(fault.KindOf(err)))
	h.Set(headerWait, strconv.FormatInt(after.Microseconds(), 10))
	b.writeLoad(h, p)
	writeFailure(w, err, after)
}

func (b *Beside) writeLoad(h http.Header, p *Passage) {
	h.Set(headerLoad, strconv.FormatFloat(b.Target.Load(), 'f', 2, 64))
	if level := b.Level(p.Route); level.Level >= leastStated {
		h.Set(headerLevel, level.String())
	}
	h["Date"] = nil
}

// Level returns what answers to requests of a route state: the service with the
// least room of this one and those that its requests call.
func (b *Beside) Level(route string) shedding.Stated {
	now := time.Now()
	level, cost := b.Target.Level()
	below := b.Levels.Below(now, b.Calls.PerRun(now, route))
	if below.Service != "" && below.Level >= level {
		return below
	}
	return shedding.Stated{Service: b.Service, Level: level, Cost: cost}
}

func (b *Beside) writeAnswer(w http.ResponseWriter, p *Passage, a *Answer) {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	if id := h[b.Names.RequestID]; len(id) == 1 && id[0] == p.RequestID {
		delete(h, b.Names.RequestID)
	}
	asTyped(h)
	b.writeLoad(h, p)
	if err := passOn(w, a); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// asTyped keeps the server from guessing a type that the target did not state.
func asTyped(h http.Header) {
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// passOn writes an answer. On failure the connection must break, so that the
// answer does not look complete.
func passOn(w http.ResponseWriter, a *Answer) error {
	if a.length >= 0 && mayHaveBody(a.Status) {
		w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.Status)
	if len(a.body) > 0 {
		if _, err := w.Write(a.body); err != nil {
			a.Close(err)
			return err
		}
	}
	if a.rest == nil {
		return nil
	}
	err := a.stream(w)
	a.Close(err)
	return err
}

func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// Serve admits a request and gives it to the target. An error whose outcome is
// "not run" is returned only where the target was not given the request. The
// headers of r are taken over.
func (b *Beside) Serve(ctx context.Context, p *Passage, r *link.Request) (*Answer, error) {
	if p.Service != b.Service {
		return nil, fault.New(fault.NoTarget, "service %s is not here, the target beside this process serves %s", p.Service, b.Service)
	}
	slot, after, err := b.Target.Admit(ctx, gate.Ask{Rank: p.Rank, Call: p.Call, Returned: p.Returned, Useful: p.Useful})
	if err != nil {
		b.Log.Info("request not given to the target", zap.String("request", p.RequestID), zap.String("service", p.Service),
			zap.Int("rank", p.Rank), zap.Bool("call", p.Call), zap.Duration("useful", p.Useful),
			zap.Float64("load", b.Target.Load()), zap.String("kind", string(fault.KindOf(err))), zap.String("reason", fault.Message(err)))
		return nil, refuse(err, after)
	}
	b.address(ctx, p, r, slot.ID)
	began := time.Now()
	deadline, _ := ctx.Deadline()
	defer b.Calls.Begin(began, p.Route, deadline)()
	resp, err := b.Links.Do(ctx, b.Address, r)
	if err != nil {
		slot.Done(err)
		b.logFailed(p, slot.ID, time.Since(began), err)
		return nil, refuse(err, 0)
	}
	a, err := b.take(resp, slot.ID)
	if err != nil {
		slot.Done(err)
		b.logFailed(p, slot.ID, time.Since(began), err)
		return nil, err
	}
	a.onEnd(slot.Done)
	b.Stats.Target.Observe(time.Since(began))
	return a, nil
}

// address sets the headers that only this system may set.
func (b *Beside) address(ctx context.Context, p *Passage, r *link.Request, target string) {
	r.ID = p.RequestID
	r.Repeatable = p.Repeatable
	h := r.Header
	delete(h, b.Names.Key)
	delete(h, b.Names.Team)
	if p.Team != "" {
		h[b.Names.Team] = []string{p.Team}
	}
	if p.RequestID != "" {
		h[b.Names.RequestID] = []string{p.RequestID}
	}
	h[b.Names.Origin] = []string{p.Origin}
	h[b.Names.Expect] = []string{target}
	left := p.Remaining
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	h[b.Names.Deadline] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
}

// take looks at the answer of the target. One from another target than the
// request was meant for was not run.
func (b *Beside) take(resp *http.Response, target string) (*Answer, error) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		_ = resp.Body.Close()
		b.Target.Replaced(target)
		return nil, refuse(fault.New(fault.NoTarget, "another target answers at the address of %s", target), 0)
	}
	notRun := resp.Header.Get(b.Names.NotRun) != ""
	a, err := newAnswer(resp)
	if err != nil {
		return nil, err
	}
	a.NotRun = notRun
	return a, nil
}

func (b *Beside) logFailed(p *Passage, target string, took time.Duration, err error) {
	b.Log.Info("request failed at the target", zap.String("request", p.RequestID), zap.String("service", p.Service),
		zap.String("target", target), zap.Duration("took", took), zap.String("kind", string(fault.KindOf(err))),
		zap.String("outcome", string(fault.OutcomeOf(err))), zap.String("reason", fault.Message(err)))
}
