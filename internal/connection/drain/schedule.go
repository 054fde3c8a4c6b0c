package drain

import "time"

// endMargin is the time between the interruption of the requests that are still open and
// the closing of their connections.
const endMargin = 100 * time.Millisecond

// Schedule is until when a process that shuts down serves requests. The zero value is that
// of a process that does not shut down.
type Schedule struct {
	// SelectiveFrom is when the announce period ends.
	SelectiveFrom time.Time
	// End is when the requests that are still open are interrupted.
	End time.Time
}

// Allows reports whether work may begin at a time that can last until another: in the
// announce period, or if it ends before the shutdown does.
func (s Schedule) Allows(begin, until time.Time) bool {
	return begin.Before(s.SelectiveFrom) || s.Outlasts(until)
}

// Outlasts reports whether this process still runs at a time.
func (s Schedule) Outlasts(until time.Time) bool {
	return s.End.IsZero() || !until.After(s.End)
}

// Bound returns d, or the time from now until the end of the shutdown if that is less.
func (s Schedule) Bound(now time.Time, d time.Duration) time.Duration {
	if s.End.IsZero() {
		return d
	}
	return min(d, s.End.Sub(now))
}
