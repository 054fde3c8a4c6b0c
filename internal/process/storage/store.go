package storage

import (
	"slices"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	stateName    = "state"
	snapshotName = "snapshot"
	// quarantinePrefix is the name prefix of the files that Quarantine has renamed.
	quarantinePrefix = "damaged-"
	// DefaultSegmentSize is the size after which a new segment is created, in bytes.
	DefaultSegmentSize = 4 << 20
)

// Store holds the persistent state of one replica. It is not safe for concurrent use,
// except for WriteSnapshot.
type Store struct {
	disk        Disk
	segmentSize int64
	state       HardState
	snapshot    Snapshot
	entries     []Entry
	segments    []segment
	active      File
	// lastIndex is the index of the last entry, including staged entries.
	lastIndex uint64
	staged    []Entry
	// buffer is reused to encode frames.
	buffer []byte
	failed error
}

// Options configures a Store.
type Options struct {
	// NewID is the random replica ID that is stored if the directory is empty.
	NewID string
	// SegmentSize is the size after which a new log segment is created, in bytes. The
	// default is DefaultSegmentSize.
	SegmentSize int64
}

// Open loads the store from d, or initializes it if d is empty. A torn tail of the log
// is truncated. Errors: Damaged if stored data is missing or fails its checksum before
// the end of the log, StorageFailed.
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

// create creates the first segment before the identity, so that an identity without
// a segment means that the log has been lost.
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
		return s.fail(err, "list data directory")
	}
	if slices.Contains(names, snapshotName) {
		return fault.New(fault.Damaged, "data directory has a snapshot but no replica identity")
	}
	for _, seq := range segmentNumbers(names) {
		b, err := s.disk.Read(segmentName(seq))
		if err != nil {
			return s.fail(err, "read log segment")
		}
		if len(b) > 0 {
			return fault.New(fault.Damaged, "data directory has a log but no replica identity")
		}
		if err := s.disk.Remove(segmentName(seq)); err != nil {
			return s.fail(err, "remove empty log segment")
		}
	}
	return nil
}

// State returns the last stored hard state.
func (s *Store) State() HardState { return s.state }

// Snapshot returns the last stored snapshot; its Index is 0 if there is none. Data is
// present only if the snapshot was loaded when the store was opened.
func (s *Store) Snapshot() Snapshot { return s.snapshot }

// TakeEntries returns the entries after the snapshot that were loaded when the store
// was opened, and releases the store's reference to them.
func (s *Store) TakeEntries() []Entry {
	entries := s.entries
	s.entries = nil
	return entries
}

// SetState makes the hard state durable.
func (s *Store) SetState(state HardState) error {
	if s.failed != nil {
		return s.failed
	}
	b, err := encodeRecord(state)
	if err != nil {
		return err
	}
	if err := s.disk.Replace(stateName, b); err != nil {
		return s.fail(err, "write hard state")
	}
	s.state = state
	return nil
}

// WriteSnapshot writes a snapshot that this replica created itself. It is the only
// method that may run concurrently with others, but not with itself, SaveSnapshot or
// InstallSnapshot. SnapshotWritten must be called before the log is compacted.
func (s *Store) WriteSnapshot(snapshot Snapshot) error {
	b, err := encodeRecord(snapshot)
	if err != nil {
		return err
	}
	if err := s.disk.Replace(snapshotName, b); err != nil {
		return fault.Wrap(fault.StorageFailed, err, "write snapshot")
	}
	return nil
}

// SnapshotWritten records the result of WriteSnapshot. A failure is permanent. The data
// of the snapshot is not kept in memory.
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

// SaveSnapshot calls WriteSnapshot and SnapshotWritten.
func (s *Store) SaveSnapshot(snapshot Snapshot) error {
	if s.failed != nil {
		return s.failed
	}
	return s.SnapshotWritten(snapshot, s.WriteSnapshot(snapshot))
}

// InstallSnapshot stores a snapshot that was received from another replica, and resets
// the log to begin after it.
func (s *Store) InstallSnapshot(snapshot Snapshot) error {
	if err := s.SaveSnapshot(snapshot); err != nil {
		return err
	}
	return s.resetLog(snapshot.Index)
}

// ReadSnapshot returns the stored encoding of the snapshot, after checking that it can
// be decoded. Errors: Damaged, StorageFailed.
func (s *Store) ReadSnapshot() ([]byte, error) {
	if s.failed != nil {
		return nil, s.failed
	}
	b, err := s.disk.Read(snapshotName)
	if err != nil {
		return nil, s.fail(err, "read snapshot")
	}
	if _, err := DecodeSnapshot(b); err != nil {
		return nil, err
	}
	return b, nil
}

// Close closes the store. Staged entries are discarded, and later operations fail.
func (s *Store) Close() error {
	if s.failed == nil {
		s.failed = fault.New(fault.StorageFailed, "store is closed")
	}
	if s.active == nil {
		return nil
	}
	return s.active.Close()
}

// fail makes a disk error permanent: later operations return the first one.
func (s *Store) fail(cause error, action string) error {
	if s.failed == nil {
		s.failed = fault.Wrap(fault.StorageFailed, cause, "%s", action)
	}
	return s.failed
}

// Quarantine renames the files of a damaged replica within its directory, so that
// the next Open starts with a new identity. The identity is renamed first: a crash
// before the end leaves a log without an identity, which Open reports as Damaged
// again.
func Quarantine(d Disk) error {
	names, err := d.List()
	if err != nil {
		return fault.Wrap(fault.StorageFailed, err, "list data directory")
	}
	if i := slices.Index(names, stateName); i > 0 {
		names[0], names[i] = names[i], names[0]
	}
	for _, name := range names {
		if name != stateName && name != snapshotName && !isSegment(name) {
			continue
		}
		if err := d.Rename(name, quarantinePrefix+name); err != nil {
			return fault.Wrap(fault.StorageFailed, err, "quarantine %s", name)
		}
	}
	return nil
}
