package replica

import (
	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// campaign starts a pre-vote, or an election as a candidate in the next term.
func (c *core) campaign(as role) {
	c.role = as
	c.leaderID, c.leaderAddress = "", ""
	request := Message{Type: PreVote, Term: c.state.Term + 1}
	if as == candidate {
		c.state.Term++
		c.state.Vote = c.state.ID
		c.out.state = true
		request = Message{Type: Vote}
	}
	last := c.tail.last()
	request.Index, request.LogTerm = last.index, last.term
	c.votes = map[string]bool{c.state.ID: true}
	for _, m := range c.members() {
		if m.ID != c.state.ID && !m.Learner {
			c.send(m.Address, m.ID, request)
		}
	}
	c.countVotes()
}

func (c *core) countVotes() {
	if !c.members().quorum(func(id string) bool { return c.votes[id] }) {
		return
	}
	if c.role == preCandidate {
		c.campaign(candidate)
		return
	}
	c.becomeLeader()
}

// becomeLeader makes this replica the leader of its term and appends a no-op
// entry. Once that entry is committed, so are all entries before it.
func (c *core) becomeLeader() {
	c.role = leader
	c.leaderID, c.leaderAddress = c.state.ID, c.address
	c.votes = nil
	c.peers = make(map[string]*progress)
	for _, m := range c.members() {
		c.trackProgress(m.ID)
	}
	c.heartbeatAt = c.now + c.heartbeatInterval
	c.appendEntry(storage.Entry{Index: c.tail.lastIndex() + 1, Term: c.state.Term, Kind: kindNoOp})
	c.broadcast(true)
}

// trackProgress starts to track the progress of another member.
func (c *core) trackProgress(id string) {
	if id == c.state.ID || c.peers[id] != nil {
		return
	}
	c.peers[id] = &progress{next: c.tail.lastIndex() + 1, probing: true, lastReply: c.now}
}

// leaderIsAlive reports whether this replica is the leader, or received a
// message from the leader within the last election timeout. If so, it grants no
// pre-votes and drops vote requests of newer terms.
func (c *core) leaderIsAlive() bool {
	return c.role == leader || (c.leaderID != "" && c.now-c.leaderHeardAt < c.electionTimeout)
}

// mayVote reports whether this replica may vote for the sender of m, whose log
// must be at least as up to date as its own. A replica that is not a member has
// no vote.
func (c *core) mayVote(m Message) bool {
	if _, admitted := c.members().find(c.state.ID); !admitted {
		return false
	}
	last := c.tail.last()
	if m.LogTerm != last.term {
		return m.LogTerm > last.term
	}
	return m.Index >= last.index
}

func (c *core) onPreVote(m Message) {
	if m.Term > c.state.Term && c.mayVote(m) && !c.leaderIsAlive() {
		c.reply(m, Message{Type: PreVoteReply, Term: m.Term})
		return
	}
	c.reply(m, Message{Type: PreVoteReply, Reject: true})
}

func (c *core) onVote(m Message) {
	voteAvailable := c.state.Vote == "" || c.state.Vote == m.From
	if c.role == leader || !voteAvailable || !c.mayVote(m) {
		c.reply(m, Message{Type: VoteReply, Reject: true})
		return
	}
	if c.state.Vote == "" {
		c.state.Vote = m.From
		c.out.state = true
	}
	c.resetElectionDeadline()
	c.reply(m, Message{Type: VoteReply})
}

func (c *core) onVoteReply(m Message, as role) {
	if c.role != as || m.Reject {
		return
	}
	if as == preCandidate && m.Term != c.state.Term+1 {
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}
