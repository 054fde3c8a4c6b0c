package storage

import (
	"slices"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	stateName    = "state"
	snapshotName = "snapshot"
	// asidePrefix marks files of an identity that was given up.
	asidePrefix = "damaged-"
	// DefaultSegmentSize is the size after which a new segment is begun, in
	// bytes.
	DefaultSegmentSize = 4 << 20
)

// Store is the stored state of one replica. It may be used from one goroutine
// at a time.
type Store struct {
	disk        Disk
	segmentSize int64
	state       HardState
	snapshot    Snapshot
	entries     []Entry
	segments    []segment
	active      File
	// last is the index of the last entry, staged ones included.
	last   uint64
	staged []Entry
	// buffer is used again for each frame.
	buffer []byte
	failed error
}

// Options are the parameters of a Store.
type Options struct {
	// NewID is the random id that a folder without an identity gets.
	NewID string
	// SegmentSize is the size after which a new segment of the log is begun, in
	// bytes. Default DefaultSegmentSize.
	SegmentSize int64
}

// Open reads the store on d. A torn end of the log is cut. Errors: Damaged where stored data fail
// their checksum before the end or are missing, StorageFailed.
func Open(d Disk, o Options) (*Store, error) {
	if o.SegmentSize == 0 {
		o.SegmentSize = DefaultSegmentSize
	}
	s := &Store{disk: d, segmentSize: o.SegmentSize}
	if err := s.load(o.NewID); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Store) load(newID string) error {
	found, err := readRecord(s.disk, stateName, &s.state)
	if err != nil {
		return err
	}
	if !found {
		return s.create(newID)
	}
	hasSnapshot, err := readRecord(s.disk, snapshotName, &s.snapshot)
	if err != nil {
		return err
	}
	return s.loadLog(hasSnapshot)
}

// create makes the first segment before the identity, so that an identity
// without a segment is known to have lost its log.
func (s *Store) create(newID string) error {
	if err := s.checkEmpty(); err != nil {
		return err
	}
	if err := s.beginSegment(); err != nil {
		return err
	}
	return s.SetState(HardState{ID: newID})
}

func (s *Store) checkEmpty() error {
	names, err := s.disk.List()
	if err != nil {
		return s.fail(err, "list the data folder")
	}
	if slices.Contains(names, snapshotName) {
		return fault.New(fault.Damaged, "there is a snapshot without an identity")
	}
	for _, seq := range segmentNumbers(names) {
		b, err := s.disk.Read(segmentName(seq))
		if err != nil {
			return s.fail(err, "read a segment")
		}
		if len(b) > 0 {
			return fault.New(fault.Damaged, "there is a log without an identity")
		}
		if err := s.disk.Remove(segmentName(seq)); err != nil {
			return s.fail(err, "remove an empty segment")
		}
	}
	return nil
}

// State returns the hard state.
func (s *Store) State() HardState { return s.state }

// Snapshot returns the snapshot found when the store was opened, or the last
// one stored; its Index is 0 where there is none.
func (s *Store) Snapshot() Snapshot { return s.snapshot }

// TakeEntries returns the entries after the snapshot that were found when the
// store was opened, and forgets them.
func (s *Store) TakeEntries() []Entry {
	entries := s.entries
	s.entries = nil
	return entries
}

// SetState stores the hard state.
func (s *Store) SetState(state HardState) error {
	if s.failed != nil {
		return s.failed
	}
	b, err := encodeRecord(state)
	if err != nil {
		return err
	}
	if err := s.disk.Replace(stateName, b); err != nil {
		return s.fail(err, "store the hard state")
	}
	s.state = state
	return nil
}

// WriteSnapshot writes a snapshot that this replica made itself. Alone among
// the methods it may run beside others, apart from itself and InstallSnapshot;
// SnapshotWritten must follow before the log is compacted.
func (s *Store) WriteSnapshot(snapshot Snapshot) error {
	b, err := encodeRecord(snapshot)
	if err != nil {
		return err
	}
	if err := s.disk.Replace(snapshotName, b); err != nil {
		return fault.Wrap(fault.StorageFailed, err, "store the snapshot")
	}
	return nil
}

// SnapshotWritten notes how WriteSnapshot ended. A failure is final. The data
// of the snapshot are not kept in memory.
func (s *Store) SnapshotWritten(snapshot Snapshot, err error) error {
	if err != nil && s.failed == nil {
		s.failed = err
	}
	if s.failed != nil {
		return s.failed
	}
	snapshot.Data = nil
	s.snapshot = snapshot
	return nil
}

// SaveSnapshot writes a snapshot and notes it.
func (s *Store) SaveSnapshot(snapshot Snapshot) error {
	if s.failed != nil {
		return s.failed
	}
	return s.SnapshotWritten(snapshot, s.WriteSnapshot(snapshot))
}

// InstallSnapshot stores a snapshot that came from another replica, and starts
// the log again after it.
func (s *Store) InstallSnapshot(snapshot Snapshot) error {
	if err := s.SaveSnapshot(snapshot); err != nil {
		return err
	}
	return s.restart(snapshot.Index)
}

// ReadSnapshot reads the stored form of the snapshot. Errors: Damaged,
// StorageFailed.
func (s *Store) ReadSnapshot() ([]byte, error) {
	if s.failed != nil {
		return nil, s.failed
	}
	b, err := s.disk.Read(snapshotName)
	if err != nil {
		return nil, s.fail(err, "read the snapshot")
	}
	if _, err := DecodeSnapshot(b); err != nil {
		return nil, err
	}
	return b, nil
}

// Close ends the use of the store. Staged entries are dropped.
func (s *Store) Close() error {
	if s.failed == nil {
		s.failed = fault.New(fault.StorageFailed, "the store is closed")
	}
	if s.active == nil {
		return nil
	}
	return s.active.Close()
}

// fail makes a failed write or sync final.
func (s *Store) fail(cause error, what string) error {
	if s.failed == nil {
		s.failed = fault.Wrap(fault.StorageFailed, cause, "%s", what)
	}
	return s.failed
}

// SetAside moves the data of a damaged identity out of use, inside the folder.
// The identity goes first: a crash in between leaves a log without an identity,
// which is damaged too.
func SetAside(d Disk) error {
	names, err := d.List()
	if err != nil {
		return fault.Wrap(fault.StorageFailed, err, "list the data folder")
	}
	if i := slices.Index(names, stateName); i > 0 {
		names[0], names[i] = names[i], names[0]
	}
	for _, name := range names {
		if name != stateName && name != snapshotName && !isSegment(name) {
			continue
		}
		if err := d.Rename(name, asidePrefix+name); err != nil {
			return fault.Wrap(fault.StorageFailed, err, "move %s aside", name)
		}
	}
	return nil
}
