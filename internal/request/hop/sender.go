package hop

import (
	"context"
	"net/http"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/version"
)

// sender sends calls to the daemons beside targets. It makes one attempt, and
// further ones only with a permit of the root each.
type sender struct {
	Deps
}

func newSender(d Deps) *sender { return &sender{Deps: d} }

// send returns an answer to pass on, or the error to refuse the request with.
func (s *sender) send(ctx context.Context, c *call) (*answer, error) {
	if c.route.Mode == version.Once {
		c.digest = digestOf(c.method, &c.url, c.body)
	}
	t := &tries{}
	for {
		e, choice, err := s.pick(ctx, c, t.exclude)
		if err != nil {
			return t.result(err)
		}
		a, err := s.attempt(ctx, c, e, choice)
		if err == nil {
			return a, nil
		}
		t.add(choice.Target.Instance, a, err)
		if !mayRepeat(ctx, c.route.Mode, err) || !s.Permits.Take(ctx, e) {
			return t.result(err)
		}
		record(s.Deps, "request.retry", e, choice.Target.Instance, string(fault.KindOf(err)))
	}
}

// tries are the failed attempts of one call.
type tries struct {
	exclude []string // instances
	last    error
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
	// shed is the last answer of a target that sheds load by itself.
	shed *answer
}

func (t *tries) add(instance string, a *answer, err error) {
	t.exclude = append(t.exclude, instance)
	t.last = err
	if a != nil {
		t.shed = a
	}
	t.mayHaveRun = t.mayHaveRun || fault.OutcomeOf(err) != fault.NotRun
}

// result is what the call ends with where no further attempt is made: the
// answer of a target, else the error of the last attempt, else err. A request
// that a target may have run is never said to be not run.
func (t *tries) result(err error) (*answer, error) {
	if t.shed != nil {
		return t.shed, nil
	}
	if t.last != nil {
		err = t.last
	}
	if t.mayHaveRun {
		err = fault.MayHaveRun(err)
	}
	return nil, err
}

// pick chooses a target that was not tried yet, or one that was where there is
// no other.
func (s *sender) pick(ctx context.Context, c *call, exclude []string) (*envelope.Envelope, Choice, error) {
	e, err := c.next(ctx)
	if err != nil {
		return nil, Choice{}, err
	}
	choice, err := s.Router.Pick(e, exclude)
	if fault.Is(err, fault.NoTarget) && len(exclude) > 0 {
		choice, err = s.Router.Pick(e, nil)
	}
	return e, choice, err
}

// attempt sends one attempt and calls choice.Done when it has ended. It returns
// an answer together with an error where the target sheds load by itself and
// the request may be repeated.
func (s *sender) attempt(ctx context.Context, c *call, e *envelope.Envelope, choice Choice) (*answer, error) {
	start := time.Now()
	resp, err := s.roundTrip(ctx, c, e, choice)
	latency := time.Since(start)
	if err != nil {
		choice.Done(latency, err, nil)
		return s.settle(ctx, c, e, err, false)
	}
	level := envelope.ParseLevel(resp.Header.Get(HeaderLevel))
	c.levels.Observe(level)
	if resp.Header.Get(HeaderKind) != "" {
		err = readRefusal(resp)
		choice.Done(latency, err, level)
		return s.settle(ctx, c, e, err, true)
	}
	a, err := receive(resp, c.method)
	if err != nil {
		choice.Done(latency, err, level)
		return s.settle(ctx, c, e, err, false)
	}
	if replayed := resp.Header.Get(HeaderReplayed); replayed != "" {
		a.header.Set(HeaderReplayed, replayed)
	}
	if a.rest == nil {
		err = shedError(a, c.route.Mode)
		choice.Done(latency, err, level)
		return a, err
	}
	a.finish = func(err error) { choice.Done(latency, err, level) }
	return a, nil
}

// shedError is the error of a whole answer that says that the target sheds load.
func shedError(a *answer, mode version.Mode) error {
	if a.status != http.StatusServiceUnavailable || mode != version.Idempotent {
		return nil
	}
	return fault.New(fault.Overloaded, "the target sheds load")
}

func (s *sender) roundTrip(ctx context.Context, c *call, e *envelope.Envelope, choice Choice) (*http.Response, error) {
	r, err := c.request(ctx, e, choice.Target.PeerAddress)
	if err != nil {
		return nil, err
	}
	return s.Peers.RoundTrip(choice.Target.PeerAddress, r)
}

// settle returns what a failed attempt means for the call. refused is true
// where the error is the answer of the daemon beside the target.
func (s *sender) settle(ctx context.Context, c *call, e *envelope.Envelope, err error, refused bool) (*answer, error) {
	if c.route.Mode != version.Once {
		return nil, err
	}
	return s.settleOnce(ctx, c, e, err, refused)
}

// mayRepeat reports whether another attempt may follow err: always where the
// request certainly did not run and another target may be better off, and for
// idempotent requests also where it may have run.
func mayRepeat(ctx context.Context, mode version.Mode, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch fault.KindOf(err) {
	case fault.Overloaded, fault.TargetCold, fault.TargetLeaving, fault.OutOfService,
		fault.NoTarget, fault.LeaseExpired, fault.ConnectFailed, fault.ShuttingDown,
		fault.OnceCanceled:
		return true
	case fault.ConnectionLost, fault.AnswerBroken:
		return mode == version.Idempotent
	}
	return false
}
