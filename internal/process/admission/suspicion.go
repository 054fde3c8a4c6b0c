package admission

import "time"

const (
	// suspectCount is the number of usual latencies that clear the suspicion
	// that a target became cold.
	suspectCount = 3
	// suspectedJumpStreak is the number of consecutive slow latencies that
	// confirm the suspicion.
	suspectedJumpStreak = 3
	// suspectSlowRun is the number of requests that, one after the other, were slow
	// and raise the suspicion, whether they have ended or still run.
	suspectSlowRun = 3
	// suspectLimit is the limit while the suspicion lasts.
	suspectLimit = 2
	// toleratedAlarms is the number of false alarms without effect.
	// maxAlarmBackoff bounds the number of doublings caused by the others.
	toleratedAlarms = 3
	maxAlarmBackoff = 5
	// alarmDecay is the number of usual latencies after which one false alarm
	// is forgotten.
	alarmDecay = 1 << 14
)

// suspicion limits a target with overdue requests until it has shown usual
// latencies again. After toleratedAlarms, each false alarm doubles the number
// of overdue requests that the next suspicion needs. A target with a few slow
// requests in its mix raises false alarms, and so is soon no longer limited.
type suspicion struct {
	// remaining is the number of usual latencies still needed; 0 means no
	// suspicion.
	remaining   int
	falseAlarms int
	// slowRun is the number of requests that started after lastUsualStart, the latest
	// start of a request that was not slow, and are known to be slow because the
	// target has ended its work on them. runStart is the start of the first of them.
	slowRun        int
	runStart       time.Time
	lastUsualStart time.Time
	// usualCount is the number of usual latencies since falseAlarms last
	// changed.
	usualCount int
}

func (s *suspicion) raise() { s.remaining = suspectCount }

func (s *suspicion) active() bool { return s.remaining > 0 }

// streak returns the number of consecutive slow latencies that show that the
// target became cold. It is lower while the suspicion lasts, and higher after
// false alarms.
func (s *suspicion) streak() int {
	if s.active() {
		return suspectedJumpStreak + s.alarmBackoff()
	}
	return jumpStreak + s.alarmBackoff()
}

// observeSlow counts a request that started at started and was slow.
func (s *suspicion) observeSlow(started time.Time) {
	if !started.After(s.lastUsualStart) {
		return
	}
	if s.slowRun == 0 || started.Before(s.runStart) {
		s.runStart = started
	}
	s.slowRun++
}

// endRun records that a request that started at started was not slow. Only later
// ones can then show that the target became cold.
func (s *suspicion) endRun(started time.Time) {
	if started.After(s.lastUsualStart) {
		s.lastUsualStart = started
	}
	if !started.Before(s.runStart) {
		s.slowRun = 0
	}
}

// isRun reports whether enough consecutive requests are slow for a suspicion.
// overdue is the number of those that the target still works on.
func (s *suspicion) isRun(overdue int) bool {
	return s.slowRun+overdue >= suspectSlowRun+s.alarmBackoff()
}

// confirmed ends the suspicion because a cold start begins. Whether it was a
// false alarm cannot be determined, so it counts as one.
func (s *suspicion) confirmed() {
	s.remaining, s.usualCount = 0, 0
	s.falseAlarms++
}

// observeUsual counts a completion that was not slow.
func (s *suspicion) observeUsual() {
	s.usualCount++
	if s.remaining > 0 {
		s.remaining--
		if s.remaining == 0 {
			s.falseAlarms++
			s.usualCount = 0
		}
	}
	if s.falseAlarms > 0 && s.usualCount >= alarmDecay {
		s.falseAlarms--
		s.usualCount = 0
	}
}

// need returns how many of count requests must be overdue for a suspicion. The
// result may exceed count, which rules a suspicion out.
func (s *suspicion) need(count int) int {
	n := int(overdueFraction*float64(count) + 1)
	return min(max(n, minOverdue), maxOverdue) << s.alarmBackoff()
}

// alarmBackoff returns the number of doublings of the evidence needed. It grows
// with the false alarms after the tolerated ones.
func (s *suspicion) alarmBackoff() int {
	return min(max(s.falseAlarms-toleratedAlarms, 0), maxAlarmBackoff)
}
