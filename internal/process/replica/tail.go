package replica

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// Kinds of log entries.
const (
	// kindCommand is a command for the machine.
	kindCommand storage.Kind = iota
	// kindBarrier is the first entry of a leader.
	kindBarrier
	// kindMembers holds a membership, in force as soon as it is in the log.
	kindMembers
)

// position is one place in the log.
type position struct {
	index, term uint64
	// digest covers the log up to index.
	digest uint64
}

// configured is a membership with the index of its entry.
type configured struct {
	index   uint64
	members membership
}

// tail is the part of the log that is held in memory: what follows base.
type tail struct {
	base    position
	entries []storage.Entry
	digests []uint64
	// configs are the memberships in the tail, after the one in force at base.
	configs []configured
	hash    xxhash.Digest
	// bytes is the size of entries.
	bytes int
}

func newTail(base position, members membership) *tail {
	t := &tail{base: base}
	t.configs = []configured{{index: base.index, members: members}}
	return t
}

func (t *tail) lastIndex() uint64 { return t.base.index + uint64(len(t.entries)) }

// at returns the position of an index; ok is false outside the tail.
func (t *tail) at(index uint64) (p position, ok bool) {
	switch {
	case index == t.base.index:
		return t.base, true
	case index < t.base.index || index > t.lastIndex():
		return position{}, false
	}
	i := index - t.base.index - 1
	return position{index: index, term: t.entries[i].Term, digest: t.digests[i]}, true
}

func (t *tail) last() position {
	p, _ := t.at(t.lastIndex())
	return p
}

// from returns the entries that begin at index, up to maxBytes but at least one.
func (t *tail) from(index uint64, maxBytes int) []storage.Entry {
	if index <= t.base.index || index > t.lastIndex() {
		return nil
	}
	rest := t.entries[index-t.base.index-1:]
	size := 0
	for i := range rest {
		size += rest[i].Size()
		if size > maxBytes && i > 0 {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// push adds the entry after the last one. An entry with a membership that
// cannot be decoded is refused.
func (t *tail) push(e storage.Entry) error {
	if e.Kind == kindMembers {
		members, err := decodeMembership(e.Data)
		if err != nil {
			return err
		}
		t.configs = append(t.configs, configured{index: e.Index, members: members})
	}
	digest := t.chain(t.last().digest, e)
	t.entries = append(t.entries, e)
	t.digests = append(t.digests, digest)
	t.bytes += e.Size()
	return nil
}

func (t *tail) chain(previous uint64, e storage.Entry) uint64 {
	var b [17]byte
	binary.LittleEndian.PutUint64(b[0:], previous)
	binary.LittleEndian.PutUint64(b[8:], e.Term)
	b[16] = byte(e.Kind)
	t.hash.Reset()
	_, _ = t.hash.Write(b[:])
	_, _ = t.hash.Write(e.Data)
	return t.hash.Sum64()
}

// cut removes the entries from index on.
func (t *tail) cut(index uint64) {
	keep := index - t.base.index - 1
	for i := keep; i < uint64(len(t.entries)); i++ {
		t.bytes -= t.entries[i].Size()
	}
	// New slices: messages may still hold the old ones.
	t.entries = append([]storage.Entry(nil), t.entries[:keep]...)
	t.digests = t.digests[:keep]
	for len(t.configs) > 1 && t.configs[len(t.configs)-1].index >= index {
		t.configs = t.configs[:len(t.configs)-1]
	}
}

// compact forgets the entries up to index.
func (t *tail) compact(index uint64) {
	p, ok := t.at(index)
	if !ok || index == t.base.index {
		return
	}
	n := index - t.base.index
	for i := range n {
		t.bytes -= t.entries[i].Size()
	}
	t.entries = append([]storage.Entry(nil), t.entries[n:]...)
	t.digests = append([]uint64(nil), t.digests[n:]...)
	for len(t.configs) > 1 && t.configs[1].index <= index {
		t.configs = t.configs[1:]
	}
	t.base = p
}

// config returns the newest membership in the log.
func (t *tail) config() configured { return t.configs[len(t.configs)-1] }

// membersAt returns the membership in force at index.
func (t *tail) membersAt(index uint64) membership {
	members := t.configs[0].members
	for _, c := range t.configs[1:] {
		if c.index <= index {
			members = c.members
		}
	}
	return members
}
