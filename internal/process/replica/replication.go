package replica

import (
	"math"
	"slices"

	"github.com/teaselrack/teaselrack/internal/process/storage"
)

const (
	// maxAppendBytes bounds the entries of one message.
	maxAppendBytes = 256 << 10
	// maxInFlight bounds the entries sent to a member and not yet answered.
	maxInFlight = 4096
)

// propose adds commands to the leader's log; the caller checked the role. It
// returns the index of the first.
func (c *core) propose(commands ...[]byte) uint64 {
	first := c.tail.lastIndex() + 1
	for i, command := range commands {
		c.push(storage.Entry{Index: first + uint64(i), Term: c.state.Term, Kind: kindCommand, Data: command})
	}
	c.broadcast(false)
	return first
}

// broadcast sends each member what it lacks; with heartbeat also where there is
// nothing to send.
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
	blocked := p.probing && p.waiting && !heartbeat
	if !blocked && p.next-p.match <= maxInFlight {
		entries = c.tail.from(p.next, c.appendBytes)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	if p.probing {
		p.waiting = true
	} else {
		p.next += uint64(len(entries))
	}
	c.out.early = append(c.out.early, outgoing{m.Address, c.stamp(m.ID, Message{
		Type: Append, Index: previous.index, LogTerm: previous.term, Digest: previous.digest,
		Commit: c.commit, Round: c.reads.round, Entries: entries,
	})})
}

// heed notes a message from the leader of the current term.
func (c *core) heed(m Message) {
	if c.state.Cluster == 0 {
		c.state.Cluster = m.Cluster
		c.out.state = true
	}
	if c.role != follower || c.leaderID != m.From {
		c.follow(m.Term, m.From, m.Address)
	}
	c.heard = c.now
	c.resetDeadline()
}

func (c *core) onAppend(m Message) {
	c.heed(m)
	end := m.Index + uint64(len(m.Entries))
	if end <= c.commit {
		c.reply(m, Message{Type: AppendReply, Index: c.commit, Round: m.Round})
		return
	}
	if m.Index >= c.commit && !c.agrees(m) {
		return
	}
	for _, e := range m.Entries {
		if e.Index > c.commit && !c.takeEntry(e) {
			return
		}
	}
	c.commit = max(c.commit, min(m.Commit, end))
	c.reply(m, Message{Type: AppendReply, Index: end, Round: m.Round})
}

// agrees checks that the log holds the entry before the message's entries, and
// rejects the message where it does not.
func (c *core) agrees(m Message) bool {
	p, ok := c.tail.at(m.Index)
	if ok && p.term == m.LogTerm {
		if p.digest != m.Digest {
			c.diverged = true
		}
		return !c.diverged
	}
	hint := c.tail.lastIndex()
	if ok {
		hint = c.beforeTerm(m.Index, p.term)
	}
	c.reply(m, Message{Type: AppendReply, Reject: true, Index: hint, Previous: m.Index, Round: m.Round})
	return false
}

// beforeTerm returns the last index before the run of entries of term that
// ends at index, but none before the commit index.
func (c *core) beforeTerm(index, term uint64) uint64 {
	for index > c.commit {
		p, ok := c.tail.at(index)
		if !ok || p.term != term {
			break
		}
		index--
	}
	return index
}

// takeEntry puts an entry of the leader in its place. A conflicting suffix goes.
func (c *core) takeEntry(e storage.Entry) bool {
	if p, ok := c.tail.at(e.Index); ok {
		if p.term == e.Term {
			return true
		}
		c.tail.cut(e.Index)
		c.stable = min(c.stable, e.Index-1)
	}
	if e.Index != c.tail.lastIndex()+1 {
		c.diverged = true
		return false
	}
	return c.push(e)
}

func (c *core) onAppendReply(m Message) {
	p := c.peers[m.From]
	if c.role != leader || p == nil {
		return
	}
	p.heard = c.now
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

// advanceCommit commits what a majority of voters holds durably, once it ends
// in an entry of the own term.
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

// committed returns the entries after index that are committed and stored.
func (c *core) committed(index uint64) []storage.Entry {
	end := min(c.commit, c.stable)
	if index >= end {
		return nil
	}
	return c.tail.from(index+1, math.MaxInt)[:end-index]
}
