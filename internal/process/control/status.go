package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
)

// versionTracker records when this replica first saw the version in effect.
type versionTracker struct {
	mu      sync.Mutex
	version uint64
	since   time.Time
	// logged is the last version that was logged as being in effect on all daemons. Only
	// WatchState uses it.
	logged uint64
}

// observe records version and returns how long ago this replica first saw it.
func (v *versionTracker) observe(version uint64, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.version != version || v.since.IsZero() {
		v.version = version
		v.since = now
	}
	return now.Sub(v.since)
}

// WatchState records when versions are first seen and when this process was paused, and
// resets the quota issuer soon after this replica becomes leader, until ctx ends.
func (s *Service) WatchState(ctx context.Context) {
	every(ctx, watchInterval, func() {
		s.pauses.observe(s.options.Clock())
		s.logInEffect()
		s.tokens.checkLeadership()
	})
}

// logInEffect logs on the leader, once for each version, that every daemon in contact has
// the version in effect, and how long after this replica first saw it.
func (s *Service) logInEffect() {
	now, number := s.options.Clock(), s.options.Machine.State().Number()
	age := s.versions.observe(number, now)
	if _, leads := s.options.Group.Leader(); !leads || number == s.versions.logged || len(s.options.Registry.Behind(now, number, ContactTimeout)) > 0 {
		return
	}
	s.versions.logged = number
	s.options.Log.Info("configuration is in effect on all daemons in contact", zap.Uint64("number", number), zap.Duration("after", age))
}

// watchInterval is the time between two checks of WatchState.
const watchInterval = 50 * time.Millisecond

// Status returns the status of this replica in each group, and of the daemons
// that have renewed within registry.RecordTTL. InEffect is true once the version
// is in effect on every daemon.
func (s *Service) Status(ctx context.Context, _ mesh.Peer, _ protocol.Empty) (protocol.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmed := s.options.Group.ReadBarrier(ctx) == nil
	state := s.options.Machine.State()
	now := s.options.Clock()
	reply := protocol.StatusReply{
		Version:   state.Number(),
		Digest:    state.Digest(),
		Confirmed: confirmed,
		Daemons:   s.options.Registry.Daemons(now),
	}
	for _, group := range s.groups() {
		reply.Replicas = append(reply.Replicas, group.Status())
	}
	// Without a renewal a daemon uses a version for at most one freshness lease.
	// So one lease after this version was first seen, no older one is in use.
	expired := s.versions.observe(state.Number(), now) >= configuration.FreshnessLease
	reply.InEffect = confirmed && expired && allDaemonsAt(reply.Daemons, state.Number())
	return reply, nil
}

// allDaemonsAt reports whether every daemon that renewed within one freshness
// lease has version or a later one.
func allDaemonsAt(daemons []protocol.DaemonStatus, version uint64) bool {
	for _, daemon := range daemons {
		if daemon.RenewedAgo < configuration.FreshnessLease && daemon.Version < version {
			return false
		}
	}
	return true
}
