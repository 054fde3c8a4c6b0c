package storage

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const segmentPrefix = "log-"

// segment is one file of the log.
type segment struct {
	seq  uint64
	size int64
	// last is the highest index in the segment or in one before it.
	last uint64
}

func segmentName(seq uint64) string {
	return fmt.Sprintf("%s%016x", segmentPrefix, seq)
}

func isSegment(name string) bool {
	return strings.HasPrefix(name, segmentPrefix)
}

// segmentNumbers returns the numbers of the segments among names, ascending.
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

// Append stages entries for the next Sync. The first entry follows the last
// one, or replaces the conflicting suffix that begins at its index.
func (s *Store) Append(entries ...Entry) error {
	if s.failed != nil {
		return s.failed
	}
	for _, e := range entries {
		if e.Index == 0 || e.Index > s.last+1 || e.Index <= s.snapshot.Index {
			return fault.New(fault.Internal, "entry %d does not follow %d", e.Index, s.last)
		}
		if e.Index <= s.last {
			s.dropStaged(e.Index)
		}
		s.staged = append(s.staged, e)
		s.last = e.Index
	}
	return nil
}

func (s *Store) dropStaged(from uint64) {
	for i := range s.staged {
		if s.staged[i].Index >= from {
			s.staged = s.staged[:i]
			return
		}
	}
}

// Sync makes all staged entries durable with one write and one sync. Only then
// may they be acknowledged.
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

func (s *Store) writeFrame(before uint64, entries []Entry) error {
	s.buffer = appendFrame(s.buffer[:0], before, entries)
	if len(s.buffer) > headerSize+MaxFrame {
		return fault.New(fault.TooLarge, "a batch of %d bytes is above the limit", len(s.buffer))
	}
	if _, err := s.active.Write(s.buffer); err != nil {
		return s.fail(err, "write to the log")
	}
	if err := s.active.Sync(); err != nil {
		return s.fail(err, "sync the log")
	}
	segment := &s.segments[len(s.segments)-1]
	segment.size += int64(len(s.buffer))
	segment.last = max(segment.last, before+uint64(len(entries)))
	return nil
}

func (s *Store) beginSegment() error {
	next := segment{seq: 1}
	if n := len(s.segments); n > 0 {
		next = segment{seq: s.segments[n-1].seq + 1, last: s.segments[n-1].last}
	}
	f, err := s.disk.Append(segmentName(next.seq))
	if err != nil {
		return s.fail(err, "begin a segment")
	}
	if s.active != nil {
		_ = s.active.Close()
	}
	s.active = f
	s.segments = append(s.segments, next)
	return nil
}

// Compact removes the segments whose entries all have an index up to index,
// which must not be after the stored snapshot.
func (s *Store) Compact(index uint64) error {
	if s.failed != nil {
		return s.failed
	}
	if index > s.snapshot.Index {
		return fault.New(fault.Internal, "entry %d is not in a snapshot", index)
	}
	for len(s.segments) > 1 && s.segments[0].last <= index {
		if err := s.disk.Remove(segmentName(s.segments[0].seq)); err != nil {
			return s.fail(err, "remove a segment")
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// restart begins the log again after index. The mark that says so is durable
// before the first old segment goes.
func (s *Store) restart(index uint64) error {
	s.staged = s.staged[:0]
	if err := s.beginSegment(); err != nil {
		return err
	}
	if err := s.writeFrame(index, nil); err != nil {
		return err
	}
	s.last = index
	s.segments[len(s.segments)-1].last = index
	for len(s.segments) > 1 {
		if err := s.disk.Remove(segmentName(s.segments[0].seq)); err != nil {
			return s.fail(err, "remove a segment")
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// Size returns the number of bytes that the log takes on the disk.
func (s *Store) Size() int64 {
	var size int64
	for _, g := range s.segments {
		size += g.size
	}
	return size
}
