package replica

import (
	"sync"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/storage"
)

const (
	// keptShare is the part of SnapshotEvery that stays in the log behind a
	// snapshot, for members that lag a little.
	keptShare = 4
	// maxLogBytes is the size of the log at which a snapshot is made however
	// large it is.
	maxLogBytes = 64 << 20
)

// snapshotJob encodes and writes one snapshot beside the loop.
type snapshotJob struct {
	encode   func() ([]byte, error)
	snapshot storage.Snapshot
	store    *storage.Store
	once     sync.Once
	err      error
}

// run writes the snapshot, or waits until it is written.
func (j *snapshotJob) run() {
	j.once.Do(func() { j.err = j.save() })
}

func (j *snapshotJob) save() error {
	data, err := j.encode()
	if err != nil {
		return fault.Wrap(fault.Internal, err, "make a snapshot")
	}
	j.snapshot.Data = data
	return j.store.WriteSnapshot(j.snapshot)
}

// capture returns what encodes the present state of m. A machine that is no
// Imager is encoded at once.
func capture(m Machine) func() ([]byte, error) {
	if large, ok := m.(Imager); ok {
		return large.Image()
	}
	data, err := m.Snapshot()
	return func() ([]byte, error) { return data, err }
}

// snapshotDue reports whether enough was applied since the last snapshot. The
// log may grow to the size of the state, so that writing snapshots costs no
// more than writing the log.
func (e *engine) snapshotDue() bool {
	since := e.applied - e.store.Snapshot().Index
	if e.saving != nil || since < e.SnapshotEvery {
		return false
	}
	return e.core.tail.bytes >= min(e.snapshotSize, maxLogBytes)
}

// makeSnapshot takes a snapshot where one is due, and hands it over to be
// written while the group goes on.
func (e *engine) makeSnapshot() error {
	if !e.snapshotDue() {
		return nil
	}
	at, ok := e.core.tail.at(e.applied)
	if !ok {
		return fault.New(fault.Internal, "entry %d is not in the log", e.applied)
	}
	members, err := e.core.tail.membersAt(at.index).encode()
	if err != nil {
		return err
	}
	s := storage.Snapshot{Index: at.index, Term: at.term, Digest: at.digest, Members: members}
	e.saving = &snapshotJob{encode: capture(e.Machine), snapshot: s, store: e.store}
	e.write(e.saving)
	return nil
}

// endSnapshot waits for a job, if any, and compacts the log behind its
// snapshot.
func (e *engine) endSnapshot(job *snapshotJob) error {
	e.written = nil
	if job == nil || e.saving != job {
		return nil
	}
	e.saving = nil
	job.run()
	s := job.snapshot
	if err := e.store.SnapshotWritten(s, job.err); err != nil {
		return err
	}
	e.snapshotSize = len(s.Data)
	e.Logger.Debug("snapshot", zap.String("group", e.Group), zap.Uint64("index", s.Index), zap.Int("bytes", len(s.Data)))
	return e.compact(s.Index)
}

func (e *engine) compact(index uint64) error {
	kept := e.SnapshotEvery / keptShare
	if index <= kept {
		return nil
	}
	e.core.tail.compact(index - kept)
	return e.store.Compact(index - kept)
}

// loadSnapshot gives the stored snapshot to the core, which sends it.
func (e *engine) loadSnapshot() error {
	data, err := e.store.ReadSnapshot()
	if err != nil {
		return err
	}
	s := e.store.Snapshot()
	e.core.offerSnapshot(position{index: s.Index, term: s.Term, digest: s.Digest}, data)
	return nil
}
