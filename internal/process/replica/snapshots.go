package replica

import (
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

// snapshotDue reports whether enough was applied since the last snapshot. The
// log may grow to the size of the state, so that writing snapshots costs no
// more than writing the log.
func (e *engine) snapshotDue() bool {
	since := e.applied - e.store.Snapshot().Index
	if since < e.SnapshotEvery {
		return false
	}
	return e.core.tail.bytes >= min(e.snapshotSize, maxLogBytes)
}

func (e *engine) makeSnapshot() error {
	if !e.snapshotDue() {
		return nil
	}
	data, err := e.Machine.Snapshot()
	if err != nil {
		return fault.Wrap(fault.Internal, err, "make a snapshot")
	}
	at, ok := e.core.tail.at(e.applied)
	if !ok {
		return fault.New(fault.Internal, "entry %d is not in the log", e.applied)
	}
	members, err := e.core.tail.membersAt(at.index).encode()
	if err != nil {
		return err
	}
	s := storage.Snapshot{Index: at.index, Term: at.term, Digest: at.digest, Members: members, Data: data}
	if err := e.store.SaveSnapshot(s); err != nil {
		return err
	}
	e.snapshotSize = len(data)
	e.Logger.Debug("snapshot", zap.String("group", e.Group), zap.Uint64("index", at.index), zap.Int("bytes", len(data)))
	return e.compact(at.index)
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
