package replica

import "time"

// progress is the leader's view of one other member.
type progress struct {
	// match is the index of the last entry that the member is known to hold
	// durably.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probing is true until a reply shows up to which entry the logs match.
	// Until then the leader sends one message at a time.
	probing bool
	// probeSent is true while the leader waits for the reply to such a message.
	probeSent bool
	// lastReply is when the member last replied in this term.
	lastReply time.Duration
	// round is the highest round of the leader that the member replied to, see
	// readRounds.
	round uint64
	// sendingSnapshot is true while the leader sends a snapshot to the member;
	// snapshotOffset is how much of it the member holds, in bytes.
	sendingSnapshot bool
	snapshotOffset  uint64
}

// acked records that the member holds all entries up to index durably.
func (p *progress) acked(index uint64) {
	p.sendingSnapshot = false
	p.probeSent = false
	p.probing = false
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
}

// rejected records that the member does not hold the leader's entry at
// previous. hint is the last index up to which the logs may match. It returns
// false for an outdated or repeated reply.
func (p *progress) rejected(previous, hint uint64) bool {
	if previous <= p.match || previous >= p.next {
		return false
	}
	if p.probing && previous != p.next-1 {
		return false
	}
	p.next = max(p.match+1, min(hint+1, previous))
	p.probing = true
	p.probeSent = false
	return true
}
