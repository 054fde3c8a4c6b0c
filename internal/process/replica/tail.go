package replica

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// Kinds of log entries.
const (
	// kindCommand is a command for the state machine.
	kindCommand storage.Kind = iota
	// kindNoOp is the no-op entry that a new leader appends first.
	kindNoOp
	// kindMembers holds a membership, which takes effect as soon as the entry
	// is in the log.
	kindMembers
)

// position identifies one entry and the log up to it.
type position struct {
	index, term uint64
	// digest is the chained digest of all entries up to index.
	digest uint64
}

// membershipEntry is a membership and the index of the entry that holds it.
type membershipEntry struct {
	index   uint64
	members membership
}

// logTail is the part of the log that is held in memory: the entries after
// base.
type logTail struct {
	base    position
	entries []storage.Entry
	digests []uint64
	// memberships holds the membership in effect at base, followed by those in
	// entries.
	memberships []membershipEntry
	hash        xxhash.Digest
	// bytes is the total size of entries.
	bytes int
}

func newLogTail(base position, members membership) *logTail {
	t := &logTail{base: base}
	t.memberships = []membershipEntry{{index: base.index, members: members}}
	return t
}

func (t *logTail) lastIndex() uint64 { return t.base.index + uint64(len(t.entries)) }

// at returns the position at index; ok is false outside the tail.
func (t *logTail) at(index uint64) (p position, ok bool) {
	switch {
	case index == t.base.index:
		return t.base, true
	case index < t.base.index || index > t.lastIndex():
		return position{}, false
	}
	i := index - t.base.index - 1
	return position{index: index, term: t.entries[i].Term, digest: t.digests[i]}, true
}

func (t *logTail) last() position {
	p, _ := t.at(t.lastIndex())
	return p
}

// entriesFrom returns the entries from index on, limited to maxBytes but at
// least one. It returns nil outside the tail.
func (t *logTail) entriesFrom(index uint64, maxBytes int) []storage.Entry {
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

// add appends an entry. It returns an error if the entry holds a membership
// that cannot be decoded.
func (t *logTail) add(e storage.Entry) error {
	if e.Kind == kindMembers {
		members, err := decodeMembership(e.Data)
		if err != nil {
			return err
		}
		t.memberships = append(t.memberships, membershipEntry{index: e.Index, members: members})
	}
	digest := t.chainDigest(t.last().digest, e)
	t.entries = append(t.entries, e)
	t.digests = append(t.digests, digest)
	t.bytes += e.Size()
	return nil
}

// chainDigest returns the digest of the log up to e. previous is the digest of
// the log before e.
func (t *logTail) chainDigest(previous uint64, e storage.Entry) uint64 {
	var b [17]byte
	binary.LittleEndian.PutUint64(b[0:], previous)
	binary.LittleEndian.PutUint64(b[8:], e.Term)
	b[16] = byte(e.Kind)
	t.hash.Reset()
	_, _ = t.hash.Write(b[:])
	_, _ = t.hash.Write(e.Data)
	return t.hash.Sum64()
}

// truncate removes the entries from index on. index must be after base.
func (t *logTail) truncate(index uint64) {
	keep := index - t.base.index - 1
	for i := keep; i < uint64(len(t.entries)); i++ {
		t.bytes -= t.entries[i].Size()
	}
	// The entries are copied because messages may still refer to the old slice.
	t.entries = append([]storage.Entry(nil), t.entries[:keep]...)
	t.digests = t.digests[:keep]
	for len(t.memberships) > 1 && t.memberships[len(t.memberships)-1].index >= index {
		t.memberships = t.memberships[:len(t.memberships)-1]
	}
}

// compact removes the entries up to index and makes index the new base.
func (t *logTail) compact(index uint64) {
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
	for len(t.memberships) > 1 && t.memberships[1].index <= index {
		t.memberships = t.memberships[1:]
	}
	t.base = p
}

// latestMembership returns the last membership in the log.
func (t *logTail) latestMembership() membershipEntry { return t.memberships[len(t.memberships)-1] }

// membersAt returns the membership in effect at index.
func (t *logTail) membersAt(index uint64) membership {
	members := t.memberships[0].members
	for _, entry := range t.memberships[1:] {
		if entry.index <= index {
			members = entry.members
		}
	}
	return members
}
