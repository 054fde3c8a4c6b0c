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
	// ledgerGrace is the minimum time allowed for a ledger command, even if the
	// deadline of the request passes earlier.
	ledgerGrace = 500 * time.Millisecond
	// initialPollInterval and maxPollInterval bound the exponential backoff between
	// two queries for the response of an attempt that is still running.
	initialPollInterval = 25 * time.Millisecond
	maxPollInterval     = 200 * time.Millisecond
)

// requestDigest returns the SHA-256 digest of the method, URL and body of a once
// request, in hexadecimal.
func requestDigest(method string, u *url.URL, body []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(method + "\n" + u.RequestURI() + "\n"))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func onceKey(e *envelope.Envelope) protocol.OnceKey {
	return protocol.OnceKey{Team: e.Team, Service: e.Service, Key: e.OnceKey}
}

// resolveOnceFailure determines whether a failed once attempt ran, and returns the
// stored response if it did. It returns err unchanged if err already tells the
// outcome or if the caller canceled the request.
func (s *sender) resolveOnceFailure(ctx context.Context, c *call, e *envelope.Envelope, err error, rejected bool) (*response, error) {
	kind := fault.KindOf(err)
	switch {
	case fault.ResponseFor(kind).Outcome == fault.NotRun:
		return nil, err
	case kind == fault.CallerGone:
		return nil, err
	case rejected && kind != fault.OnceUnknown:
		return nil, err // the target's daemon knows the outcome
	}
	return s.cancelAttempt(ctx, c, e)
}

// cancelAttempt fences the attempt in the ledger, so that it can no longer claim the
// key. If the key is already held, it polls for the stored response until the
// deadline.
func (s *sender) cancelAttempt(ctx context.Context, c *call, e *envelope.Envelope) (*response, error) {
	command := protocol.OnceRequest{
		Operation: protocol.OnceCancel,
		Key:       onceKey(e),
		Attempt:   e.AttemptID,
		Digest:    c.digest,
	}
	for wait := initialPollInterval; ; wait = min(2*wait, maxPollInterval) {
		reply, err := s.doWithGrace(ctx, command)
		if err != nil {
			return nil, fault.Wrap(fault.OnceUnknown, err, "the ledger cannot tell whether the request ran")
		}
		record(s.Deps, "once.cancel", e, "", string(reply.State))
		if reply.State != protocol.OnceHeld {
			return s.cancelResult(ctx, reply)
		}
		if !sleep(ctx, wait) {
			return nil, fault.New(fault.OnceUnknown, "the request was dispatched to a target and its response is not stored yet")
		}
	}
}

// cancelResult converts the ledger's reply to a cancel command to the result of the
// attempt.
func (s *sender) cancelResult(ctx context.Context, reply protocol.OnceReply) (*response, error) {
	switch reply.State {
	case protocol.OnceDone:
		if reply.Response == nil {
			return nil, fault.New(fault.OnceUnknown, "the request ran, but its response is no longer stored")
		}
		return replayedResponse(reply.Response), nil
	case protocol.OnceMismatch:
		return nil, fault.New(fault.OnceConflict, "the Idempotency-Key was already used for a different request")
	case protocol.OnceFenced, protocol.OnceFree:
		if ctx.Err() != nil {
			return nil, fault.New(fault.DeadlineNotRun, "the deadline passed before the request was dispatched to a target")
		}
		return nil, fault.New(fault.OnceCanceled, "the request was canceled before it was dispatched to a target")
	}
	return nil, fault.New(fault.OnceUnknown, "the ledger cannot tell whether the request ran")
}

// doWithGrace sends a ledger command that is still useful shortly after the
// deadline.
func (s *sender) doWithGrace(ctx context.Context, command protocol.OnceRequest) (protocol.OnceReply, error) {
	ctx, cancel := withGrace(ctx, ledgerGrace)
	defer cancel()
	return s.Ledger.Do(ctx, command)
}

// withGrace returns a context that expires at the deadline of ctx or after grace,
// whichever is later. It is not canceled when the caller cancels
// the request.
func withGrace(ctx context.Context, grace time.Duration) (context.Context, context.CancelFunc) {
	end := time.Now().Add(grace)
	if deadline, ok := ctx.Deadline(); ok && deadline.After(end) {
		end = deadline
	}
	return context.WithDeadline(context.WithoutCancel(ctx), end)
}

// sleep waits for d. It returns false if ctx is done first.
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
