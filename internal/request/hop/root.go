package hop

import (
	"context"
	"net/http"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/version"
)

// NewRoot returns the handler of the ingress listener, which serves callers. The
// handler assigns the ID, team, importance, cohort and deadline of a request, and
// removes the API key.
func NewRoot(d Deps) drain.LimitedHandler {
	return &root{Deps: d, sender: newSender(d)}
}

type root struct {
	Deps
	sender *sender
}

// ServeHTTP rejects the request or forwards the response of a target.
func (h *root) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := envelope.NewID()
	w.Header().Set(HeaderRequest, id)
	c, err := h.newCall(r, id)
	if err != nil {
		h.reject(w, c, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout)
	defer cancel()
	h.Permits.Open(id, c.route.Retries)
	defer h.Permits.Close(id)
	res, err := h.run(ctx, w, r, c)
	if err != nil {
		h.reject(w, c, err)
		return
	}
	h.recordEvent("request.answered", c, "")
	res.write(ctx, w)
}

// run takes a token from the team's quota, reads the body and sends the request.
func (h *root) run(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) (*response, error) {
	if err := h.takeQuota(ctx, c.envelope.Team); err != nil {
		return nil, err
	}
	h.recordEvent("request.accepted", c, c.route.Name)
	var err error
	reservation := listener.ReservationFor(ctx)
	defer reservation.Release()
	if c.body, err = readBody(ctx, w, r, h.bodyLimit(), reservation); err != nil {
		return nil, err
	}
	return h.sender.send(ctx, c)
}

// newCall authenticates and validates the request and fills in its envelope. It
// needs neither the body nor another process. The returned call is never nil, so
// that a rejection can be recorded with what is known by then.
func (h *root) newCall(r *http.Request, id string) (*call, error) {
	c := &call{method: r.Method}
	c.envelope.RequestID = id
	if err := h.checkSyntax(r); err != nil {
		return c, err
	}
	state := h.Configuration.Current()
	if err := h.Configuration.Fresh(); err != nil {
		return c, err
	}
	route, ok := state.Route(r.Method, r.URL.Path)
	if !ok || route.Access == version.Internal {
		return c, fault.New(fault.UnknownRoute, "no route serves this method and path")
	}
	c.route = route
	key := bearerKey(r.Header)
	if err := h.authenticate(c, state, key); err != nil {
		return c, err
	}
	if err := c.populate(r, newScrubber(key, validKeyFunc(state))); err != nil {
		return c, err
	}
	c.envelope.Importance = route.Importance
	c.envelope.Cohort = envelope.CohortOf(id)
	c.envelope.Depth = 1
	c.envelope.Root = h.PeerAddress
	c.envelope.Version = state.Number()
	return c, nil
}

func validKeyFunc(state *version.State) func(secret string) bool {
	return func(secret string) bool {
		_, ok := state.Key(secret)
		return ok
	}
}

// authenticate sets the team that the request is charged to: the team of its key,
// or the open team on an open route.
func (h *root) authenticate(c *call, state *version.State, key string) error {
	if c.route.Access == version.Open {
		c.envelope.Team = version.OpenTeam
		return nil
	}
	if key == "" {
		return fault.New(fault.Unauthenticated, "this route requires an API key")
	}
	k, ok := state.Key(key)
	if !ok {
		return fault.New(fault.Unauthenticated, "the API key is not valid")
	}
	c.envelope.Team = k.Team
	c.envelope.KeyID = k.ID
	return nil
}

// takeQuota takes one token of the team. Requests on open routes are limited only
// if the configuration sets a rate for the open team.
func (h *root) takeQuota(ctx context.Context, team string) error {
	if team == version.OpenTeam {
		if _, ok := h.Configuration.Current().Team(team); !ok {
			return nil
		}
	}
	return h.Quota.Take(ctx, team)
}

func (h *root) reject(w http.ResponseWriter, c *call, err error) {
	h.recordEvent("request.refused", c, string(fault.KindOf(err)))
	WriteError(w, c.envelope.RequestID, err)
}

func (h *root) recordEvent(name string, c *call, detail string) {
	record(h.Deps, name, &c.envelope, "", detail)
}
