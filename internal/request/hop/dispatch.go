package hop

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/meter"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/inflight"
	"github.com/teaselrack/teaselrack/internal/version"
)

// dispatch sends the attempt to the target. The slot and the handle are held
// until the response has been buffered, or, if it exceeds the buffer limit, until
// it has been forwarded.
func (h *peerHandler) dispatch(ctx context.Context, attempt *inboundAttempt, slot Slot) (*response, error) {
	e := attempt.envelope
	handle, remove := h.InFlight.Add(inflight.Request{Envelope: e, Context: ctx, CallObserver: slot, Levels: &attempt.levels})
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

// targetRequest builds the HTTP request that is sent to the target.
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

// responseError returns the error that admission control is told about a
// response: AnswerBroken if err says that it was truncated, Overloaded if the target
// itself sheds load (status 503 or 429), and nil otherwise.
func responseError(resp *http.Response, err error) error {
	if err != nil {
		return fault.Wrap(fault.AnswerBroken, err, "the response of the target was truncated")
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		return fault.New(fault.Overloaded, "the target rejected the request to shed load")
	}
	return nil
}

// transportError returns the error that admission control is told about a failed
// round trip. A request that was abandoned on a silent connection is reported as
// CallerGone, because it says nothing about the target.
func transportError(err error) error {
	if meter.IsSilent(err) {
		return fault.Wrap(fault.CallerGone, err, "the request was abandoned on a silent connection")
	}
	return err
}

// isReset reports whether err, the error of a round trip, shows that the target
// closed or refused the connection.
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
