package hop

import (
	"context"
	"net/http"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/inflight"
)

// NewEgress returns the handler of the egress listener, on which the local targets
// call other services over loopback. A call identifies its parent request by the
// handle and inherits the parent's team, key ID, importance, cohort, version and
// root; a target can change none of them. The deadline of the call is that of the
// parent, or earlier if the route or the target sets a shorter timeout for the call.
//
// The importance of the call's own route is not used. A call chain keeps the
// importance it started with, so that an important request does not fail because a
// less important lookup that it needs is shed, and an unimportant request does not
// gain importance through the services it calls.
func NewEgress(d Deps) drain.LimitedHandler {
	return &egress{Deps: d, sender: newSender(d)}
}

type egress struct {
	Deps
	sender *sender
}

// ServeHTTP rejects the call or forwards the response of a target.
func (h *egress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{method: r.Method}
	parent, err := h.InFlight.Get(r.Header.Get(HeaderHandle))
	if err != nil {
		h.reject(w, c, err)
		return
	}
	c.envelope = *parent.Envelope
	c.levels = parent.Levels
	if err := h.prepare(r, c); err != nil {
		h.reject(w, c, err)
		return
	}
	defer parent.BeginCall()()
	ctx, cancel := h.context(parent, r, c.timeout)
	defer cancel()
	res, err := h.run(ctx, w, r, c)
	if err != nil {
		h.reject(w, c, err)
		return
	}
	w.Header().Set(HeaderRequest, c.envelope.RequestID)
	res.write(ctx, w)
}

func (h *egress) run(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) (*response, error) {
	var err error
	reservation := listener.ReservationFor(ctx)
	defer reservation.Release()
	if c.body, err = readBody(ctx, w, r, h.bodyLimit(), reservation); err != nil {
		return nil, err
	}
	return h.sender.send(ctx, c)
}

// prepare validates the call and completes its envelope, which starts as a copy of
// the parent request's envelope. It fails with DepthExceeded if the call chain has
// envelope.MaxDepth hops already.
func (h *egress) prepare(r *http.Request, c *call) error {
	if err := h.checkSyntax(r); err != nil {
		return err
	}
	if c.envelope.Depth >= envelope.MaxDepth {
		return fault.New(fault.DepthExceeded, "a call chain has at most %d hops", envelope.MaxDepth)
	}
	route, ok := h.Configuration.Current().Route(r.Method, r.URL.Path)
	if !ok {
		return fault.New(fault.UnknownRoute, "no route serves this method and path")
	}
	c.route = route
	c.envelope.Depth++
	return c.populate(r, scrubber{})
}

// context returns the context of a call. It is done when the parent request ends,
// when the target closes the connection of the call or this process stops, or at the
// earlier deadline of the two.
func (h *egress) context(parent inflight.Request, r *http.Request, timeout time.Duration) (context.Context, context.CancelFunc) {
	limited, release := context.WithTimeout(parent.Context, timeout)
	ctx, cancel := context.WithCancelCause(limited)
	stop := context.AfterFunc(r.Context(), func() { cancel(context.Cause(r.Context())) })
	return ctx, func() {
		stop()
		cancel(nil)
		release()
	}
}

func (h *egress) reject(w http.ResponseWriter, c *call, err error) {
	record(h.Deps, "call.refused", &c.envelope, "", string(fault.KindOf(err)))
	WriteError(w, c.envelope.RequestID, err)
}
