package hop

import (
	"context"
	"net/http"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/version"
)

// NewPeer returns the handler of the peer listener, which receives requests from
// other daemons. All requests to the local targets pass through it, so it knows
// for certain whether a request was dispatched to a target.
func NewPeer(d Deps) drain.LimitedHandler {
	return &peerHandler{Deps: d}
}

type peerHandler struct {
	Deps
}

// inboundAttempt is one attempt that the peer listener received.
type inboundAttempt struct {
	envelope *envelope.Envelope
	request  *http.Request
	body     []byte
	deadline time.Time
	// levels collects the load-shedding levels that the target's outgoing calls
	// returned.
	levels envelope.Levels
}

// ServeHTTP rejects the attempt or forwards the response of the target.
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

// readEnvelope checks that the sender of r is a daemon or a replica, and returns
// the envelope of the request. Errors: Forbidden, BadRequest, TooLarge,
// DepthExceeded.
func readEnvelope(r *http.Request) (*envelope.Envelope, error) {
	peer, err := mesh.PeerOf(r.TLS)
	if err != nil {
		return nil, err
	}
	if err := peer.RequireRole(mesh.Daemon, mesh.Replica); err != nil {
		return nil, err
	}
	values := r.Header[envelope.Header]
	if len(values) != 1 {
		return nil, fault.New(fault.BadRequest, "a request on a peer link must have exactly one request envelope")
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

// run waits until the attempt is admitted and dispatches it to the target.
func (h *peerHandler) run(ctx context.Context, w http.ResponseWriter, attempt *inboundAttempt) (*response, error) {
	if err := h.checkStart(ctx, attempt.envelope); err != nil {
		return nil, err
	}
	var err error
	reservation := listener.ReservationFor(ctx)
	defer reservation.Release()
	if attempt.body, err = readBody(ctx, w, attempt.request, h.bodyLimit(), reservation); err != nil {
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

// checkDispatch checks everything that may have changed while the attempt waited
// for admission or for its claim. It is called just before each dispatch. Errors:
// NoTarget, TargetLeaving, and those of checkStart.
func (h *peerHandler) checkDispatch(ctx context.Context, e *envelope.Envelope, address string) error {
	if err := h.LocalTargets.Check(e.Service, address); err != nil {
		return err
	}
	return h.checkStart(ctx, e)
}

// checkStart checks that the configuration in effect and ctx still allow the attempt
// to run. Errors: LeaseExpired, OutOfService, Unauthenticated, DeadlineNotRun,
// CallerGone.
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
	if e.Depth == 1 && e.KeyID != "" && !state.KeyInEffect(e.KeyID) {
		return fault.New(fault.Unauthenticated, "the API key is no longer valid")
	}
	return contextError(ctx)
}

// freshState returns a state that was current while the lease was valid. It checks
// the lease between two reads of the state. If the process was suspended between
// them, the second read shows whether the state has changed meanwhile.
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

// contextError returns the error of a context that was done before anything was
// sent to the target, or nil.
func contextError(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return fault.OfContext(ctx, nil, false)
}
