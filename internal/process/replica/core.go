package replica

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// role is the state of a replica in the consensus algorithm.
type role string

const (
	follower role = "follower"
	// preCandidate asks the other voters whether it could win an election.
	preCandidate role = "precandidate"
	candidate    role = "candidate"
	leader       role = "leader"
)

// startupTimeoutDivisor divides the election timeout to give the shortest time
// that a replica waits after its start before its first campaign.
const startupTimeoutDivisor = 4

// coreOptions are the fixed parameters of a core.
type coreOptions struct {
	group, address                     string
	heartbeatInterval, electionTimeout time.Duration
	// appendBytes limits the entries in one message and chunkBytes the part of
	// a snapshot in one message.
	appendBytes, chunkBytes int
	rng                     *rand.Rand
}

// core is the consensus algorithm (Raft) of one replica. It does no I/O, reads
// no clock and starts no goroutine: the caller passes in time and messages, and
// takeOutput returns what to store and send. Times are offsets on a monotonic
// clock that the caller chooses.
type core struct {
	coreOptions
	now   time.Duration
	state storage.HardState
	tail  *logTail
	// stable is the index of the last entry that is stored durably.
	stable uint64
	commit uint64

	role          role
	leaderID      string
	leaderAddress string
	// leaderHeardAt is when the last message of the leader arrived.
	leaderHeardAt    time.Duration
	electionDeadline time.Duration // when the election timeout expires
	votes            map[string]bool

	peers       map[string]*progress // leader only
	heartbeatAt time.Duration        // when the next heartbeat is due
	reads       readRounds
	change      *membershipChange
	snapshot    *snapshotSource
	incoming    snapshotSink

	// changeResults holds the results of finished membership changes, see
	// takeChangeResults.
	changeResults []error
	// diverged is true once the log is known to differ from the leader's.
	diverged bool
	out      output
}

// output is the work that a core requests, in this order: send beforeStore;
// store state, install and entries; then send messages and complete reads. If
// state is true, beforeStore is sent after the storing.
type output struct {
	beforeStore []outgoingMessage
	state       bool // the hard state has changed
	install     *storage.Snapshot
	entries     []storage.Entry
	messages    []outgoingMessage
	reads       []readResult
	// wantSnapshot requests the stored snapshot, see offerSnapshot.
	wantSnapshot bool
}

func (o *output) empty() bool {
	work := len(o.beforeStore) + len(o.entries) + len(o.messages) + len(o.reads)
	return work == 0 && !o.state && o.install == nil && !o.wantSnapshot
}

func newCore(o coreOptions, state storage.HardState, t *logTail, commit uint64, now time.Duration) *core {
	c := &core{coreOptions: o, state: state, tail: t, stable: t.lastIndex(), commit: commit, role: follower, now: now}
	// The minimum timeout is shorter at startup than in operation. A leader
	// that is running sends a message within one or two heartbeat intervals,
	// and a pre-vote disrupts no leader.
	c.electionDeadline = now + c.electionTimeout/startupTimeoutDivisor + time.Duration(c.rng.Int64N(int64(c.electionTimeout)))
	if c.members().isVoter(state.ID) && c.members().voterCount() == 1 {
		c.electionDeadline = now
	}
	return c
}

func (c *core) members() membership { return c.tail.latestMembership().members }

// founded reports whether this replica belongs to a group.
func (c *core) founded() bool { return c.state.Cluster != 0 && len(c.members()) > 0 }

// committedInTerm reports whether the entry at the commit index is of the
// current term. Only then is a leader's commit index known to be up to date.
func (c *core) committedInTerm() bool {
	p, ok := c.tail.at(c.commit)
	return ok && p.term == c.state.Term
}

func (c *core) resetElectionDeadline() {
	c.electionDeadline = c.now + c.electionTimeout + time.Duration(c.rng.Int64N(int64(c.electionTimeout)))
}

// tick advances the clock and handles expired timeouts. The caller calls it
// before other methods if time has passed.
func (c *core) tick(now time.Duration) {
	c.now = now
	if c.role == leader {
		c.tickLeader()
		return
	}
	if c.now < c.electionDeadline {
		return
	}
	c.resetElectionDeadline()
	if c.members().isVoter(c.state.ID) {
		c.campaign(preCandidate)
	}
}

func (c *core) tickLeader() {
	if !c.hasQuorum() {
		c.becomeFollower(c.state.Term, "", "")
		return
	}
	if c.now >= c.heartbeatAt {
		c.heartbeatAt = c.now + c.heartbeatInterval
		c.broadcast(true)
		c.probeAddress()
		c.releaseSnapshot()
	}
	c.advanceChange()
}

