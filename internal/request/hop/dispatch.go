package hop

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/meter"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/running"
	"github.com/teaselrack/teaselrack/internal/version"
)

// dispatch gives the attempt to the target. The slot and the handle are held
// until the answer has been received, or has been passed on where it is too
// large to be received whole before.
func (h *peerHandler) dispatch(ctx context.Context, attempt *inboundAttempt, slot Slot) (*response, error) {
	e := attempt.envelope
	handle, remove := h.Running.Add(running.Request{Envelope: e, Context: ctx, Watcher: slot, Levels: &attempt.levels})
	start := time.Now()
	record(h.Deps, "attempt.dispatched", e, h.Instance, "")
	request := attempt.targetRequest(ctx, slot.Address, handle)
	resp, err := h.Targets.RoundTrip(slot.Address, request, e.Mode == version.Idempotent)
	took := time.Since(start)
	if err != nil {
		remove()
		slot.Done(took, transportError(err), isReset(err))
		return nil, err
	}
	end := func(err error) {
		remove()
		slot.Done(took, responseError(resp, err), err != nil && ctx.Err() == nil)
	}
	res, err := readResponse(resp, attempt.request.Method)
	if err != nil || res.rest == nil {
		end(err)
		return res, err
	}
	res.onDone = end
	return res, nil
}

// targetRequest builds the request that the target sees.
func (attempt *inboundAttempt) targetRequest(ctx context.Context, address, handle string) *http.Request {
	header := endToEnd(attempt.request.Header)
	header[HeaderHandle] = []string{handle}
	header[HeaderRequest] = []string{attempt.envelope.RequestID}
	header[HeaderTeam] = []string{attempt.envelope.Team}
	header[HeaderImportance] = []string{attempt.envelope.Importance.String()}
	header[HeaderTimeout] = []string{formatMilliseconds(time.Until(attempt.deadline))}
	return newRequest(ctx, "http", address, attempt.request.Method, *pathAndQuery(attempt.request.URL), header, attempt.body)
}

func pathAndQuery(u *url.URL) *url.URL {
	return &url.URL{Path: u.Path, RawPath: u.RawPath, RawQuery: u.RawQuery}
}

// responseError tells admission of an answer that broke off, and of a target
// that sheds load by itself.
func responseError(resp *http.Response, err error) error {
	if err != nil {
		return fault.Wrap(fault.AnswerBroken, err, "the answer broke off")
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		return fault.New(fault.Overloaded, "the target sheds load")
	}
	return nil
}

// transportError is what a failed request says about the target: nothing, where it was
// given up on a silent connection.
func transportError(err error) error {
	if meter.IsSilent(err) {
		return fault.Wrap(fault.CallerGone, err, "the request was given up")
	}
	return err
}

// isReset reports whether the target ended the connection.
func isReset(err error) bool {
	if meter.IsSilent(err) {
		return false
	}
	switch fault.KindOf(err) {
	case fault.ConnectionLost, fault.ConnectFailed, fault.AnswerBroken:
		return true
	}
	return false
}
