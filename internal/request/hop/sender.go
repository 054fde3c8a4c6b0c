package hop

import (
	"context"
	"net/http"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/version"
)

// sender sends calls to the daemons of targets. It makes one attempt, and takes a
// retry permit from the root for each extra attempt.
type sender struct {
	Deps
}

func newSender(d Deps) *sender { return &sender{Deps: d} }

// send returns the response to forward, or the error to reject the request with.
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

// failedAttempts summarizes the failed attempts of one call.
type failedAttempts struct {
	instances []string // excluded from further attempts
	last      error
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
	// shedResponse is the last response of a target that itself shed the request.
	shedResponse *response
}

func (f *failedAttempts) add(instance string, res *response, err error) {
	f.instances = append(f.instances, instance)
	f.last = err
	if res != nil {
		f.shedResponse = res
	}
	f.mayHaveRun = f.mayHaveRun || fault.OutcomeOf(err) != fault.NotRun
}

// result returns the result of the call when no further attempt is made: the
// response of a target that shed the request, else the error of the last attempt,
// else err. A request that a target may have run never gets an error with the
// outcome NotRun.
func (f *failedAttempts) result(err error) (*response, error) {
	if f.shedResponse != nil {
		return f.shedResponse, nil
	}
	if f.last != nil {
		err = f.last
	}
	if f.mayHaveRun {
		err = fault.MayHaveRun(err)
	}
	return nil, err
}

// pick selects a target for a new attempt, and returns it with the envelope of the
// attempt. It selects an instance in exclude only if there is no other target.
// Errors: DeadlineNotRun, NoTarget, Overloaded.
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

// attempt sends one attempt and ensures that choice.Done is called when it has
// ended. If the target itself shed the request and the request may be retried, it
// returns both the response and an error.
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

// shedError returns Overloaded if a complete response shows that the target itself
// shed an idempotent request (status 503), and nil otherwise.
func shedError(res *response, mode version.Mode) error {
	if res.status != http.StatusServiceUnavailable || mode != version.Idempotent {
		return nil
	}
	return fault.New(fault.Overloaded, "the target rejected the request to shed load")
}

func (s *sender) roundTrip(ctx context.Context, c *call, e *envelope.Envelope, choice Choice) (*http.Response, error) {
	r, err := c.attemptRequest(ctx, e, choice.Target.PeerAddress)
	if err != nil {
		return nil, err
	}
	return s.Peers.RoundTrip(choice.Target.PeerAddress, r)
}

// resolveFailure returns the result of a failed attempt. For a once request it
// asks the ledger whether the request ran. rejected is true if err was returned by
// the target's daemon.
func (s *sender) resolveFailure(ctx context.Context, c *call, e *envelope.Envelope, err error, rejected bool) (*response, error) {
	if c.route.Mode != version.Once {
		return nil, err
	}
	return s.resolveOnceFailure(ctx, c, e, err, rejected)
}

// isRetryable reports whether another attempt may follow err. It may if the request
// did not run and another target may be able to serve it. An idempotent request may
// also be retried if it may have run. No attempt follows once ctx is done.
func isRetryable(ctx context.Context, mode version.Mode, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch fault.KindOf(err) {
	case fault.Overloaded, fault.TargetCold, fault.TargetLeaving, fault.OutOfService,
		fault.NoTarget, fault.LeaseExpired, fault.ConnectFailed, fault.ShuttingDown,
		fault.OnceCanceled:
		return true
	case fault.ConnectionLost, fault.AnswerBroken, fault.Interrupted:
		return mode == version.Idempotent
	}
	return false
}
