package hop

import (
	"context"
	"net/http"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/version"
)

// NewBeside returns the handler of the listener for peer links. It is the only
// way to the targets beside this process, and so the witness of what they were
// given.
func NewBeside(d Deps) http.Handler {
	return &peerHandler{Deps: d}
}

type peerHandler struct {
	Deps
}

// inboundAttempt is one attempt beside its target.
type inboundAttempt struct {
	envelope *envelope.Envelope
	request  *http.Request
	body     []byte
	// deadline is when the attempt ends.
	deadline time.Time
	// levels are those of the target's own calls.
	levels envelope.Levels
}

// ServeHTTP refuses the attempt or passes the answer of the target on.
func (h *peerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e, err := readEnvelope(r)
	if err != nil {
		WriteError(w, "", err)
		return
	}
	deadline := time.Now().Add(e.Remaining)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	attempt := &inboundAttempt{envelope: e, request: r, deadline: deadline}
	res, err := h.run(ctx, w, attempt)
	level := attempt.levels.Strictest(h.Admission.Level(e.Service))
	w.Header().Set(HeaderLevel, level.String())
	if err != nil {
		record(h.Deps, "attempt.refused", e, h.Instance, string(fault.KindOf(err)))
		WriteError(w, e.RequestID, err)
		return
	}
	res.write(ctx, w)
}

// readEnvelope returns the envelope of a request that a daemon sent.
func readEnvelope(r *http.Request) (*envelope.Envelope, error) {
	peer, err := mesh.PeerOf(r.TLS)
	if err != nil {
		return nil, err
	}
	if err := peer.Allow(mesh.Daemon, mesh.Replica); err != nil {
		return nil, err
	}
	values := r.Header[envelope.Header]
	if len(values) != 1 {
		return nil, fault.New(fault.BadRequest, "a request on a peer link needs one request context")
	}
	e, err := envelope.Decode(values[0])
	if err != nil {
		return nil, err
	}
	if e.Depth > envelope.MaxDepth {
		return nil, fault.New(fault.DepthExceeded, "a call chain has at most %d hops", envelope.MaxDepth)
	}
	return e, nil
}

// runMesh admits the attempt and gives it to the target.
func (h *peerHandler) run(ctx context.Context, w http.ResponseWriter, attempt *inboundAttempt) (*response, error) {
	if err := h.checkStart(ctx, attempt.envelope); err != nil {
		return nil, err
	}
	var err error
	if attempt.body, err = readBody(ctx, w, attempt.request, h.bodyLimit()); err != nil {
		return nil, err
	}
	slot, err := h.Admission.Admit(ctx, attempt.envelope)
	if err != nil {
		return nil, err
	}
	if err := h.checkDispatch(ctx, attempt.envelope, slot.Address); err != nil {
		slot.Done(0, err, false)
		return nil, err
	}
	if attempt.envelope.Mode == version.Once {
		return h.runOnce(ctx, attempt, slot)
	}
	return h.dispatch(ctx, attempt, slot)
}

// checkDispatch checks everything that may have changed while the attempt
// waited. It is called again just before each dispatch.
func (h *peerHandler) checkDispatch(ctx context.Context, e *envelope.Envelope, address string) error {
	if err := h.Announced.Check(e.Service, address); err != nil {
		return err
	}
	return h.checkStart(ctx, e)
}

// checkStart checks the attempt against the state in force.
func (h *peerHandler) checkStart(ctx context.Context, e *envelope.Envelope) error {
	state, err := h.freshState()
	if err != nil {
		return err
	}
	if !state.DomainInService(h.FailureDomain) {
		return fault.New(fault.OutOfService, "the failure domain is out of service")
	}
	if !state.TargetInService(e.Service, h.Instance) {
		return fault.New(fault.OutOfService, "the target is out of service")
	}
	if e.Depth == 1 && e.KeyID != "" && !state.KeyInForce(e.KeyID) {
		return fault.New(fault.Unauthenticated, "the key is no longer in force")
	}
	return contextError(ctx)
}

// isValidKey returns a state that was held while the lease was good. The lease is
// checked between two looks at the state: a process that was frozen between
// them sees that the state has changed.
func (h *peerHandler) freshState() (*version.State, error) {
	for {
		before := h.Configuration.Current()
		if err := h.Configuration.Fresh(); err != nil {
			return nil, err
		}
		if h.Configuration.Current() == before {
			return before, nil
		}
	}
}

// contextError returns the kind of a context that ended before anything was sent.
func contextError(ctx context.Context) error {
	switch ctx.Err() {
	case nil:
		return nil
	case context.DeadlineExceeded:
		return fault.New(fault.DeadlineNotRun, "the deadline passed before the target was given the request")
	}
	return fault.New(fault.CallerGone, "the caller left")
}
