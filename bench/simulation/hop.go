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

// hop is one call from a daemon to a service, with its retries.
type hop struct {
	mesh    *mesh
	from    *daemon
	root    *daemon
	request *Request
	call    *Call
	depth   uint8
	cohort  uint8
	exclude []string
	// level is the strictest load level that the attempts returned.
	level   *productHop.Level
	current *attempt
	ended   bool
	done    func(err error)
}

func (h *hop) envelope() *envelope.Envelope {
	return &envelope.Envelope{
		RequestID:  h.request.id,
		Team:       h.mesh.sim.deployment.Teams[h.request.team].Name,
		Importance: h.request.route.Importance,
		Cohort:     h.cohort,
		Depth:      h.depth,
		Root:       h.root.name,
		Service:    h.call.Service,
		Mode:       version.Idempotent,
	}
}

func (h *hop) sendAttempt() {
	sim := h.mesh.sim
	choice, err := h.from.router.Pick(h.envelope(), h.exclude)
	if err != nil {
		h.finish(err)
		return
	}
	sim.stats.Hops++
	a := &attempt{hop: h, choice: choice, daemon: h.mesh.byName[choice.Target.Instance], sentAt: sim.loop.Now()}
	h.current = a
	sim.loop.After(networkDelay(h.from.target.domain, a.daemon.target.domain), a.arrive)
}

// handleReply handles the result of an attempt at the sender.
func (h *hop) handleReply(a *attempt, err error, level *productHop.Level) {
	if a.senderDone {
		return
	}
	a.senderDone = true
	latency := h.mesh.sim.loop.Now() - a.sentAt
	if errors.Is(err, errChildFailed) {
		a.choice.Done(latency, nil, level)
	} else {
		a.choice.Done(latency, err, level)
	}
	h.mergeLevel(level)
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
	if errors.Is(err, errChildFailed) {
		return false
	}
	kind := fault.KindOf(err)
	return fault.ResponseFor(kind).Retry || kind == fault.ConnectionLost
}

// retry requests a permit from the root and then sends an attempt to another
// target.
func (h *hop) retry(a *attempt, err error) {
	if !h.from.permits.Take(context.Background(), h.envelope()) {
		h.finish(err)
		return
	}
	h.request.countRetry()
	h.exclude = append(h.exclude, a.daemon.name)
	roundTrip := 2 * networkDelay(h.from.target.domain, h.root.target.domain)
	if h.from == h.root {
		roundTrip = 0
	}
	h.mesh.sim.loop.After(roundTrip, func() {
		if !h.ended {
			h.sendAttempt()
		}
	})
}

func (h *hop) mergeLevel(level *productHop.Level) {
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

// cancel ends the call and all its downstream calls.
func (h *hop) cancel() {
	if h.ended {
		return
	}
	h.ended = true
	if a := h.current; a != nil && !a.senderDone {
		a.senderDone = true
		a.choice.Done(h.mesh.sim.loop.Now()-a.sentAt, h.cancelCause(), nil)
		a.cancel()
	}
}

// cancelCause returns the error that the sender records for a canceled attempt:
// the deadline passed without a response, or the client canceled the request.
func (h *hop) cancelCause() error {
	if h.mesh.sim.loop.Now() >= h.request.deadline {
		return fault.New(fault.DeadlineUnknown, "deadline")
	}
	return fault.New(fault.CallerGone, "client canceled the request")
}

func (h *hop) remaining() time.Duration {
	return h.request.deadline - h.mesh.sim.loop.Now()
}
