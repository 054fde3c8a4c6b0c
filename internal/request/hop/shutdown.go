package hop

import (
	"net/http"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
)

// TimeLimit returns the timeout of a request. It is 0 for a request that is rejected
// without being forwarded. Callers may know no other process.
func (h *root) TimeLimit(r *http.Request) (limit time.Duration, movable bool) {
	route, ok := h.Configuration.Current().Route(r.Method, r.URL.Path)
	if !ok {
		return 0, false
	}
	limit, err := requestTimeout(r, route)
	if err != nil {
		return 0, false
	}
	return limit, false
}

// Refuse rejects a request that may not end before this process does.
func (h *root) Refuse(w http.ResponseWriter, r *http.Request) {
	c := &call{method: r.Method, envelope: envelope.Envelope{RequestID: envelope.NewID()}}
	w.Header().Set(HeaderRequest, c.envelope.RequestID)
	limit, _ := h.TimeLimit(r)
	h.reject(w, c, fault.New(fault.ShuttingDown, "this process stops before the request's timeout of %s", limit))
}

// TimeLimit returns 0: a call belongs to a request that this process has accepted, and
// that fails if the call is refused.
func (h *egress) TimeLimit(*http.Request) (limit time.Duration, movable bool) { return 0, false }

// Refuse rejects a call. See TimeLimit.
func (h *egress) Refuse(w http.ResponseWriter, r *http.Request) {
	h.reject(w, &call{method: r.Method}, fault.New(fault.ShuttingDown, "this process stops before the call ends"))
}

// TimeLimit returns the time that the sender of r allows. It is 0 for a request that is
// rejected without being dispatched, and for one that is not meant for a target. It is not
// movable: each further attempt of its sender takes a permit of the whole call chain.
func (h *peerHandler) TimeLimit(r *http.Request) (limit time.Duration, movable bool) {
	if len(r.Header[envelope.Header]) == 0 {
		return 0, false
	}
	e, err := readEnvelope(r)
	if err != nil {
		return 0, false
	}
	return e.Remaining, false
}

// Refuse rejects a request that may not end before this process does. Its sender may try
// another target.
func (h *peerHandler) Refuse(w http.ResponseWriter, r *http.Request) {
	e, err := readEnvelope(r)
	if err != nil {
		WriteError(w, "", err)
		return
	}
	err = fault.New(fault.ShuttingDown, "the daemon of the target stops before the request's time limit of %s", e.Remaining.Round(time.Millisecond))
	w.Header().Set(HeaderLevel, h.Admission.Level(e.Service).String())
	record(h.Deps, "attempt.refused", e, h.Instance, string(fault.KindOf(err)))
	WriteError(w, e.RequestID, err)
}
