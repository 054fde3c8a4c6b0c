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
func (h *beside) runOnce(ctx context.Context, work *work, slot Slot) (*answer, error) {
	digest := digestOf(work.request.Method, pathAndQuery(work.request.URL), work.body)
	stored, err := h.claim(ctx, work, digest)
	if err != nil || stored != nil {
		slot.Done(0, err, false)
		return stored, err
	}
	if err := h.mayDispatch(ctx, work.envelope, slot.Address); err != nil {
		slot.Done(0, err, false)
		_, _ = h.release(ctx, work, digest)
		return nil, err
	}
	a, err := h.runClaimed(ctx, work, slot)
	switch {
	case err == nil:
		h.complete(ctx, work, digest, a)
	case fault.OutcomeOf(err) == fault.NotRun:
		_, _ = h.release(ctx, work, digest)
	case fault.Is(err, fault.AnswerTooLarge):
		h.complete(ctx, work, digest, refusalAnswer(work.envelope.RequestID, err))
	}
	record(h.Deps, "once.ended", work.envelope, h.Instance, string(fault.KindOf(err)))
	return a, err
}

// claim returns nil and nil where the claim was granted to this attempt, and
// the stored answer where the request ran before.
func (h *beside) claim(ctx context.Context, work *work, digest string) (*answer, error) {
	reply, err := h.Ledger.Do(ctx, command(protocol.OnceClaim, work, digest))
	if err != nil {
		return nil, h.unclaimed(ctx, work, digest, err)
	}
	record(h.Deps, "once.claim", work.envelope, h.Instance, string(reply.State))
	switch reply.State {
	case protocol.OnceGranted:
		return nil, nil
	case protocol.OnceDone:
		if reply.Answer == nil {
			return nil, fault.New(fault.OnceUnknown, "the request ran and its answer is no longer kept")
		}
		return replay(reply.Answer), nil
	case protocol.OnceMismatch:
		return nil, fault.New(fault.OnceConflict, "the Idempotency-Key was used with other content")
	case protocol.OnceFenced:
		return nil, fault.New(fault.OnceCanceled, "the attempt was canceled before a target was given it")
	case protocol.OnceFull:
		return nil, fault.New(fault.LedgerUnavailable, "the ledger has no room")
	}
	if reply.Holder == work.envelope.AttemptID {
		// An earlier try of this very claim was granted and its answer lost.
		return nil, h.unclaimed(ctx, work, digest, errLostClaim)
	}
	return nil, fault.New(fault.OnceUnknown, "another attempt holds the Idempotency-Key")
}

var errLostClaim = errors.New("the answer to the claim was lost")

// unclaimed gives up a claim that may have been granted. The target was
// certainly not given the request; the key is free again where the ledger says
// so.
func (h *beside) unclaimed(ctx context.Context, work *work, digest string, err error) error {
	if fault.Is(err, fault.LedgerUnavailable) {
		return err
	}
	reply, released := h.release(ctx, work, digest)
	switch {
	case released != nil:
		return fault.Wrap(fault.LedgerUnknown, err, "the ledger did not answer")
	case reply.State == protocol.OnceFree:
		return fault.Wrap(fault.LedgerUnavailable, err, "the ledger did not grant the request")
	default:
		return fault.Wrap(fault.OnceUnknown, err, "another attempt holds the Idempotency-Key")
	}
}

// release gives the claim up. Its reply is OnceFree unless another attempt
// holds the key.
func (h *beside) release(ctx context.Context, work *work, digest string) (protocol.OnceReply, error) {
	ctx, cancel := withGrace(ctx, completeGrace)
	defer cancel()
	return h.Ledger.Do(ctx, command(protocol.OnceRelease, work, digest))
}

// complete stores the whole answer. Where that fails the answer is passed on
// all the same; the key stays held, and a repeat is answered as unknown.
func (h *beside) complete(ctx context.Context, work *work, digest string, a *answer) {
	ctx, cancel := withGrace(ctx, completeGrace)
	defer cancel()
	request := command(protocol.OnceComplete, work, digest)
	request.Answer = &protocol.StoredAnswer{Status: a.status, Header: a.header, Body: a.body}
	if _, err := h.Ledger.Do(ctx, request); err != nil {
		record(h.Deps, "once.not_stored", work.envelope, h.Instance, string(fault.KindOf(err)))
	}
}

// runClaimed gives a claimed attempt to the target and reads the whole answer.
// From here on it ends at its deadline only: a caller that leaves finds the
// answer in the ledger when it asks again.
func (h *beside) runClaimed(ctx context.Context, work *work, slot Slot) (*answer, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), work.deadline)
	defer cancel()
	a, err := h.dispatch(ctx, work, slot)
	if err != nil || a.rest == nil {
		return a, err
	}
	_ = a.rest.Close()
	a.end(errTooLong)
	return nil, fault.New(fault.AnswerTooLarge, "the answer exceeds %d bytes", protocol.MaxStoredAnswer)
}

func command(operation protocol.OnceOperation, work *work, digest string) protocol.OnceRequest {
	return protocol.OnceRequest{
		Operation: operation,
		Key:       onceKey(work.envelope),
		Attempt:   work.envelope.AttemptID,
		Digest:    digest,
	}
}

// refusalAnswer is the answer that a refusal is stored as.
func refusalAnswer(requestID string, err error) *answer {
	kind := fault.KindOf(err)
	body, _ := json.Marshal(Refusal{kind, fault.Message(err), requestID})
	return &answer{
		status: fault.AnswerFor(kind).Status,
		header: http.Header{"Content-Type": {"application/json"}},
		body:   body,
	}
}