// hasQuorum reports whether a majority of voters, the leader included, replied
// within the last election timeout.
func (c *core) hasQuorum() bool {
	return c.members().quorum(func(id string) bool { return c.isAlive(id) })
}

// isAlive reports whether a member replied within the last election timeout.
// The leader itself is always alive.
func (c *core) isAlive(id string) bool {
	if id == c.state.ID {
		return true
	}
	p := c.peers[id]
	return p != nil && c.now-p.lastReply < c.electionTimeout
}

// step handles one message from another replica.
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
	case SnapshotChunk:
		c.onSnapshotChunk(m)
	case SnapshotChunkReply:
		c.onSnapshotChunkReply(m)
	case ReadIndex:
		c.onReadIndex(m)
	case ReadIndexReply:
		c.out.reads = append(c.out.reads, readResult{token: m.Token, index: m.Index})
	}
	c.advanceChange()
}

// accepts reports whether a message comes from the group of this replica and is
// addressed to its current ID. A Probe may leave the ID out. A ProbeReply may
// come from a replica without a group. A replica without a group accepts only
// the messages by which it is added to one.
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
		return m.Cluster != 0 && (m.Type == Probe || m.Type == Append || m.Type == SnapshotChunk)
	}
	return m.Cluster == c.state.Cluster
}

// checkTerm compares the term of m with the current term and returns false if m
// must be dropped. A newer term makes this replica a follower, with two
// exceptions. A reply that grants a pre-vote has the term of the election that
// would follow. A vote request is dropped while the leader is alive.
func (c *core) checkTerm(m Message) bool {
	switch {
	case m.Term < c.state.Term:
		c.rejectStaleTerm(m)
		return false
	case m.Term == c.state.Term:
		return true
	case m.Type == PreVoteReply && !m.Reject:
		return true
	case m.Type == Vote && c.leaderIsAlive():
		return false
	}
	c.becomeFollower(m.Term, "", "")
	return true
}

// rejectStaleTerm tells a leader or candidate of an older term about the
// current term.
func (c *core) rejectStaleTerm(m Message) {
	switch m.Type {
	case Append, SnapshotChunk:
		c.reply(m, Message{Type: AppendReply, Reject: true})
	case Vote:
		c.reply(m, Message{Type: VoteReply, Reject: true})
	}
}

// becomeFollower makes this replica a follower in term. A leader that steps
// down drops its pending reads and fails the membership change in progress.
func (c *core) becomeFollower(term uint64, id, address string) {
	if term > c.state.Term {
		c.state.Term = term
		c.state.Vote = ""
		c.out.state = true
	}
	if c.role != follower {
		c.resetElectionDeadline()
	}
	c.role = follower
	c.leaderID, c.leaderAddress = id, address
	c.peers = nil
	c.snapshot = nil
	c.reads.clear()
	c.finishChange(errLeadershipLost())
}

// appendEntry adds an entry to the log in memory. It returns false and sets
// diverged if the entry holds a membership that cannot be decoded.
func (c *core) appendEntry(e storage.Entry) bool {
	if err := c.tail.add(e); err != nil {
		c.diverged = true
		return false
	}
	return true
}

// takeOutput returns the pending work and clears it.
func (c *core) takeOutput() output {
	out := c.out
	c.out = output{}
	out.entries = c.tail.entriesFrom(c.stable+1, math.MaxInt)
	return out
}

// idle reports whether there is no pending work.
func (c *core) idle() bool {
	return c.out.empty() && len(c.changeResults) == 0 && c.stable == c.tail.lastIndex()
}

// takeChangeResults returns and clears the results of the membership changes
// that have finished since the last call.
func (c *core) takeChangeResults() []error {
	results := c.changeResults
	c.changeResults = nil
	return results
}

// markStable records that the entries up to index are durable.
func (c *core) markStable(index uint64) {
	c.stable = index
	if c.role == leader {
		c.advanceCommit()
		c.advanceChange()
	}
}

// send queues a message that is sent once all entries and state before it are
// durable.
func (c *core) send(address, to string, m Message) {
	c.out.messages = append(c.out.messages, outgoingMessage{address, c.withHeader(to, m)})
}

func (c *core) reply(request Message, m Message) {
	address := request.Address
	if known, ok := c.members().find(request.From); ok {
		address = known.Address
	}
	c.send(address, request.From, m)
}

func (c *core) withHeader(to string, m Message) Message {
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
