package hop

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// completeGrace is the minimum time allowed for storing a response or releasing a
// claim, even if the deadline of the request passes earlier.
const completeGrace = 2 * time.Second

// runOnce claims the idempotency key and dispatches the attempt to the target only
// if the claim was granted to it. It returns the stored response if the request
// ran before.
func (h *peerHandler) runOnce(ctx context.Context, attempt *inboundAttempt, slot Slot) (*response, error) {
	digest := requestDigest(attempt.request.Method, pathAndQuery(attempt.request.URL), attempt.body)
	stored, err := h.claim(ctx, attempt, digest)
	if err != nil || stored != nil {
		slot.Done(0, err, false)
		return stored, err
	}
	if err := h.checkDispatch(ctx, attempt.envelope, slot.Address); err != nil {
		slot.Done(0, err, false)
		_, _ = h.release(ctx, attempt, digest)
		return nil, err
	}
	res, err := h.runClaimed(ctx, attempt, slot)
	switch {
	case err == nil:
		h.complete(ctx, attempt, digest, res)
	case fault.OutcomeOf(err) == fault.NotRun:
		_, _ = h.release(ctx, attempt, digest)
	case fault.Is(err, fault.AnswerTooLarge):
		h.complete(ctx, attempt, digest, errorResponse(attempt.envelope.RequestID, err))
	}
	record(h.Deps, "once.ended", attempt.envelope, h.Instance, string(fault.KindOf(err)))
	return res, err
}

// claim claims the idempotency key. It returns nil and nil if the claim was granted
// to this attempt, and the stored response if the request ran before. Errors:
// OnceUnknown, OnceConflict, OnceCanceled, LedgerUnavailable, LedgerUnknown.
func (h *peerHandler) claim(ctx context.Context, attempt *inboundAttempt, digest string) (*response, error) {
	reply, err := h.Ledger.Do(ctx, ledgerCommand(protocol.OnceClaim, attempt, digest))
	if err != nil {
		return nil, h.abandonClaim(ctx, attempt, digest, err)
	}
	record(h.Deps, "once.claim", attempt.envelope, h.Instance, string(reply.State))
	switch reply.State {
	case protocol.OnceGranted:
		return nil, nil
	case protocol.OnceDone:
		if reply.Response == nil {
			return nil, fault.New(fault.OnceUnknown, "the request ran, but its response is no longer stored")
		}
		return replayedResponse(reply.Response), nil
	case protocol.OnceMismatch:
		return nil, fault.New(fault.OnceConflict, "the Idempotency-Key was already used for a different request")
	case protocol.OnceFenced:
		return nil, fault.New(fault.OnceCanceled, "the attempt was canceled before it was dispatched to a target")
	case protocol.OnceFull:
		return nil, fault.New(fault.LedgerUnavailable, "the ledger is full")
	}
	if reply.Holder == attempt.envelope.AttemptID {
		// The ledger client sent the claim more than once. An earlier one was granted,
		// but its reply was lost.
		return nil, h.abandonClaim(ctx, attempt, digest, errClaimReplyLost)
	}
	return nil, fault.New(fault.OnceUnknown, "another attempt holds the Idempotency-Key")
}

var errClaimReplyLost = errors.New("the ledger's reply to the claim was lost")

// abandonClaim releases a claim that may have been granted, and returns the error
// of the attempt. The request was not dispatched to the target. The key is free
// again only if the ledger confirms it.
func (h *peerHandler) abandonClaim(ctx context.Context, attempt *inboundAttempt, digest string, err error) error {
	if fault.Is(err, fault.LedgerUnavailable) {
		return err
	}
	reply, releaseErr := h.release(ctx, attempt, digest)
	switch {
	case releaseErr != nil:
		return fault.Wrap(fault.LedgerUnknown, err, "the ledger did not confirm the claim or its release")
	case reply.State == protocol.OnceFree:
		return fault.Wrap(fault.LedgerUnavailable, err, "the ledger did not confirm the claim, and the claim was released")
	default:
		return fault.Wrap(fault.OnceUnknown, err, "another attempt holds the Idempotency-Key")
	}
}

// release releases the claim. The state of the reply is OnceFree unless another
// attempt holds the key.
func (h *peerHandler) release(ctx context.Context, attempt *inboundAttempt, digest string) (protocol.OnceReply, error) {
	ctx, cancel := withGrace(ctx, completeGrace)
	defer cancel()
	return h.Ledger.Do(ctx, ledgerCommand(protocol.OnceRelease, attempt, digest))
}

// complete stores the response in the ledger. If that fails, the response is
// forwarded anyway, the key stays held, and a retry of the request fails with
// OnceUnknown.
func (h *peerHandler) complete(ctx context.Context, attempt *inboundAttempt, digest string, res *response) {
	ctx, cancel := withGrace(ctx, completeGrace)
	defer cancel()
	command := ledgerCommand(protocol.OnceComplete, attempt, digest)
	command.Response = &protocol.StoredResponse{Status: res.status, Header: res.header, Body: res.body}
	if _, err := h.Ledger.Do(ctx, command); err != nil {
		record(h.Deps, "once.not_stored", attempt.envelope, h.Instance, string(fault.KindOf(err)))
	}
}

// runClaimed dispatches a claimed attempt to the target and reads the complete
// response. It fails with AnswerTooLarge if the response is too large to be stored.
// From here on only the deadline ends the attempt: a caller that cancels the
// request gets the stored response from the ledger when it retries.
func (h *peerHandler) runClaimed(ctx context.Context, attempt *inboundAttempt, slot Slot) (*response, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), attempt.deadline)
	defer cancel()
	res, err := h.dispatch(ctx, attempt, slot)
	if err != nil || res.rest == nil {
		return res, err
	}
	_ = res.rest.Close()
	res.done(errTooLong)
	return nil, fault.New(fault.AnswerTooLarge, "the response exceeds %d bytes and cannot be stored", protocol.MaxStoredResponse)
}

func ledgerCommand(operation protocol.OnceOperation, attempt *inboundAttempt, digest string) protocol.OnceRequest {
	return protocol.OnceRequest{
		Operation: operation,
		Key:       onceKey(attempt.envelope),
		Attempt:   attempt.envelope.AttemptID,
		Digest:    digest,
	}
}

// errorResponse returns the response that is stored in the ledger for a request
// that ended with err.
func errorResponse(requestID string, err error) *response {
	kind := fault.KindOf(err)
	body, _ := json.Marshal(ErrorBody{kind, fault.Message(err), requestID})
	return &response{
		status: fault.ResponseFor(kind).Status,
		header: http.Header{"Content-Type": {"application/json"}},
		body:   body,
	}
}
