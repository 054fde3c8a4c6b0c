package admission

import "time"

const (
	// stallRatio is how long after the high quantile of the usual times a
	// target without any completion counts as stalled.
	stallRatio = 1.5
	// stallSlack is added to it.
	stallSlack = 2 * time.Millisecond
	// stallSamples is how many times must be known.
	stallSamples = 64
	// stallJudged is how many completions after a stall are judged before
	// anything new is dispatched.
	stallJudged = 4
)

// stall notices a target that has requests and completes none, before the
// first slow completion can show it. It holds new requests back until a few
// completions have shown whether the target turned cold.
type stall struct {
	progress time.Time
	judging  int
}

func (s *stall) dispatched(now time.Time, inFlight int) {
	if inFlight == 1 {
		s.progress = now
	}
}

func (s *stall) completed(now time.Time) {
	s.progress = now
	s.judging = max(s.judging-1, 0)
}

// holds reports whether nothing new may be dispatched now.
func (s *stall) holds(now time.Time, inFlight int, usual *latency) bool {
	if inFlight < 2 {
		s.judging = 0
		return false
	}
	if s.judging > 0 {
		return true
	}
	if usual.samples < stallSamples {
		return false
	}
	if now.Sub(s.progress) <= time.Duration(stallRatio*usual.tail)+stallSlack {
		return false
	}
	s.judging = min(stallJudged, inFlight)
	return true
}
