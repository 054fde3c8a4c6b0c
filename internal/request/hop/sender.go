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
func (s *sender) send(ctx context.Context, c *call) (*response, error) {
	if c.route.Mode == version.Once {
		c.digest = requestDigest(c.method, &c.url, c.body)
	}
	failed := &failedAttempts{}
	for {
		e, choice, err := s.pick(ctx, c, failed.instances)
		if err != nil {
			return failed.result(err)
		}
		res, err := s.attempt(ctx, c, e, choice)
		if err == nil {
			return res, nil
		}
		failed.add(choice.Target.Instance, res, err)
		if !isRetryable(ctx, c.route.Mode, err) || !s.Permits.Take(ctx, e) {
			return failed.result(err)
		}
		record(s.Deps, "request.retry", e, choice.Target.Instance, string(fault.KindOf(err)))
	}
}

// failedAttempts are the failed attempts of one call.
type failedAttempts struct {
	instances []string // instances
	last      error
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
	// shedResponse is the last answer of a target that sheds load by itself.
	shedResponse *response
}

func (t *failedAttempts) add(instance string, res *response, err error) {
	t.instances = append(t.instances, instance)
	t.last = err
	if res != nil {
		t.shedResponse = res
	}
	t.mayHaveRun = t.mayHaveRun || fault.OutcomeOf(err) != fault.NotRun
}

// result is what the call ends with where no further attempt is made: the
// answer of a target, else the error of the last attempt, else err. A request
// that a target may have run is never said to be not run.
func (t *failedAttempts) result(err error) (*response, error) {
	if t.shedResponse != nil {
		return t.shedResponse, nil
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
	e, err := c.newAttempt(ctx)
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
func (s *sender) attempt(ctx context.Context, c *call, e *envelope.Envelope, choice Choice) (*response, error) {
	start := time.Now()
	resp, err := s.roundTrip(ctx, c, e, choice)
	latency := time.Since(start)
	if err != nil {
		choice.Done(latency, err, nil)
		return s.resolveFailure(ctx, c, e, err, false)
	}
	level := envelope.ParseLevel(resp.Header.Get(HeaderLevel))
	c.levels.Observe(level)
	if resp.Header.Get(HeaderKind) != "" {
		err = readError(resp)
		choice.Done(latency, err, level)
		return s.resolveFailure(ctx, c, e, err, true)
	}
	res, err := readResponse(resp, c.method)
	if err != nil {
		choice.Done(latency, err, level)
		return s.resolveFailure(ctx, c, e, err, false)
	}
	if replayed := resp.Header.Get(HeaderReplayed); replayed != "" {
		res.header.Set(HeaderReplayed, replayed)
	}
	if res.rest == nil {
		err = shedError(res, c.route.Mode)
		choice.Done(latency, err, level)
		return res, err
	}
	res.onDone = func(err error) { choice.Done(latency, err, level) }
	return res, nil
}

// shedError is the error of a whole answer that says that the target sheds load.
func shedError(res *response, mode version.Mode) error {
	if res.status != http.StatusServiceUnavailable || mode != version.Idempotent {
		return nil
	}
	return fault.New(fault.Overloaded, "the target sheds load")
}

func (s *sender) roundTrip(ctx context.Context, c *call, e *envelope.Envelope, choice Choice) (*http.Response, error) {
	r, err := c.attemptRequest(ctx, e, choice.Target.PeerAddress)
	if err != nil {
		return nil, err
	}
	return s.Peers.RoundTrip(choice.Target.PeerAddress, r)
}

// resolveFailure returns what a failed attempt means for the call. refused is true
// where the error is the answer of the daemon beside the target.
func (s *sender) resolveFailure(ctx context.Context, c *call, e *envelope.Envelope, err error, rejected bool) (*response, error) {
	if c.route.Mode != version.Once {
		return nil, err
	}
	return s.resolveOnceFailure(ctx, c, e, err, rejected)
}

// isRetryable reports whether another attempt may follow err: always where the
// request certainly did not run and another target may be better off, and for
// idempotent requests also where it may have run.
func isRetryable(ctx context.Context, mode version.Mode, err error) bool {
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
