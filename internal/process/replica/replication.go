package replica

import (
	"math"
	"slices"

	"github.com/teaselrack/teaselrack/internal/process/storage"
)

const (
	// maxAppendBytes limits the size of the entries in one message.
	maxAppendBytes = 256 << 10
	// maxInFlightEntries limits the entries that were sent to a member and are
	// not acknowledged yet.
	maxInFlightEntries = 4096
)

// propose appends commands to the leader's log and returns the index of the
// first one. The caller has checked that this replica is the leader.
func (c *core) propose(commands ...[]byte) uint64 {
	first := c.tail.lastIndex() + 1
	for i, command := range commands {
		c.appendEntry(storage.Entry{Index: first + uint64(i), Term: c.state.Term, Kind: kindCommand, Data: command})
	}
	c.broadcast(false)
	return first
}

// broadcast sends each member the entries that it lacks. With heartbeat it also
// sends a message to members that lack none.
func (c *core) broadcast(heartbeat bool) {
	for _, m := range c.members() {
		if m.ID != c.state.ID {
			c.replicate(m, heartbeat)
		}
	}
}

func (c *core) replicate(m member, heartbeat bool) {
	p := c.peers[m.ID]
	if p == nil {
		return
	}
	previous, ok := c.tail.at(p.next - 1)
	if !ok {
		c.sendSnapshot(m, p, heartbeat)
		return
	}
	var entries []storage.Entry
	// A member that does not reply gets its entries once. Heartbeats go on without
	// them; the reply to one shows from where to go on.
	blocked := p.probing && p.probeSent
	if !blocked && p.next-p.match <= maxInFlightEntries {
		entries = c.tail.entriesFrom(p.next, c.appendBytes)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	if p.probing {
		p.probeSent = p.probeSent || len(entries) > 0
	} else {
		p.next += uint64(len(entries))
	}
	c.out.beforeStore = append(c.out.beforeStore, outgoingMessage{m.Address, c.withHeader(m.ID, Message{
		Type: Append, Index: previous.index, LogTerm: previous.term, Digest: previous.digest,
		Commit: c.commit, Round: c.reads.round, Entries: entries,
	})})
}

// acceptLeader records that a message arrived from the leader of the current
// term, and becomes its follower if necessary.
func (c *core) acceptLeader(m Message) {
	if c.state.Cluster == 0 {
		c.state.Cluster = m.Cluster
		c.out.state = true
	}
	if c.role != follower || c.leaderID != m.From {
		c.becomeFollower(m.Term, m.From, m.Address)
	}
	c.leaderHeardAt = c.now
	c.resetElectionDeadline()
}

func (c *core) onAppend(m Message) {
	c.acceptLeader(m)
	end := m.Index + uint64(len(m.Entries))
	if end <= c.commit {
		c.reply(m, Message{Type: AppendReply, Index: c.commit, Round: m.Round})
		return
	}
	if m.Index >= c.commit && !c.checkPrevious(m) {
		return
	}
	for _, e := range m.Entries {
		if e.Index > c.commit && !c.acceptEntry(e) {
			return
		}
	}
	c.commit = max(c.commit, min(m.Commit, end))
	c.reply(m, Message{Type: AppendReply, Index: end, Round: m.Round})
}

// checkPrevious reports whether the log holds the entry that precedes the
// entries of the message. If it does not, checkPrevious rejects the message. If
// the digests of the logs up to that entry differ, it sets diverged.
func (c *core) checkPrevious(m Message) bool {
	p, ok := c.tail.at(m.Index)
	if ok && p.term == m.LogTerm {
		if p.digest != m.Digest {
			c.diverged = true
		}
		return !c.diverged
	}
	hint := c.tail.lastIndex()
	if ok {
		hint = c.lastIndexBeforeTerm(m.Index, p.term)
	}
	c.reply(m, Message{Type: AppendReply, Reject: true, Index: hint, Previous: m.Index, Round: m.Round})
	return false
}

// lastIndexBeforeTerm returns the index before the run of entries of term that
// ends at index, or the commit index if that is higher.
func (c *core) lastIndexBeforeTerm(index, term uint64) uint64 {
	for index > c.commit {
		p, ok := c.tail.at(index)
		if !ok || p.term != term {
			break
		}
		index--
	}
	return index
}

// acceptEntry adds an entry of the leader at its index. If the log holds
// another entry there, that entry and all later ones are removed first. It
// returns false and sets diverged if the entry cannot be added.
func (c *core) acceptEntry(e storage.Entry) bool {
	if p, ok := c.tail.at(e.Index); ok {
		if p.term == e.Term {
			return true
		}
		c.tail.truncate(e.Index)
		c.stable = min(c.stable, e.Index-1)
	}
	if e.Index != c.tail.lastIndex()+1 {
		c.diverged = true
		return false
	}
	return c.appendEntry(e)
}

func (c *core) onAppendReply(m Message) {
	p := c.peers[m.From]
	if c.role != leader || p == nil {
		return
	}
	p.lastReply = c.now
	p.round = max(p.round, m.Round)
	c.advanceReads()
	to, ok := c.members().find(m.From)
	if !ok {
		return
	}
	if m.Reject {
		if p.rejected(m.Previous, m.Index) {
			c.replicate(to, false)
		}
		return
	}
	p.acked(m.Index)
	c.advanceCommit()
	c.replicate(to, false)
}

// advanceCommit advances the commit index to the last entry that a majority of
// voters holds durably, provided that the entry is of the current term.
func (c *core) advanceCommit() {
	held := make([]uint64, 0, len(c.members()))
	for _, m := range c.members() {
		switch {
		case m.Learner:
		case m.ID == c.state.ID:
			held = append(held, c.stable)
		case c.peers[m.ID] != nil:
			held = append(held, c.peers[m.ID].match)
		default:
			held = append(held, 0)
		}
	}
	if len(held) == 0 {
		return
	}
	slices.Sort(held)
	index := held[(len(held)-1)/2]
	p, ok := c.tail.at(index)
	if !ok || index <= c.commit || p.term != c.state.Term {
		return
	}
	c.commit = index
	c.startRound()
}

// committedAfter returns the entries after index that are committed and stored
// durably on this replica.
func (c *core) committedAfter(index uint64) []storage.Entry {
	end := min(c.commit, c.stable)
	if index >= end {
		return nil
	}
	return c.tail.entriesFrom(index+1, math.MaxInt)[:end-index]
}
