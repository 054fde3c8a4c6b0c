package admission

import "time"

const (
	// overdueFraction is the fraction of the running requests that must be
	// overdue for new ones to be held back. The resulting number is clamped to
	// minOverdue and maxOverdue.
	overdueFraction = 0.3
	minOverdue      = 2
	maxOverdue      = 8
	// overdueSlack is added to the tail latency before a request counts as
	// overdue.
	overdueSlack = 2 * time.Millisecond
	// overdueSamples is the number of samples needed before requests can count
	// as overdue.
	overdueSamples = 24
)

// workList is the linked list of the tickets that the target itself works on, in
// the order in which their current work began.
type workList struct {
	oldest, newest *Ticket
	count          int
}

func (l *workList) add(now time.Time, t *Ticket) {
	l.count++
	t.workingSince = now
	t.older = l.newest
	if l.newest == nil {
		l.oldest = t
	} else {
		l.newest.newer = t
	}
	l.newest = t
}

func (l *workList) remove(t *Ticket) {
	l.count--
	if t.older == nil {
		l.oldest = t.newer
	} else {
		t.older.newer = t.newer
	}
	if t.newer == nil {
		l.newest = t.older
	} else {
		t.newer.older = t.older
	}
	t.older, t.newer = nil, nil
}

// overdue returns how many requests the target has worked on for longer than
// limit, and how many of them started after since and are not known to be slow yet.
func (l *workList) overdue(now time.Time, limit time.Duration, since time.Time) (all, recent int) {
	for t := l.oldest; t != nil && now.Sub(t.workingSince) > limit; t = t.newer {
		all++
		if !t.slow && t.started.After(since) {
			recent++
		}
	}
	return all, recent
}
