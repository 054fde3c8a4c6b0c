package hop

import (
	"context"
	"net/http"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/running"
)

// NewEgress returns the handler of the loopback listener on which the targets
// beside this process call other services. A call names the request that it
// belongs to by its handle, and takes its team, key id, importance, cohort,
// version and root from there: a target can change none of them. Its deadline
// is that of the request, or earlier where its route has less time.
//
// The importance of the call's own route is not used: a chain keeps the
// importance that it began with, so that a certification is not lost to a
// lookup that it needs, and an unimportant request cannot rise by what it
// calls.
func NewEgress(d Deps) http.Handler {
	return &egress{Deps: d, sender: newSender(d)}
}

type egress struct {
	Deps
	sender *sender
}

// ServeHTTP refuses the call or passes the answer of a target on.
func (h *egress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{method: r.Method}
	parent, err := h.Running.Get(r.Header.Get(HeaderHandle))
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
	defer parent.Call()()
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
	if c.body, err = readBody(ctx, w, r, h.bodyLimit()); err != nil {
		return nil, err
	}
	return h.sender.send(ctx, c)
}

// prepare derives the call's envelope from that of the request it belongs to.
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

// context ends with the request that the call belongs to, with the call's own
// connection, and at the earlier deadline of the two.
func (h *egress) context(parent running.Request, r *http.Request, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent.Context, timeout)
	stop := context.AfterFunc(r.Context(), cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

func (h *egress) reject(w http.ResponseWriter, c *call, err error) {
	record(h.Deps, "call.refused", &c.envelope, "", string(fault.KindOf(err)))
	WriteError(w, c.envelope.RequestID, err)
}
