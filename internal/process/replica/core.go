package replica

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// role is the part that a replica has in its group.
type role string

const (
	follower role = "follower"
	// preCandidate asks whether it could win an election.
	preCandidate role = "precandidate"
	candidate    role = "candidate"
	leader       role = "leader"
)

// firstElection is the part of the election timeout that a replica waits at
// least when it starts.
const firstElection = 4

// coreOptions are the fixed parameters of a core.
type coreOptions struct {
	group, address      string
	heartbeat, election time.Duration
	// appendBytes and chunkBytes bound the content of one message.
	appendBytes, chunkBytes int
	rng                     *rand.Rand
}

// core is the consensus algorithm of one replica. It does no I/O, reads no
// clock and starts no goroutine: time and messages come in, and what is to be
// stored and sent goes out through take. Times are offsets on a monotonic
// clock that the caller chooses.
type core struct {
	coreOptions
	now   time.Duration
	state storage.HardState
	tail  *tail
	// stable is the last entry that is stored durably.
	stable uint64
	commit uint64

	role          role
	leaderID      string
	leaderAddress string
	// heard is when the leader was last heard of.
	heard    time.Duration
	deadline time.Duration // of the election timeout
	votes    map[string]bool

	peers       map[string]*progress // leader only
	heartbeatAt time.Duration        // when the next heartbeat is due
	reads       readRounds
	change      *change
	snapshot    *transferSource
	incoming    transferSink

	// ended holds how changes ended, see takeEnded.
	ended []error
	// diverged is true once the leader's log was seen to differ in content.
	diverged bool
	out      output
}

// output is what a core wants to be done, in this order: send early, store
// state, install, entries, then send messages and complete reads.
type output struct {
	early    []outgoing
	state    bool
	install  *storage.Snapshot
	entries  []storage.Entry
	messages []outgoing
	reads    []readDone
	// wantSnapshot asks for the stored snapshot, see offerSnapshot.
	wantSnapshot bool
}

func (o *output) empty() bool {
	work := len(o.early) + len(o.entries) + len(o.messages) + len(o.reads)
	return work == 0 && !o.state && o.install == nil && !o.wantSnapshot
}

func newCore(o coreOptions, state storage.HardState, t *tail, commit uint64, now time.Duration) *core {
	c := &core{coreOptions: o, state: state, tail: t, stable: t.lastIndex(), commit: commit, role: follower, now: now}
	// A leader that is there is heard of within a heartbeat or two, and a pre-vote
	// disturbs nobody: so a replica that starts waits for less.
	c.deadline = now + c.election/firstElection + time.Duration(c.rng.Int64N(int64(c.election)))
	if c.members().isVoter(state.ID) && c.members().voters() == 1 {
		c.deadline = now
	}
	return c
}

func (c *core) members() membership { return c.tail.config().members }

// founded reports whether this replica belongs to a group.
func (c *core) founded() bool { return c.state.Cluster != 0 && len(c.members()) > 0 }

// ownCommitted reports whether an entry of the own term is committed, which
// makes the leader's commit index current.
func (c *core) ownCommitted() bool {
	p, ok := c.tail.at(c.commit)
	return ok && p.term == c.state.Term
}

func (c *core) resetDeadline() {
	c.deadline = c.now + c.election + time.Duration(c.rng.Int64N(int64(c.election)))
}

// tick advances the clock. It is called before other methods where time has
// passed.
func (c *core) tick(now time.Duration) {
	c.now = now
	if c.role == leader {
		c.tickLeader()
		return
	}
	if c.now < c.deadline {
		return
	}
	c.resetDeadline()
	if c.members().isVoter(c.state.ID) {
		c.campaign(preCandidate)
	}
}

func (c *core) tickLeader() {
	if !c.hasQuorum() {
		c.follow(c.state.Term, "", "")
		return
	}
	if c.now >= c.heartbeatAt {
		c.heartbeatAt = c.now + c.heartbeat
		c.broadcast(true)
		c.probeAddress()
		c.dropSnapshot()
	}
	c.advanceChange()
}

// hasQuorum reports whether a majority of voters replied within the election
// timeout.
func (c *core) hasQuorum() bool {
	return c.members().quorum(func(id string) bool { return c.alive(id) })
}

func (c *core) alive(id string) bool {
	if id == c.state.ID {
		return true
	}
	p := c.peers[id]
	return p != nil && c.now-p.heard < c.election
}

