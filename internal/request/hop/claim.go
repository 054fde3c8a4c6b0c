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

// completeGrace is the time for storing an answer after its deadline, and for
// giving up a claim.
const completeGrace = 2 * time.Second

// runOnce claims the key, and gives the attempt to the target only where the
// claim was granted to it.
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

// claim returns nil and nil where the claim was granted to this attempt, and
// the stored answer where the request ran before.
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
		if reply.Answer == nil {
			return nil, fault.New(fault.OnceUnknown, "the request ran and its answer is no longer kept")
		}
		return replayedResponse(reply.Answer), nil
	case protocol.OnceMismatch:
		return nil, fault.New(fault.OnceConflict, "the Idempotency-Key was used with other content")
	case protocol.OnceFenced:
		return nil, fault.New(fault.OnceCanceled, "the attempt was canceled before a target was given it")
	case protocol.OnceFull:
		return nil, fault.New(fault.LedgerUnavailable, "the ledger has no room")
	}
	if reply.Holder == attempt.envelope.AttemptID {
		// An earlier try of this very claim was granted and its answer lost.
		return nil, h.abandonClaim(ctx, attempt, digest, errClaimReplyLost)
	}
	return nil, fault.New(fault.OnceUnknown, "another attempt holds the Idempotency-Key")
}

var errClaimReplyLost = errors.New("the answer to the claim was lost")

// abandonClaim gives up a claim that may have been granted. The target was
// certainly not given the request; the key is free again where the ledger says
// so.
func (h *peerHandler) abandonClaim(ctx context.Context, attempt *inboundAttempt, digest string, err error) error {
	if fault.Is(err, fault.LedgerUnavailable) {
		return err
	}
	reply, releaseErr := h.release(ctx, attempt, digest)
	switch {
	case releaseErr != nil:
		return fault.Wrap(fault.LedgerUnknown, err, "the ledger did not answer")
	case reply.State == protocol.OnceFree:
		return fault.Wrap(fault.LedgerUnavailable, err, "the ledger did not grant the request")
	default:
		return fault.Wrap(fault.OnceUnknown, err, "another attempt holds the Idempotency-Key")
	}
}

// release gives the claim up. Its reply is OnceFree unless another attempt
// holds the key.
func (h *peerHandler) release(ctx context.Context, attempt *inboundAttempt, digest string) (protocol.OnceReply, error) {
	ctx, cancel := withGrace(ctx, completeGrace)
	defer cancel()
	return h.Ledger.Do(ctx, ledgerCommand(protocol.OnceRelease, attempt, digest))
}

// complete stores the whole answer. Where that fails the answer is passed on
// all the same; the key stays held, and a repeat is answered as unknown.
func (h *peerHandler) complete(ctx context.Context, attempt *inboundAttempt, digest string, res *response) {
	ctx, cancel := withGrace(ctx, completeGrace)
	defer cancel()
	request := ledgerCommand(protocol.OnceComplete, attempt, digest)
	request.Answer = &protocol.StoredAnswer{Status: res.status, Header: res.header, Body: res.body}
	if _, err := h.Ledger.Do(ctx, request); err != nil {
		record(h.Deps, "once.not_stored", attempt.envelope, h.Instance, string(fault.KindOf(err)))
	}
}

// runClaimed gives a claimed attempt to the target and reads the whole answer.
// From here on it ends at its deadline only: a caller that leaves finds the
// answer in the ledger when it asks again.
func (h *peerHandler) runClaimed(ctx context.Context, attempt *inboundAttempt, slot Slot) (*response, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), attempt.deadline)
	defer cancel()
	res, err := h.dispatch(ctx, attempt, slot)
	if err != nil || res.rest == nil {
		return res, err
	}
	_ = res.rest.Close()
	res.done(errTooLong)
	return nil, fault.New(fault.AnswerTooLarge, "the answer exceeds %d bytes", protocol.MaxStoredAnswer)
}

func ledgerCommand(operation protocol.OnceOperation, attempt *inboundAttempt, digest string) protocol.OnceRequest {
	return protocol.OnceRequest{
		Operation: operation,
		Key:       onceKey(attempt.envelope),
		Attempt:   attempt.envelope.AttemptID,
		Digest:    digest,
	}
}

// errorResponse is the answer that a refusal is stored as.
func errorResponse(requestID string, err error) *response {
	kind := fault.KindOf(err)
	body, _ := json.Marshal(ErrorBody{kind, fault.Message(err), requestID})
	return &response{
		status: fault.AnswerFor(kind).Status,
		header: http.Header{"Content-Type": {"application/json"}},
		body:   body,
	}
}
