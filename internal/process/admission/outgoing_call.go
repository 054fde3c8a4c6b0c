package admission

import "time"

// OutgoingCall records that the target began or ended a call of its own for a
// running ticket. It ignores other tickets. Time during which at least one such
// call is open does not count as the target's own time.
func (q *Queue) OutgoingCall(now time.Time, t *Ticket, began bool) {
	if t.Phase != Running {
		return
	}
	q.advance(now)
	if began {
		q.callBegan(now, t)
		return
	}
	q.callEnded(now, t)
}

func (q *Queue) callBegan(now time.Time, t *Ticket) {
	t.openCalls++
	if t.openCalls == 1 {
		q.noteSlow(now, t)
		t.callingSince = now
		q.working.remove(t)
	}
}

func (q *Queue) callEnded(now time.Time, t *Ticket) {
	if t.openCalls == 0 {
		return
	}
	t.openCalls--
	if t.openCalls == 0 {
		t.callTime += now.Sub(t.callingSince)
		q.working.add(now, t)
	}
}

// stopWork removes a ticket that ends from the work list, or closes its open
// calls.
func (q *Queue) stopWork(now time.Time, t *Ticket) {
	if t.openCalls == 0 {
		q.noteSlow(now, t)
		q.working.remove(t)
		return
	}
	t.callTime += now.Sub(t.callingSince)
	t.openCalls = 0
}
