package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/hop"
	"github.com/teaselrack/teaselrack/internal/version"
)

var _ hop.Admission = (*Controller)(nil)

func announcement(state protocol.TargetState, slots int) protocol.Announcement {
	return protocol.Announcement{
		Service: "tides", Address: "127.0.0.1:1", Incarnation: "a",
		Slots: slots, Connections: 4 * slots, State: state,
	}
}

func request() *envelope.Envelope {
	return &envelope.Envelope{Team: "obala", Service: "tides", Importance: version.Normal, Remaining: time.Second}
}

func TestControllerWaitsForSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Options{})
		_, err := c.Admit(t.Context(), request())
		must.Eq(t, fault.NoTarget, fault.KindOf(err))

		c.Announce(time.Now(), announcement(protocol.Cold, 4))
		must.Eq(t, 16, c.Connections("tides"))
		first, err := c.Admit(t.Context(), request())
		must.NoError(t, err)
		time.AfterFunc(5*time.Millisecond, func() { first.Done(5*time.Millisecond, nil, false) })
		second, err := c.Admit(t.Context(), request())
		must.NoError(t, err)
		must.Eq(t, "127.0.0.1:1", second.Address)
		second.OutgoingCall(true)
		second.OutgoingCall(false)

		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Millisecond, cancel)
		_, err = c.Admit(ctx, request())
		must.Eq(t, fault.CallerGone, fault.KindOf(err))

		_, err = c.Admit(t.Context(), request())
		must.Eq(t, fault.TargetCold, fault.KindOf(err))

		time.AfterFunc(time.Millisecond, func() { c.Announce(time.Now(), announcement(protocol.Leaving, 4)) })
		_, err = c.Admit(t.Context(), request())
		must.Eq(t, fault.TargetLeaving, fault.KindOf(err))
		second.Done(time.Millisecond, nil, false)
	})
}
