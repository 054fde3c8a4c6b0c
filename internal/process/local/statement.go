package local

import (
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/process/limiter"
)

// ReportStatement records what the target said about itself in a response to the
// request of this slot, and sets the incarnation of the statement.
func (s *Slot) ReportStatement(statement *protocol.Statement) {
	statement.Incarnation = s.heartbeat.incarnation()
	if s.target.report(s.heartbeat, *statement) {
		s.target.options.Changed()
	}
}

// report reports whether the announcement of the target has changed.
func (t *Target) report(heartbeat Heartbeat, statement protocol.Statement) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lastHeartbeat.sameIncarnation(heartbeat) {
		return false
	}
	t.responded = true
	now := t.options.Now()
	t.observe(now, statement)
	t.logExcess(now)
	if !statement.Leaving || t.lastHeartbeat.Leaving {
		return false
	}
	t.lastHeartbeat.Leaving = true
	t.limiter.RejectAll()
	return true
}

// AdoptStatement records what another daemon knows about the target. It matters only
// until the target has responded to this daemon, which may have restarted.
func (t *Target) AdoptStatement(s protocol.Statement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !s.Limited || t.responded || !t.announced || s.Incarnation != t.lastHeartbeat.incarnation() {
		return
	}
	now := t.options.Now()
	t.observe(now, s)
}

// forgetStatement forgets what an earlier incarnation said about itself.
func (t *Target) forgetStatement(now time.Time) {
	previous := t.stated.Statement
	t.stated = protocol.LatestStatement{}
	t.applyStatement(now, previous)
}

// observe updates what the target says about itself.
func (t *Target) observe(now time.Time, s protocol.Statement) {
	previous := t.stated.Statement
	t.stated.Observe(now, s)
	t.applyStatement(now, previous)
}

// applyStatement applies the stated limit.
func (t *Target) applyStatement(now time.Time, previous protocol.Statement) {
	s := t.stated
	if s.Limited == previous.Limited && s.Limit == previous.Limit && s.Leaving == previous.Leaving {
		return
	}
	t.options.Log.Info("target states other limits in its responses", zap.String("id", t.lastHeartbeat.ID), zap.Bool("limited", s.Limited),
		zap.Float64("limit_per_second", s.Limit), zap.Float64("previous_limit_per_second", previous.Limit), zap.Bool("leaving", s.Leaving),
		zap.Int("sent_in_last_second", t.coldLimiter.Sent(now)))
	rate := 0.0
	if s.Limited {
		rate = max(s.Limit, limiter.MinRate)
	}
	t.limiter.SetRate(now, rate)
	t.dispatchWaiting(now)
}

// logExcess logs, at most once per minLogInterval, that the target got more requests
// in the last second than its stated limit and the burst allow.
func (t *Target) logExcess(now time.Time) {
	sent := t.coldLimiter.Sent(now)
	if !t.stated.Limited || float64(sent) <= t.stated.Limit+limiter.RateBurst || now.Sub(t.excessLoggedAt) < minLogInterval {
		return
	}
	t.excessLoggedAt = now
	running, waiting, slots := t.limiter.Load()
	t.options.Log.Info("target got more requests than its stated limit", zap.String("id", t.lastHeartbeat.ID), zap.Float64("limit_per_second", t.stated.Limit),
		zap.Int("sent_in_last_second", sent), zap.Int("running", running), zap.Int("waiting", waiting), zap.Int("slots", slots))
}

// StatedLimit returns the number of requests per second that the target takes. ok is
// false if it states no limit.
func (t *Target) StatedLimit() (limit float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stated.Limit, t.stated.Limited
}
