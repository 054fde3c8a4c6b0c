package fault

import (
	"context"
	"errors"
	"time"
)

// ErrStopping is the cause with which a process ends the contexts of its requests at the end
// of a shutdown.
var ErrStopping = errors.New("this process stops")

// OfContext returns the error for a request whose context has ended: ShuttingDown or
// Interrupted if ErrStopping is why, DeadlineNotRun or DeadlineUnknown if its deadline has
// passed, and CallerGone if it was canceled before. sent says whether a target may have
// received the request. cause, which may be nil, is what the request failed with.
//
// A context that was canceled after its deadline says nothing about the caller: net/http
// cancels that of a request whose body is not read any further because its read deadline,
// the same moment, has passed.
func OfContext(ctx context.Context, cause error, sent bool) error {
	if cause == nil {
		cause = context.Cause(ctx)
	}
	stopping := errors.Is(context.Cause(ctx), ErrStopping)
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded) || DeadlinePassed(ctx)
	switch {
	case stopping && sent:
		return Wrap(Interrupted, cause, "this process stopped before a response arrived")
	case stopping:
		return Wrap(ShuttingDown, cause, "this process stopped before the request was sent to the target")
	case expired && sent:
		return Wrap(DeadlineUnknown, cause, "the deadline passed before a response arrived")
	case expired:
		return Wrap(DeadlineNotRun, cause, "the deadline passed before the request was sent to the target")
	}
	return Wrap(CallerGone, cause, "the caller canceled the request")
}

// DeadlinePassed reports whether the deadline of ctx has passed, also where ctx does not show
// it yet.
func DeadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}
