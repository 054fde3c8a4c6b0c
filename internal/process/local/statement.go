package local

import (
	"time"

	"go.uber.org/zap"
)

// Statement is what a target says about itself in a response.
type Statement struct {
	// Limit is the number of requests per second that the target takes from all
	// instances together. It is 0 if the target states none.
	Limit float64
	// Leaving is true if the target is to get no new requests.
	Leaving bool
}

// ReportStatement records what the target with this ID said about itself in a
// response.
func (t *Target) ReportStatement(id string, s Statement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.announced || t.lastHeartbeat.ID != id {
		return
	}
	now := t.options.Now()
	if s != t.stated {
		t.options.Log.Info("target states other limits in its responses", zap.String("id", id), zap.Float64("limit_per_second", s.Limit),
			zap.Float64("previous_limit_per_second", t.stated.Limit), zap.Bool("leaving", s.Leaving), zap.Int("sent_in_last_second", t.coldLimiter.Sent(now)))
	}
	t.stated = s
	t.logExcess(now)
}

// logExcess logs, at most once per minLogInterval, that the target got more requests
// in the last second than its stated limit.
func (t *Target) logExcess(now time.Time) {
	sent := t.coldLimiter.Sent(now)
	if t.stated.Limit == 0 || float64(sent) <= t.stated.Limit || now.Sub(t.excessLoggedAt) < minLogInterval {
		return
	}
	t.excessLoggedAt = now
	running, waiting, slots := t.limiter.Load()
	t.options.Log.Info("target got more requests than its stated limit", zap.String("id", t.lastHeartbeat.ID), zap.Float64("limit_per_second", t.stated.Limit),
		zap.Int("sent_in_last_second", sent), zap.Int("running", running), zap.Int("waiting", waiting), zap.Int("slots", slots))
}

// StatedLimit returns the number of requests per second that the target takes, or 0
// if it states no limit.
func (t *Target) StatedLimit() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stated.Limit
}
