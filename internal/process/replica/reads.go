package replica

// readDone says that everything before the read with this token is covered by
// index.
type readDone struct {
	token, index uint64
}

// readRequest is one read that waits for a round; member is empty for a read of
// this replica itself.
type readRequest struct {
	member, address string
	token           uint64
}

// readRounds gathers reads and confirms many with one round: the leader shows
// with replies of a quorum, to messages sent after the reads came, that it
// still leads.
type readRounds struct {
	round   uint64
	open    bool
	index   uint64
	current []readRequest
	waiting []readRequest
}

func (r *readRounds) clear() {
	*r = readRounds{}
}

// read asks for an index that covers everything committed before the call. The
// answer may never come; the caller asks again with the same token.
func (c *core) read(token uint64) {
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

// startRound starts a round for the waiting reads, unless one is running. The
// commit index of a leader is current only once an own entry is committed.
func (c *core) startRound() {
	r := &c.reads
	if r.open || len(r.waiting) == 0 || !c.ownCommitted() {
		return
	}
	r.round++
	r.open = true
	r.index = c.commit
	r.current, r.waiting = r.waiting, nil
	c.broadcast(true)
	c.advanceReads()
}

// advanceReads answers the reads of the running round once a quorum replied.
func (c *core) advanceReads() {
	r := &c.reads
	if !r.open || !c.members().quorum(c.confirmed) {
		return
	}
	r.open = false
	for _, request := range r.current {
		if request.member == "" {
			c.out.reads = append(c.out.reads, readDone{token: request.token, index: r.index})
			continue
		}
		c.send(request.address, request.member, Message{Type: ReadIndexReply, Token: request.token, Index: r.index})
	}
	r.current = nil
	c.startRound()
}

func (c *core) confirmed(id string) bool {
	if id == c.state.ID {
		return true
	}
	p := c.peers[id]
	return p != nil && p.round >= c.reads.round
}
