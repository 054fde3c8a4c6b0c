package hop

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/url"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
)

const (
	// ledgerGrace is the time that the ledger is still asked for once the
	// deadline of a request has passed.
	ledgerGrace = 500 * time.Millisecond
	// initialPollInterval and maxPoll bound the wait between two looks for the answer of
	// an attempt that is still running.
	initialPollInterval = 25 * time.Millisecond
	maxPollInterval     = 200 * time.Millisecond
)

// requestDigest is the digest of what a once request says.
func requestDigest(method string, u *url.URL, body []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(method + "\n" + u.RequestURI() + "\n"))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func onceKey(e *envelope.Envelope) protocol.OnceKey {
	return protocol.OnceKey{Team: e.Team, Service: e.Service, Key: e.OnceKey}
}

// resolveOnceFailure finds out what became of a once attempt that failed.
func (s *sender) resolveOnceFailure(ctx context.Context, c *call, e *envelope.Envelope, err error, rejected bool) (*response, error) {
	kind := fault.KindOf(err)
	switch {
	case fault.AnswerFor(kind).Outcome == fault.NotRun:
		return nil, err
	case kind == fault.CallerGone:
		return nil, err
	case rejected && kind != fault.OnceUnknown:
		return nil, err // the daemon beside the target has said all there is
	}
	return s.cancelAttempt(ctx, c, e)
}

// cancelAttempt fences the attempt off. Where that is too late it waits for the
// stored answer until the deadline.
func (s *sender) cancelAttempt(ctx context.Context, c *call, e *envelope.Envelope) (*response, error) {
	request := protocol.OnceRequest{
		Operation: protocol.OnceCancel,
		Key:       onceKey(e),
		Attempt:   e.AttemptID,
		Digest:    c.digest,
	}
	for wait := initialPollInterval; ; wait = min(2*wait, maxPollInterval) {
		reply, err := s.doWithGrace(ctx, request)
		if err != nil {
			return nil, fault.Wrap(fault.OnceUnknown, err, "the ledger does not say whether the request ran")
		}
		record(s.Deps, "once.cancel", e, "", string(reply.State))
		if reply.State != protocol.OnceHeld {
			return s.cancelResult(ctx, reply)
		}
		if !sleep(ctx, wait) {
			return nil, fault.New(fault.OnceUnknown, "the request was given to a target and its answer is not known yet")
		}
	}
}

// cancelResult turns the final state of a canceled attempt into its result.
func (s *sender) cancelResult(ctx context.Context, reply protocol.OnceReply) (*response, error) {
	switch reply.State {
	case protocol.OnceDone:
		if reply.Answer == nil {
			return nil, fault.New(fault.OnceUnknown, "the request ran and its answer is no longer kept")
		}
		return replayedResponse(reply.Answer), nil
	case protocol.OnceMismatch:
		return nil, fault.New(fault.OnceConflict, "the Idempotency-Key was used with other content")
	case protocol.OnceFenced, protocol.OnceFree:
		if ctx.Err() != nil {
			return nil, fault.New(fault.DeadlineNotRun, "the deadline passed before a target was given the request")
		}
		return nil, fault.New(fault.OnceCanceled, "the request was canceled before a target was given it")
	}
	return nil, fault.New(fault.OnceUnknown, "the ledger does not say whether the request ran")
}

// doWithGrace sends a command that still makes sense shortly after the deadline.
func (s *sender) doWithGrace(ctx context.Context, request protocol.OnceRequest) (protocol.OnceReply, error) {
	ctx, cancel := withGrace(ctx, ledgerGrace)
	defer cancel()
	return s.Ledger.Do(ctx, request)
}

// withGrace returns a context that ends at the deadline of ctx, but not before
// grace has passed, and that does not end because the caller left.
func withGrace(ctx context.Context, grace time.Duration) (context.Context, context.CancelFunc) {
	end := time.Now().Add(grace)
	if deadline, ok := ctx.Deadline(); ok && deadline.After(end) {
		end = deadline
	}
	return context.WithDeadline(context.WithoutCancel(ctx), end)
}

// sleep waits for d and reports whether ctx still runs then.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
