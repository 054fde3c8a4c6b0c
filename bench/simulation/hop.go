package simulation

import (
	"context"
	"errors"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	productHop "github.com/teaselrack/teaselrack/internal/request/hop"
	"github.com/teaselrack/teaselrack/internal/version"
)

// hop is one call from a daemon, with its retries.
type hop struct {
	mesh    *mesh
	from    *daemon
	root    *daemon
	request *Request
	call    *Call
	depth   uint8
	cohort  uint8
	exclude []string
	// level is the strictest level that came back.
	level   *productHop.Level
	current *attempt
	ended   bool
	done    func(err error)
}

func (h *hop) envelope() *envelope.Envelope {
	return &envelope.Envelope{
		RequestID:  h.request.id,
		Team:       h.mesh.world.deployment.Teams[h.request.team].Name,
		Importance: h.request.route.Importance,
		Cohort:     h.cohort,
		Depth:      h.depth,
		Root:       h.root.name,
		Service:    h.call.Service,
		Mode:       version.Idempotent,
	}
}

func (h *hop) try() {
	w := h.mesh.world
	choice, err := h.from.router.Pick(h.envelope(), h.exclude)
	if err != nil {
		h.finish(err)
		return
	}
	w.figures.Hops++
	a := &attempt{hop: h, choice: choice, to: h.mesh.byName[choice.Target.Instance], sent: w.loop.Now()}
	h.current = a
	w.loop.After(delay(h.from.target.domain, a.to.target.domain), a.arrive)
}

// answered takes the end of an attempt at the sender.
func (h *hop) answered(a *attempt, err error, level *productHop.Level) {
	if a.over {
		return
	}
	a.over = true
	latency := h.mesh.world.loop.Now() - a.sent
	if errors.Is(err, childFailed) {
		a.choice.Done(latency, nil, level)
	} else {
		a.choice.Done(latency, err, level)
	}
	h.fold(level)
	if h.ended {
		return
	}
	if err == nil || !retryable(err) || !h.from.alive {
		h.finish(err)
		return
	}
	h.retry(a, err)
}

func retryable(err error) bool {
	if errors.Is(err, childFailed) {
		return false
	}
	kind := fault.KindOf(err)
	return fault.ResponseFor(kind).Retry || kind == fault.ConnectionLost
}

// retry asks the root for a permit and tries another target.
func (h *hop) retry(a *attempt, err error) {
	if !h.from.permits.Take(context.Background(), h.envelope()) {
		h.finish(err)
		return
	}
	h.request.retried()
	h.exclude = append(h.exclude, a.to.name)
	trip := 2 * delay(h.from.target.domain, h.root.target.domain)
	if h.from == h.root {
		trip = 0
	}
	h.mesh.world.loop.After(trip, func() {
		if !h.ended {
			h.try()
		}
	})
}

func (h *hop) fold(level *productHop.Level) {
	if level == nil {
		return
	}
	if h.level == nil {
		h.level = level
		return
	}
	l := h.level.Stricter(*level)
	h.level = &l
}

func (h *hop) finish(err error) {
	if h.ended {
		return
	}
	h.ended = true
	h.done(err)
}

// cancel ends the call and what runs below it.
func (h *hop) cancel() {
	if h.ended {
		return
	}
	h.ended = true
	if a := h.current; a != nil && !a.over {
		a.over = true
		a.choice.Done(h.mesh.world.loop.Now()-a.sent, h.endKind(), nil)
		a.cancel()
	}
}

// endKind is what a sender knows when the deadline passed without an answer.
func (h *hop) endKind() error {
	if h.mesh.world.loop.Now() >= h.request.deadline {
		return fault.New(fault.DeadlineUnknown, "deadline")
	}
	return fault.New(fault.CallerGone, "the caller left")
}

func (h *hop) remaining() time.Duration {
	return h.request.deadline - h.mesh.world.loop.Now()
}
