package storage

import (
	"github.com/teaselrack/teaselrack/internal/fault"
)

// replay is the log as reconstructed from the frames read so far.
type replay struct {
	// baseIndex is the index before the first entry. It is valid only if baseKnown is
	// true, that is, once a frame has been read.
	baseIndex uint64
	baseKnown bool
	entries   []Entry
}

func (r *replay) lastIndex() uint64 {
	return r.baseIndex + uint64(len(r.entries))
}

// apply applies one frame: it extends the log, replaces a suffix of it, or resets it.
// After a compaction, a frame may begin before the first remaining entry; it then
// replaces all remaining entries. apply returns false if there is a gap between the log
// and the frame.
func (r *replay) apply(f frame) bool {
	if len(f.entries) == 0 || !r.baseKnown || f.prevIndex < r.baseIndex {
		*r = replay{baseIndex: f.prevIndex, baseKnown: true, entries: f.entries}
		return true
	}
	if f.prevIndex > r.lastIndex() {
		return false
	}
	r.entries = append(r.entries[:f.prevIndex-r.baseIndex], f.entries...)
	return true
}

func (s *Store) loadLog(hasSnapshot bool) error {
	names, err := s.disk.List()
	if err != nil {
		return s.fail(err, "list data directory")
	}
	numbers := segmentNumbers(names)
	if len(numbers) == 0 {
		return fault.New(fault.Damaged, "data directory has a replica identity but no log")
	}
	var r replay
	for i, seq := range numbers {
		if i > 0 && seq != numbers[i-1]+1 {
			return fault.New(fault.Damaged, "log segment %d is missing", numbers[i-1]+1)
		}
		if err := s.loadSegment(&r, seq, i == len(numbers)-1); err != nil {
			return err
		}
	}
	if err := s.openLastSegment(numbers[len(numbers)-1]); err != nil {
		return err
	}
	return s.reconcile(r, hasSnapshot)
}

func (s *Store) loadSegment(r *replay, seq uint64, isLast bool) error {
	b, err := s.disk.Read(segmentName(seq))
	if err != nil {
		return s.fail(err, "read log segment")
	}
	offset := 0
	for offset < len(b) {
		f, size, status := decodeFrame(b, offset)
		if status == valid && !r.apply(f) {
			return fault.New(fault.Damaged, "log segment %d: entries are missing before byte %d", seq, offset)
		}
		if status != valid {
			if status == corrupt || !isLast || containsFrame(b[min(len(b), offset+sectorSize):]) {
				return fault.New(fault.Damaged, "log segment %d: checksum mismatch at byte %d", seq, offset)
			}
			if err := s.disk.Truncate(segmentName(seq), int64(offset)); err != nil {
				return s.fail(err, "truncate torn log tail")
			}
			break
		}
		offset += size
	}
	s.segments = append(s.segments, segment{seq: seq, size: int64(offset), lastIndex: r.lastIndex()})
	return nil
}

// openLastSegment opens the last segment for appending and syncs it, because the data
// just read may not have been synced before the restart.
func (s *Store) openLastSegment(seq uint64) error {
	f, err := s.disk.Append(segmentName(seq))
	if err != nil {
		return s.fail(err, "open last log segment")
	}
	s.active = f
	if err := f.Sync(); err != nil {
		return s.fail(err, "sync last log segment")
	}
	return nil
}

// reconcile combines the log with the snapshot. The log is reset if it ends before the
// snapshot or has an entry of another term at the snapshot's index. Such a log is left
// by a crash after a snapshot was installed and before the log was reset. Errors:
// Damaged if entries between the snapshot and the log are missing.
func (s *Store) reconcile(r replay, hasSnapshot bool) error {
	snapshotIndex := s.snapshot.Index
	switch {
	case r.baseIndex > snapshotIndex:
		return fault.New(fault.Damaged, "log begins after entry %d, but the snapshot ends at entry %d", r.baseIndex, snapshotIndex)
	case hasSnapshot && r.lastIndex() < snapshotIndex:
		return s.resetLog(snapshotIndex)
	case hasSnapshot && r.baseIndex < snapshotIndex && r.entries[snapshotIndex-r.baseIndex-1].Term != s.snapshot.Term:
		return s.resetLog(snapshotIndex)
	}
	s.entries = r.entries[snapshotIndex-r.baseIndex:]
	s.lastIndex = r.lastIndex()
	return nil
}
