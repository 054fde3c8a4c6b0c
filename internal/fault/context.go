package fault

import (
	"context"
	"errors"
)

// OfContext returns the error for a request whose context has ended: DeadlineNotRun or
// DeadlineUnknown if its deadline has passed, and CallerGone if it was canceled. sent says
// whether a target may have received the request. cause, which may be nil, is what the
// request failed with.
func OfContext(ctx context.Context, cause error, sent bool) error {
	if cause == nil {
		cause = context.Cause(ctx)
	}
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case expired && sent:
		return Wrap(DeadlineUnknown, cause, "the deadline passed before a response arrived")
	case expired:
		return Wrap(DeadlineNotRun, cause, "the deadline passed before the request was sent to the target")
	}
	return Wrap(CallerGone, cause, "the caller canceled the request")
}
