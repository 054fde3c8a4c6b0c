package replica

import (
	"sync"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/storage"
)

const (
	// keptEntriesDivisor divides SnapshotEvery to give the number of entries
	// that stay in the log although a snapshot covers them, so that members
	// that lag a little do not need the snapshot.
	keptEntriesDivisor = 4
	// maxLogBytes is the size of the log at which a snapshot is taken even if
	// the log is smaller than the last snapshot.
	maxLogBytes = 64 << 20
)

// snapshotJob encodes and writes one snapshot outside the event loop.
type snapshotJob struct {
	encode   func() ([]byte, error)
	snapshot storage.Snapshot
	store    *storage.Store
	once     sync.Once
	err      error
}

// run writes the snapshot, or waits for another goroutine that is writing it.
func (j *snapshotJob) run() {
	j.once.Do(func() { j.err = j.save() })
}

func (j *snapshotJob) save() error {
	data, err := j.encode()
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode the snapshot of the state machine")
	}
	j.snapshot.Data = data
	return j.store.WriteSnapshot(j.snapshot)
}

// capture captures the current state of m and returns a function that encodes
// it. The state of a Machine that is not an AsyncSnapshotter is encoded at
// once.
func capture(m Machine) func() ([]byte, error) {
	if async, ok := m.(AsyncSnapshotter); ok {
		return async.CaptureSnapshot()
	}
	data, err := m.Snapshot()
	return func() ([]byte, error) { return data, err }
}

// snapshotDue reports whether enough entries were applied since the last
// snapshot. The log may grow to the size of the last snapshot, so that writing
// snapshots costs no more than writing the log.
func (e *engine) snapshotDue() bool {
	since := e.applied - e.store.Snapshot().Index
	if e.pendingSnapshot != nil || since < e.SnapshotEvery {
		return false
	}
	return e.core.tail.bytes >= min(e.snapshotSize, maxLogBytes)
}

// startSnapshot captures a snapshot if one is due, and starts the job that
// writes it in the background.
func (e *engine) startSnapshot() error {
	if !e.snapshotDue() {
		return nil
	}
	at, ok := e.core.tail.at(e.applied)
	if !ok {
		return fault.New(fault.Internal, "snapshot: applied entry %d is not in the log", e.applied)
	}
	members, err := e.core.tail.membersAt(at.index).encode()
	if err != nil {
		return err
	}
	s := storage.Snapshot{Index: at.index, Term: at.term, Digest: at.digest, Members: members}
	e.pendingSnapshot = &snapshotJob{encode: capture(e.Machine), snapshot: s, store: e.store}
	e.startSnapshotJob(e.pendingSnapshot)
	return nil
}

// finishSnapshot waits for job, if it is the pending one, and compacts the log
// that its snapshot covers.
func (e *engine) finishSnapshot(job *snapshotJob) error {
	e.writtenSnapshot = nil
	if job == nil || e.pendingSnapshot != job {
		return nil
	}
	e.pendingSnapshot = nil
	job.run()
	s := job.snapshot
	if err := e.store.SnapshotWritten(s, job.err); err != nil {
		return err
	}
	e.snapshotSize = len(s.Data)
	e.Logger.Debug("wrote a snapshot", zap.String("group", e.Group), zap.Uint64("index", s.Index), zap.Int("bytes", len(s.Data)))
	return e.compact(s.Index)
}

func (e *engine) compact(index uint64) error {
	kept := e.SnapshotEvery / keptEntriesDivisor
	if index <= kept {
		return nil
	}
	e.core.tail.compact(index - kept)
	return e.store.Compact(index - kept)
}

// loadSnapshot passes the stored snapshot to the core, which sends it to
// members.
func (e *engine) loadSnapshot() error {
	data, err := e.store.ReadSnapshot()
	if err != nil {
		return err
	}
	s := e.store.Snapshot()
	e.core.offerSnapshot(position{index: s.Index, term: s.Term, digest: s.Digest}, data)
	return nil
}