// step takes one message from another replica.
func (c *core) step(m Message) {
	if !c.accepts(m) {
		return
	}
	switch m.Type {
	case Probe:
		c.onProbe(m)
		return
	case ProbeReply:
		c.onProbeReply(m)
		return
	case PreVote:
		c.onPreVote(m)
		return
	}
	if !c.checkTerm(m) {
		return
	}
	switch m.Type {
	case PreVoteReply:
		c.onVoteReply(m, preCandidate)
	case Vote:
		c.onVote(m)
	case VoteReply:
		c.onVoteReply(m, candidate)
	case Append:
		c.onAppend(m)
	case AppendReply:
		c.onAppendReply(m)
	case Chunk:
		c.onChunk(m)
	case ChunkReply:
		c.onChunkReply(m)
	case ReadIndex:
		c.onReadIndex(m)
	case ReadIndexReply:
		c.out.reads = append(c.out.reads, readDone{token: m.Token, index: m.Index})
	}
	c.advanceChange()
}

// accepts reports whether a message is meant for this replica, under this
// identity. A replica without a group takes only what admits it to one.
func (c *core) accepts(m Message) bool {
	if m.Group != c.group || m.From == c.state.ID {
		return false
	}
	if m.To != c.state.ID && (m.Type != Probe || m.To != "") {
		return false
	}
	if m.Type == ProbeReply {
		return true
	}
	if c.state.Cluster == 0 {
		return m.Cluster != 0 && (m.Type == Probe || m.Type == Append || m.Type == Chunk)
	}
	return m.Cluster == c.state.Cluster
}

// checkTerm compares the sender's term with the own one. It returns false where
// the message is to be dropped.
func (c *core) checkTerm(m Message) bool {
	switch {
	case m.Term < c.state.Term:
		c.refuseOldTerm(m)
		return false
	case m.Term == c.state.Term:
		return true
	case m.Type == PreVoteReply && !m.Reject:
		return true
	case m.Type == Vote && c.leaderIsAlive():
		return false
	}
	c.follow(m.Term, "", "")
	return true
}

// refuseOldTerm tells a leader or candidate of the past about the newer term.
func (c *core) refuseOldTerm(m Message) {
	switch m.Type {
	case Append, Chunk:
		c.reply(m, Message{Type: AppendReply, Reject: true})
	case Vote:
		c.reply(m, Message{Type: VoteReply, Reject: true})
	}
}

// follow makes this replica a follower in term. A leader that steps down drops
// what it was asked for.
func (c *core) follow(term uint64, id, address string) {
	if term > c.state.Term {
		c.state.Term = term
		c.state.Vote = ""
		c.out.state = true
	}
	if c.role != follower {
		c.resetDeadline()
	}
	c.role = follower
	c.leaderID, c.leaderAddress = id, address
	c.peers = nil
	c.snapshot = nil
	c.reads.clear()
	c.endChange(errLeadershipLost())
}

// push adds an entry to the log of this replica.
func (c *core) push(e storage.Entry) bool {
	if err := c.tail.push(e); err != nil {
		c.diverged = true
		return false
	}
	return true
}

// take returns what is to be done and forgets it.
func (c *core) take() output {
	out := c.out
	c.out = output{}
	out.entries = c.tail.from(c.stable+1, math.MaxInt)
	return out
}

// idle reports whether there is nothing to take.
func (c *core) idle() bool {
	return c.out.empty() && len(c.ended) == 0 && c.stable == c.tail.lastIndex()
}

// takeEnded returns how changes of the membership have ended since the last
// call.
func (c *core) takeEnded() []error {
	ended := c.ended
	c.ended = nil
	return ended
}

// stored notes that the entries up to index are durable.
func (c *core) stored(index uint64) {
	c.stable = index
	if c.role == leader {
		c.advanceCommit()
		c.advanceChange()
	}
}

// send queues a message that goes out once everything before it is durable.
func (c *core) send(address, to string, m Message) {
	c.out.messages = append(c.out.messages, outgoing{address, c.stamp(to, m)})
}

func (c *core) reply(to Message, m Message) {
	address := to.Address
	if known, ok := c.members().find(to.From); ok {
		address = known.Address
	}
	c.send(address, to.From, m)
}

func (c *core) stamp(to string, m Message) Message {
	m.Group = c.group
	m.Cluster = c.state.Cluster
	m.From = c.state.ID
	m.To = to
	m.Address = c.address
	if m.Term == 0 {
		m.Term = c.state.Term
	}
	return m
}
