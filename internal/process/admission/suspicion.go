package admission

const (
	// suspectCount is how many usual times clear a target of the suspicion that
	// it turned cold.
	suspectCount = 3
	// suspectStreak is how many slow times in a row confirm it.
	suspectStreak = 3
	// suspectLimit is the limit during the suspicion.
	suspectLimit = 2
	// forgiven is how many false alarms change nothing, and maxDoubt bounds what
	// the others change.
	forgiven = 3
	maxDoubt = 5
	// alarmLife is how many usual times make up for one false alarm.
	alarmLife = 1 << 14
)

// suspicion limits a target some of whose requests are overdue, until it has
// shown usual times again. Each false alarm makes the next one need twice as
// many overdue requests, so that a mix with a few slow requests, which looks
// the same, is soon left alone.
type suspicion struct {
	// left is how many usual times are needed still; 0 is no suspicion.
	left   int
	alarms int
	usual  int
}

func (s *suspicion) raise() { s.left = suspectCount }

func (s *suspicion) active() bool { return s.left > 0 }

// streak is how many slow times in a row confirm that the target turned cold.
func (s *suspicion) streak() int {
	if s.active() {
		return suspectStreak + s.doubt()
	}
	return jumpStreak + s.doubt()
}

// confirmed ends the suspicion with a cold start. Whether it was a false alarm
// can't be seen, so it counts as one.
func (s *suspicion) confirmed() {
	s.left, s.usual = 0, 0
	s.alarms++
}

// usualTime counts a completion that took no longer than usual.
func (s *suspicion) usualTime() {
	s.usual++
	if s.left > 0 {
		s.left--
		if s.left == 0 {
			s.alarms++
			s.usual = 0
		}
	}
	if s.alarms > 0 && s.usual >= alarmLife {
		s.alarms--
		s.usual = 0
	}
}

// need is how many of count requests must be overdue for a suspicion; more than
// count for none.
func (s *suspicion) need(count int) int {
	n := int(overdueShare*float64(count) + 1)
	return min(max(n, minOverdue), maxOverdue) << s.doubt()
}

// doubt grows with the false alarms; the first few are forgiven.
func (s *suspicion) doubt() int {
	return min(max(s.alarms-forgiven, 0), maxDoubt)
}
