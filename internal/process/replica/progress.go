package replica

import "time"

// progress is what a leader knows of one other member.
type progress struct {
	// match is the last entry that the member is known to hold durably.
	match uint64
	// next is the next entry to send.
	next uint64
	// probing is true until a reply shows where the logs agree; one message at
	// a time is sent then.
	probing bool
	// waiting is true while a probing message is unanswered.
	waiting bool
	// heard is when the member last replied in this term.
	heard time.Duration
	// round is the highest confirmation round that the member replied to.
	round uint64
	// transfer is true while the member gets a snapshot; offset is how much of
	// it the member holds, in bytes.
	transfer bool
	offset   uint64
}

// acked notes that the member holds everything up to index durably.
func (p *progress) acked(index uint64) {
	p.transfer = false
	p.waiting = false
	p.probing = false
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
}

// rejected notes that the member lacks the entry at previous. hint is the last
// entry at which the logs may agree. It reports whether the reply was news.
func (p *progress) rejected(previous, hint uint64) bool {
	if previous <= p.match || previous >= p.next {
		return false
	}
	if p.probing && previous != p.next-1 {
		return false
	}
	p.next = max(p.match+1, min(hint+1, previous))
	p.probing = true
	p.waiting = false
	return true
}
