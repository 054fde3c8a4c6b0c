package storage

import (
	"github.com/teaselrack/teaselrack/internal/fault"
)

// replay is the log as far as it has been read.
type replay struct {
	// base is the index before the first entry; known once a frame was read.
	base    uint64
	known   bool
	entries []Entry
}

func (r *replay) last() uint64 {
	return r.base + uint64(len(r.entries))
}

// add applies one frame: it extends the log, replaces a suffix, or restarts it.
// A frame may also replace all that is left of a compacted log.
func (r *replay) add(f frame) bool {
	if len(f.entries) == 0 || !r.known || f.before < r.base {
		*r = replay{base: f.before, known: true, entries: f.entries}
		return true
	}
	if f.before > r.last() {
		return false
	}
	r.entries = append(r.entries[:f.before-r.base], f.entries...)
	return true
}

func (s *Store) loadLog(hasSnapshot bool) error {
	names, err := s.disk.List()
	if err != nil {
		return s.fail(err, "list the data folder")
	}
	numbers := segmentNumbers(names)
	if len(numbers) == 0 {
		return fault.New(fault.Damaged, "there is an identity without a log")
	}
	var r replay
	for i, seq := range numbers {
		if i > 0 && seq != numbers[i-1]+1 {
			return fault.New(fault.Damaged, "segment %d is missing", numbers[i-1]+1)
		}
		if err := s.loadSegment(&r, seq, i == len(numbers)-1); err != nil {
			return err
		}
	}
	if err := s.openLast(numbers[len(numbers)-1]); err != nil {
		return err
	}
	return s.join(r, hasSnapshot)
}

func (s *Store) loadSegment(r *replay, seq uint64, last bool) error {
	b, err := s.disk.Read(segmentName(seq))
	if err != nil {
		return s.fail(err, "read a segment")
	}
	offset := 0
	for offset < len(b) {
		f, size, v := decodeFrame(b, offset)
		if v == whole && !r.add(f) {
			return fault.New(fault.Damaged, "segment %d has a gap at byte %d", seq, offset)
		}
		if v != whole {
			if v == corrupt || !last || holdsFrame(b[min(len(b), offset+sectorSize):]) {
				return fault.New(fault.Damaged, "segment %d fails its checksum at byte %d", seq, offset)
			}
			if err := s.disk.Truncate(segmentName(seq), int64(offset)); err != nil {
				return s.fail(err, "cut the torn end of the log")
			}
			break
		}
		offset += size
	}
	s.segments = append(s.segments, segment{seq: seq, size: int64(offset), last: r.last()})
	return nil
}

// openLast opens the last segment for appends. It is synced at once: what was
// read may still have been on its way to the disk.
func (s *Store) openLast(seq uint64) error {
	f, err := s.disk.Append(segmentName(seq))
	if err != nil {
		return s.fail(err, "open the last segment")
	}
	s.active = f
	if err := f.Sync(); err != nil {
		return s.fail(err, "sync the last segment")
	}
	return nil
}

// join puts the log behind the snapshot. A log that ends before the snapshot,
// or that holds another entry at its index, was replaced by it: the crash came
// before the log was started again.
func (s *Store) join(r replay, hasSnapshot bool) error {
	at := s.snapshot.Index
	switch {
	case r.base > at:
		return fault.New(fault.Damaged, "the log begins after %d, the snapshot ends at %d", r.base, at)
	case hasSnapshot && r.last() < at:
		return s.restart(at)
	case hasSnapshot && r.base < at && r.entries[at-r.base-1].Term != s.snapshot.Term:
		return s.restart(at)
	}
	s.entries = r.entries[at-r.base:]
	s.last = r.last()
	return nil
}
