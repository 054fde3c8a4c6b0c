package replica

import (
	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// maxChunkBytes is the largest part of a snapshot that one message carries.
const maxChunkBytes = 256 << 10

// snapshotSource is a stored snapshot that the leader sends to members.
type snapshotSource struct {
	position
	data []byte
}

// snapshotSink assembles a snapshot from the chunks that the leader sends.
type snapshotSink struct {
	from        string
	index, term uint64
	data        []byte
}

// offerSnapshot passes in the stored snapshot that the leader requested with
// wantSnapshot.
func (c *core) offerSnapshot(at position, data []byte) {
	if c.role != leader {
		return
	}
	c.snapshot = &snapshotSource{position: at, data: data}
	for _, m := range c.members() {
		if p := c.peers[m.ID]; p != nil && p.sendingSnapshot {
			p.snapshotOffset = 0
			c.sendChunk(m, p)
		}
	}
}

// sendSnapshot starts or continues the transfer to a member that needs entries
// which the log no longer holds.
func (c *core) sendSnapshot(m member, p *progress, heartbeat bool) {
	started := p.sendingSnapshot
	p.sendingSnapshot = true
	if c.snapshot != nil && !started && c.snapshot.index < c.tail.base.index {
		c.snapshot = nil
	}
	if c.snapshot == nil {
		c.out.wantSnapshot = true
		return
	}
	if !started {
		p.snapshotOffset = 0
	}
	if !started || heartbeat {
		c.sendChunk(m, p)
	}
}

func (c *core) sendChunk(m member, p *progress) {
	s := c.snapshot
	start := min(p.snapshotOffset, uint64(len(s.data)))
	end := min(start+uint64(c.chunkBytes), uint64(len(s.data)))
	c.send(m.Address, m.ID, Message{
		Type: SnapshotChunk, Index: s.index, LogTerm: s.term, Round: c.reads.round,
		Offset: start, Size: uint64(len(s.data)), Data: s.data[start:end],
	})
}

func (c *core) onSnapshotChunk(m Message) {
	c.acceptLeader(m)
	// If the log already holds the last entry of the snapshot, the log is kept:
	// the leader may rely on the entries that follow.
	if p, ok := c.tail.at(m.Index); ok && p.term == m.LogTerm {
		c.commit = max(c.commit, m.Index)
	}
	if m.Index <= c.commit {
		c.reply(m, Message{Type: AppendReply, Index: c.commit, Round: m.Round})
		return
	}
	in := &c.incoming
	if in.from != m.From || in.index != m.Index || in.term != m.LogTerm {
		*in = snapshotSink{from: m.From, index: m.Index, term: m.LogTerm}
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) < m.Size {
		c.reply(m, Message{Type: SnapshotChunkReply, Index: m.Index, Offset: uint64(len(in.data)), Round: m.Round})
		return
	}
	data := in.data
	*in = snapshotSink{}
	c.installSnapshot(m, data)
}

// installSnapshot replaces the log with a complete snapshot. The reply is sent
// once the snapshot is stored.
func (c *core) installSnapshot(m Message, data []byte) {
	s, err := storage.DecodeSnapshot(data)
	if err != nil || s.Index != m.Index {
		return
	}
	members, err := decodeMembership(s.Members)
	if err != nil {
		return
	}
	c.tail = newLogTail(position{index: s.Index, term: s.Term, digest: s.Digest}, members)
	c.commit = s.Index
	c.stable = s.Index
	c.out.install = &s
	c.reply(m, Message{Type: AppendReply, Index: s.Index, Round: m.Round})
}

func (c *core) onSnapshotChunkReply(m Message) {
	p := c.peers[m.From]
	if c.role != leader || p == nil {
		return
	}
	p.lastReply = c.now
	p.round = max(p.round, m.Round)
	c.advanceReads()
	to, ok := c.members().find(m.From)
	if !ok || !p.sendingSnapshot || c.snapshot == nil || m.Index != c.snapshot.index {
		return
	}
	advanced := m.Offset > p.snapshotOffset
	p.snapshotOffset = m.Offset
	if advanced {
		c.sendChunk(to, p)
	}
}

// releaseSnapshot frees the snapshot if no member is being sent it.
func (c *core) releaseSnapshot() {
	for _, m := range c.members() {
		if p := c.peers[m.ID]; p != nil && p.sendingSnapshot {
			return
		}
	}
	c.snapshot = nil
}
