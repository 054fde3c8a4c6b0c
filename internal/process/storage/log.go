package storage

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const segmentPrefix = "log-"

// segment describes one file of the log.
type segment struct {
	seq  uint64
	size int64
	// lastIndex is the highest entry index in this segment and all earlier ones.
	lastIndex uint64
}

func segmentName(seq uint64) string {
	return fmt.Sprintf("%s%016x", segmentPrefix, seq)
}

func isSegment(name string) bool {
	return strings.HasPrefix(name, segmentPrefix)
}

// segmentNumbers returns the sequence numbers of the segment files among names, in
// ascending order.
func segmentNumbers(names []string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		hex, ok := strings.CutPrefix(name, segmentPrefix)
		if !ok {
			continue
		}
		if seq, err := strconv.ParseUint(hex, 16, 64); err == nil {
			numbers = append(numbers, seq)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// Append stages entries for the next Sync. An entry either follows the last entry of
// the log, or replaces the conflicting suffix that begins at its index. It must not
// replace an entry that the snapshot includes. Errors: Internal if the index is not
// allowed.
func (s *Store) Append(entries ...Entry) error {
	if s.failed != nil {
		return s.failed
	}
	for _, e := range entries {
		if e.Index == 0 || e.Index > s.lastIndex+1 || e.Index <= s.snapshot.Index {
			return fault.New(fault.Internal, "entry %d does not follow entry %d, the last one of the log, and replaces no entry after the snapshot", e.Index, s.lastIndex)
		}
		if e.Index <= s.lastIndex {
			s.truncateStaged(e.Index)
		}
		s.staged = append(s.staged, e)
		s.lastIndex = e.Index
	}
	return nil
}

func (s *Store) truncateStaged(from uint64) {
	for i := range s.staged {
		if s.staged[i].Index >= from {
			s.staged = s.staged[:i]
			return
		}
	}
}

// Sync makes all staged entries durable with one write and one sync. Entries may be
// acknowledged only after Sync has returned nil.
func (s *Store) Sync() error {
	if s.failed != nil {
		return s.failed
	}
	if len(s.staged) == 0 {
		return nil
	}
	if s.segments[len(s.segments)-1].size >= s.segmentSize {
		if err := s.beginSegment(); err != nil {
			return err
		}
	}
	if err := s.writeFrame(s.staged[0].Index-1, s.staged); err != nil {
		return err
	}
	clear(s.staged)
	s.staged = s.staged[:0]
	return nil
}

func (s *Store) writeFrame(prevIndex uint64, entries []Entry) error {
	s.buffer = appendFrame(s.buffer[:0], prevIndex, entries)
	if len(s.buffer) > headerSize+MaxFrame {
		return fault.New(fault.TooLarge, "log frame of %d bytes exceeds the size limit", len(s.buffer))
	}
	if _, err := s.active.Write(s.buffer); err != nil {
		return s.fail(err, "write log frame")
	}
	if err := s.active.Sync(); err != nil {
		return s.fail(err, "sync log")
	}
	segment := &s.segments[len(s.segments)-1]
	segment.size += int64(len(s.buffer))
	segment.lastIndex = max(segment.lastIndex, prevIndex+uint64(len(entries)))
	return nil
}

func (s *Store) beginSegment() error {
	next := segment{seq: 1}
	if n := len(s.segments); n > 0 {
		next = segment{seq: s.segments[n-1].seq + 1, lastIndex: s.segments[n-1].lastIndex}
	}
	f, err := s.disk.Append(segmentName(next.seq))
	if err != nil {
		return s.fail(err, "create log segment")
	}
	if s.active != nil {
		_ = s.active.Close()
	}
	s.active = f
	s.segments = append(s.segments, next)
	return nil
}

// Compact removes the segments that contain only entries up to and including index.
// index must not exceed the index of the stored snapshot.
func (s *Store) Compact(index uint64) error {
	if s.failed != nil {
		return s.failed
	}
	if index > s.snapshot.Index {
		return fault.New(fault.Internal, "cannot compact the log to entry %d: the snapshot does not include it", index)
	}
	for len(s.segments) > 1 && s.segments[0].lastIndex <= index {
		if err := s.disk.Remove(segmentName(s.segments[0].seq)); err != nil {
			return s.fail(err, "remove log segment")
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// resetLog discards all entries, so that the next entry follows index. It writes an
// empty frame to a new segment, and syncs it before it removes the old segments.
func (s *Store) resetLog(index uint64) error {
	s.staged = s.staged[:0]
	if err := s.beginSegment(); err != nil {
		return err
	}
	if err := s.writeFrame(index, nil); err != nil {
		return err
	}
	s.lastIndex = index
	s.segments[len(s.segments)-1].lastIndex = index
	for len(s.segments) > 1 {
		if err := s.disk.Remove(segmentName(s.segments[0].seq)); err != nil {
			return s.fail(err, "remove log segment")
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// Size returns the size of the log on disk, in bytes.
func (s *Store) Size() int64 {
	var size int64
	for _, g := range s.segments {
		size += g.size
	}
	return size
}
