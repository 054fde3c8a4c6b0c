package control

import (
	"context"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
)

// acceptance remembers when this replica first saw the version in force.
type acceptance struct {
	mu     sync.Mutex
	number uint64
	since  time.Time
}

// seen returns how long number has been known here.
func (a *acceptance) seen(number uint64, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.number != number || a.since.IsZero() {
		a.number = number
		a.since = now
	}
	return now.Sub(a.since)
}

// Watch keeps track of when versions were first seen, until ctx ends.
func (s *Service) Watch(ctx context.Context) {
	every(ctx, watchInterval, func() {
		s.accepted.seen(s.o.Machine.State().Number(), s.o.Clock())
		s.tokens.lead()
	})
}

const watchInterval = 50 * time.Millisecond

// Status describes the replica groups and the daemons that renewed.
func (s *Service) Status(ctx context.Context, _ mesh.Peer, _ protocol.Empty) (protocol.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmed := s.o.Group.Confirm(ctx) == nil
	state := s.o.Machine.State()
	now := s.o.Clock()
	reply := protocol.StatusReply{
		Version:   state.Number(),
		Digest:    state.Digest(),
		Confirmed: confirmed,
		Daemons:   s.o.Registry.Daemons(now),
	}
	for _, group := range s.groups() {
		reply.Replicas = append(reply.Replicas, group.Status())
	}
	// One lease after the version was seen, no daemon can act on an older one.
	expired := s.accepted.seen(state.Number(), now) >= configuration.FreshnessLease
	reply.InForce = confirmed && expired && allReport(reply.Daemons, state.Number())
	return reply, nil
}

func allReport(daemons []protocol.DaemonStatus, number uint64) bool {
	for _, daemon := range daemons {
		if daemon.RenewedAgo < configuration.FreshnessLease && daemon.Version < number {
			return false
		}
	}
	return true
}
