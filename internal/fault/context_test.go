package fault

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestEndsOfAContext checks the kind of a request for each end of its context, before and
// after a target may have received it.
func TestEndsOfAContext(t *testing.T) {
	stopped, stop := context.WithCancelCause(t.Context())
	stop(ErrStopping)
	expired, cancel := context.WithDeadline(t.Context(), time.Unix(1, 0))
	defer cancel()
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	below, cancel := context.WithTimeout(stopped, time.Hour)
	defer cancel()
	// The server cancels the context of a request whose body it cannot read at the deadline.
	late, cancel := context.WithDeadline(canceled, time.Unix(1, 0))
	defer cancel()
	must.Eq(t, context.Canceled, late.Err())
	for _, c := range []struct {
		ctx           context.Context
		before, after Kind
	}{
		{stopped, ShuttingDown, Interrupted},
		{below, ShuttingDown, Interrupted},
		{expired, DeadlineNotRun, DeadlineUnknown},
		{canceled, CallerGone, CallerGone},
		{late, DeadlineNotRun, DeadlineUnknown},
	} {
		must.Eq(t, c.before, KindOf(OfContext(c.ctx, nil, false)))
		must.Eq(t, c.after, KindOf(OfContext(c.ctx, c.ctx.Err(), true)))
	}
}
