package replica

// readResult is the result of the read request with this token. Every command
// that was committed before the request has at most this index.
type readResult struct {
	token, index uint64
}

// readRequest is one read that waits for a round. member and address are those
// of the replica that requested it; member is empty if this replica did.
type readRequest struct {
	member, address string
	token           uint64
}

// readRounds batches reads so that one round serves many of them. In a round
// the leader confirms its leadership: a quorum replies to messages that the
// leader sent after the reads arrived.
type readRounds struct {
	round   uint64
	open    bool          // a round is in progress
	index   uint64        // the commit index at the start of the round
	current []readRequest // the reads that the round serves
	waiting []readRequest // the reads that wait for the next round
}

func (r *readRounds) clear() {
	*r = readRounds{}
}

// requestReadIndex requests an index that covers all commands committed before
// the call. The reply may be lost; the caller then repeats the request with the
// same token.
func (c *core) requestReadIndex(token uint64) {
	switch {
	case c.role == leader:
		c.reads.waiting = append(c.reads.waiting, readRequest{token: token})
		c.startRound()
	case c.leaderID != "":
		c.send(c.leaderAddress, c.leaderID, Message{Type: ReadIndex, Token: token})
	}
}

func (c *core) onReadIndex(m Message) {
	if c.role != leader {
		return
	}
	c.reads.waiting = append(c.reads.waiting, readRequest{member: m.From, address: m.Address, token: m.Token})
	c.startRound()
}

// startRound starts a round for the waiting reads, unless one is in progress.
// It starts none before an entry of the current term is committed, since the
// leader's commit index may be out of date until then.
func (c *core) startRound() {
	r := &c.reads
	if r.open || len(r.waiting) == 0 || !c.committedInTerm() {
		return
	}
	r.round++
	r.open = true
	r.index = c.commit
	r.current, r.waiting = r.waiting, nil
	c.broadcast(true)
	c.advanceReads()
}

// advanceReads completes the reads of the current round once a quorum has
// replied.
func (c *core) advanceReads() {
	r := &c.reads
	if !r.open || !c.members().quorum(c.repliedInRound) {
		return
	}
	r.open = false
	for _, request := range r.current {
		if request.member == "" {
			c.out.reads = append(c.out.reads, readResult{token: request.token, index: r.index})
			continue
		}
		c.send(request.address, request.member, Message{Type: ReadIndexReply, Token: request.token, Index: r.index})
	}
	r.current = nil
	c.startRound()
}

func (c *core) repliedInRound(id string) bool {
	if id == c.state.ID {
		return true
	}
	p := c.peers[id]
	return p != nil && p.round >= c.reads.round
}
