package replica

import (
	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// maxChunkBytes is the size of the parts in which a snapshot is sent.
const maxChunkBytes = 256 << 10

// transferSource is a stored snapshot while the leader sends it.
type transferSource struct {
	position
	data []byte
}

// transferSink gathers the parts of a snapshot that the leader sends.
type transferSink struct {
	from        string
	index, term uint64
	data        []byte
}

// offerSnapshot gives the leader the stored snapshot that it asked for.
func (c *core) offerSnapshot(at position, data []byte) {
	if c.role != leader {
		return
	}
	c.snapshot = &transferSource{position: at, data: data}
	for _, m := range c.members() {
		if p := c.peers[m.ID]; p != nil && p.transfer {
			p.offset = 0
			c.sendChunk(m, p)
		}
	}
}

// sendSnapshot begins or repeats the transfer to a member that needs entries
// which are no longer held.
func (c *core) sendSnapshot(m member, p *progress, heartbeat bool) {
	started := p.transfer
	p.transfer = true
	if c.snapshot != nil && !started && c.snapshot.index < c.tail.base.index {
		c.snapshot = nil
	}
	if c.snapshot == nil {
		c.out.wantSnapshot = true
		return
	}
	if !started {
		p.offset = 0
	}
	if !started || heartbeat {
		c.sendChunk(m, p)
	}
}

func (c *core) sendChunk(m member, p *progress) {
	s := c.snapshot
	start := min(p.offset, uint64(len(s.data)))
	end := min(start+uint64(c.chunkBytes), uint64(len(s.data)))
	c.send(m.Address, m.ID, Message{
		Type: Chunk, Index: s.index, LogTerm: s.term, Round: c.reads.round,
		Offset: start, Size: uint64(len(s.data)), Data: s.data[start:end],
	})
}

func (c *core) onChunk(m Message) {
	c.heed(m)
	// What the log holds already must stay: the leader may count on what
	// follows it.
	if p, ok := c.tail.at(m.Index); ok && p.term == m.LogTerm {
		c.commit = max(c.commit, m.Index)
	}
	if m.Index <= c.commit {
		c.reply(m, Message{Type: AppendReply, Index: c.commit, Round: m.Round})
		return
	}
	in := &c.incoming
	if in.from != m.From || in.index != m.Index || in.term != m.LogTerm {
		*in = transferSink{from: m.From, index: m.Index, term: m.LogTerm}
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) < m.Size {
		c.reply(m, Message{Type: ChunkReply, Index: m.Index, Offset: uint64(len(in.data)), Round: m.Round})
		return
	}
	data := in.data
	*in = transferSink{}
	c.install(m, data)
}

// install takes over a whole snapshot. The reply leaves once it is stored.
func (c *core) install(m Message, data []byte) {
	s, err := storage.DecodeSnapshot(data)
	if err != nil || s.Index != m.Index {
		return
	}
	members, err := decodeMembership(s.Members)
	if err != nil {
		return
	}
	c.tail = newTail(position{index: s.Index, term: s.Term, digest: s.Digest}, members)
	c.commit = s.Index
	c.stable = s.Index
	c.out.install = &s
	c.reply(m, Message{Type: AppendReply, Index: s.Index, Round: m.Round})
}

func (c *core) onChunkReply(m Message) {
	p := c.peers[m.From]
	if c.role != leader || p == nil {
		return
	}
	p.heard = c.now
	p.round = max(p.round, m.Round)
	c.advanceReads()
	to, ok := c.members().find(m.From)
	if !ok || !p.transfer || c.snapshot == nil || m.Index != c.snapshot.index {
		return
	}
	advanced := m.Offset > p.offset
	p.offset = m.Offset
	if advanced {
		c.sendChunk(to, p)
	}
}

// dropSnapshot frees the snapshot once no member needs it.
func (c *core) dropSnapshot() {
	for _, m := range c.members() {
		if p := c.peers[m.ID]; p != nil && p.transfer {
			return
		}
	}
	c.snapshot = nil
}
