package admission

import "time"

const (
	// overdueShare is the part of the running requests that must be overdue
	// for new ones to be held back, between minOverdue and maxOverdue of them.
	overdueShare = 0.3
	minOverdue   = 2
	maxOverdue   = 8
	// overdueSlack is added to the usual time of a request.
	overdueSlack = 2 * time.Millisecond
	// overdueSamples is how many times must be known.
	overdueSamples = 24
)

// running is the list of the tickets that the target works on itself, the one
// with the longest such work first.
type running struct {
	oldest, newest *Ticket
	count          int
}

func (r *running) add(now time.Time, t *Ticket) {
	r.count++
	t.since = now
	t.older = r.newest
	if r.newest == nil {
		r.oldest = t
	} else {
		r.newest.newer = t
	}
	r.newest = t
}

func (r *running) remove(t *Ticket) {
	r.count--
	if t.older == nil {
		r.oldest = t.newer
	} else {
		t.older.newer = t.newer
	}
	if t.newer == nil {
		r.newest = t.older
	} else {
		t.newer.older = t.older
	}
	t.older, t.newer = nil, nil
}

// overdue reports whether need running requests take longer than nearly all did
// before, so that the target may have turned cold. It shows this before the
// first slow completion can.
func (r *running) overdue(now time.Time, need int, usual *latency) bool {
	if r.count < need || usual.samples < overdueSamples {
		return false
	}
	t := r.oldest
	for range need - 1 {
		t = t.newer
	}
	return now.Sub(t.since) > time.Duration(usual.tail)+overdueSlack
}
