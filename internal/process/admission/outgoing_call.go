package admission

import "time"

// Calling tells that the target began or ended a call of its own for a running
// ticket. The time in which at least one such call runs does not count as the
// target's own.
func (q *Queue) Calling(now time.Time, t *Ticket, began bool) {
	if t.Phase != Running {
		return
	}
	q.advance(now)
	if began {
		q.began(now, t)
		return
	}
	q.ended(now, t)
}

func (q *Queue) began(now time.Time, t *Ticket) {
	t.calls++
	if t.calls == 1 {
		t.called = now
		q.working.remove(t)
	}
}

func (q *Queue) ended(now time.Time, t *Ticket) {
	if t.calls == 0 {
		return
	}
	t.calls--
	if t.calls == 0 {
		t.waited += now.Sub(t.called)
		q.working.add(now, t)
	}
}

// stop takes a ticket that ends out of the working ones.
func (q *Queue) stop(now time.Time, t *Ticket) {
	if t.calls == 0 {
		q.working.remove(t)
		return
	}
	t.waited += now.Sub(t.called)
	t.calls = 0
}
