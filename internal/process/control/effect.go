package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// ContactTimeout is how long after its last renewal a daemon counts as being in
	// contact with the replicas: longer than a renewal takes to get past a replica that
	// does not reply.
	ContactTimeout = 1500 * time.Millisecond
	// DefaultEffectTimeout is how long the acknowledgment of an order waits for daemons
	// that are in contact and do not put it into effect.
	DefaultEffectTimeout = 3 * time.Second
	// effectCheckInterval is the time between two checks of what an acknowledgment waits
	// for.
	effectCheckInterval = 20 * time.Millisecond
)

// effectWait is what the acknowledgments of this replica wait for: that a version of the
// configuration is in effect on all daemons in contact. Calls for the same version share
// it, so that an order that is sent again waits no longer than one.
type effectWait struct {
	mu     sync.Mutex
	number uint64
	// term is that of the leader that waits. What an earlier leader waited does not count:
	// daemons may not have been able to reach a quorum meanwhile.
	term  uint64
	began time.Time
}

// begin returns when the wait for a version began.
func (w *effectWait) begin(number, term uint64, now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.number != number || w.term != term {
		w.number, w.term, w.began = number, term, now
	}
	return w.began
}

// awaitEffect returns nil once each daemon in contact with the group acts on a version or a
// later one, or EffectTimeout after the first such call for that version. Leader only.
// What is acknowledged afterwards holds on these daemons whichever replicas are lost.
// Errors: NotInEffect.
func (s *Service) awaitEffect(ctx context.Context, number uint64) error {
	committed := s.options.Clock()
	began := s.effect.begin(number, s.options.Group.Status().Term, committed)
	ticker := time.NewTicker(effectCheckInterval)
	defer ticker.Stop()
	for {
		now := s.options.Clock()
		if _, leads := s.options.Group.Leader(); !leads {
			return fault.New(fault.NotInEffect, "this replica lost its leadership before version %d was known to be in effect on all daemons", number)
		}
		complete := s.pauses.runningFor(now) >= ContactTimeout && s.registryIsComplete(committed)
		behind := s.options.Registry.Behind(now, number, ContactTimeout)
		if complete && len(behind) == 0 {
			return nil
		}
		if now.Sub(began) >= s.options.EffectTimeout {
			s.options.Log.Warn("acknowledging a configuration that is not known to be in effect on all daemons in contact", zap.Uint64("number", number),
				zap.Duration("waited", now.Sub(began)), zap.Bool("all_daemons_known", complete), zap.Strings("behind", behind))
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.Wrap(fault.NotInEffect, ctx.Err(), "version %d is accepted, but not yet known to be in effect on all daemons; behind are %v", number, behind)
		case <-ticker.C:
		}
	}
}

// registryIsComplete reports whether this replica knows all daemons that renewed with a
// replying member before the time since. Leader only.
func (s *Service) registryIsComplete(since time.Time) bool {
	for _, m := range s.options.Group.Status().Members {
		if m.Address != s.options.Address && m.Silent < ContactTimeout && s.exchanges.lastBegan(m.Address).Before(since) {
			return false
		}
	}
	return true
}
