package storage_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/storage"
	"github.com/teaselrack/teaselrack/internal/process/storage/storagetest"
)

const firstSegment = "log-0000000000000001"

// options limits a segment to two small frames.
var options = storage.Options{NewID: "new", SegmentSize: 1024}

func newDisk() *storagetest.Disk {
	return storagetest.New(rand.New(rand.NewPCG(1, 1)))
}

func open(t *testing.T, d storage.Disk) *storage.Store {
	t.Helper()
	s, err := storage.Open(d, options)
	must.NoError(t, err)
	return s
}

func entry(index, term uint64) storage.Entry {
	return storage.Entry{Index: index, Term: term, Kind: 1, Data: fmt.Appendf(nil, "%d of term %d", index, term)}
}

// appendSync appends entries and syncs after each one.
func appendSync(t *testing.T, s *storage.Store, entries ...storage.Entry) {
	t.Helper()
	for _, e := range entries {
		must.NoError(t, s.Append(e))
		must.NoError(t, s.Sync())
	}
}

func TestStoreOnFiles(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	d, err := storage.OpenDirectory(dir)
	must.NoError(t, err)
	_, err = storage.OpenDirectory(dir)
	must.Eq(t, fault.StorageFailed, fault.KindOf(err))
	s := open(t, d)
	want := storage.HardState{ID: "new", Cluster: 3, Term: 4, Vote: "x"}
	must.NoError(t, s.SetState(want))
	appendSync(t, s, entry(1, 1), entry(2, 1), entry(3, 2))
	must.NoError(t, s.SaveSnapshot(storage.Snapshot{Index: 1, Term: 1, Data: []byte("state")}))
	must.NoError(t, s.Close())
	must.NoError(t, d.Close())

	d, err = storage.OpenDirectory(dir)
	must.NoError(t, err)
	s = open(t, d)
	must.Eq(t, want, s.State())
	must.Eq(t, "state", string(s.Snapshot().Data))
	must.Eq(t, []storage.Entry{entry(2, 1), entry(3, 2)}, s.TakeEntries())
	must.NoError(t, storage.Quarantine(d))
	s = open(t, d)
	must.Eq(t, storage.HardState{ID: "new"}, s.State())
	must.NoError(t, d.Close())
}

func TestOneSyncForManyAppends(t *testing.T) {
	d := newDisk()
	s := open(t, d)
	before := d.Syncs
	for i := range uint64(100) {
		must.NoError(t, s.Append(entry(i+1, 1)))
	}
	must.NoError(t, s.Sync())
	must.Eq(t, before+1, d.Syncs)
	must.SliceLen(t, 100, open(t, d).TakeEntries())
}

func TestConflictingSuffixIsReplaced(t *testing.T) {
	d := newDisk()
	s := open(t, d)
	appendSync(t, s, entry(1, 1), entry(2, 1), entry(3, 1), entry(2, 2))
	must.NoError(t, s.Append(entry(3, 2), entry(4, 2), entry(3, 3)))
	must.NoError(t, s.Sync())
	must.Error(t, s.Append(entry(5, 3)))
	must.Eq(t, []storage.Entry{entry(1, 1), entry(2, 2), entry(3, 3)}, open(t, d).TakeEntries())
}

func TestFailureIsFinal(t *testing.T) {
	for n := range 2 {
		d := newDisk()
		s := open(t, d)
		d.FailAfter(n) // the write, then the sync
		must.NoError(t, s.Append(entry(1, 1)))
		must.Eq(t, fault.StorageFailed, fault.KindOf(s.Sync()))
		d.Crash()
		must.Eq(t, fault.StorageFailed, fault.KindOf(s.Sync()))
		must.Eq(t, fault.StorageFailed, fault.KindOf(s.Append(entry(1, 1))))
		must.Eq(t, fault.StorageFailed, fault.KindOf(s.SetState(storage.HardState{})))
		must.Eq(t, fault.StorageFailed, fault.KindOf(s.SaveSnapshot(storage.Snapshot{})))
	}
}

// TestEveryChangedByteIsFound guards against corrupt data being read as valid. It
// corrupts each stored byte in turn and expects Open to return Damaged.
func TestEveryChangedByteIsFound(t *testing.T) {
	build := func() *storagetest.Disk {
		d := newDisk()
		s := open(t, d)
		appendSync(t, s, entry(1, 1), entry(2, 1), entry(3, 2))
		must.NoError(t, s.SaveSnapshot(storage.Snapshot{Index: 1, Term: 1, Data: []byte("state")}))
		return d
	}
	names, err := build().List()
	must.NoError(t, err)
	must.Eq(t, []string{firstSegment, "log-0000000000000002", "snapshot", "state"}, names)
	for _, name := range names {
		for offset := range build().Size(name) {
			d := build()
			d.Corrupt(name, offset)
			_, err := storage.Open(d, options)
			must.Eq(t, fault.Damaged, fault.KindOf(err), must.Sprintf("%s byte %d", name, offset))
		}
	}
}

func TestMissingFilesAreDamage(t *testing.T) {
	for _, name := range []string{firstSegment, "log-0000000000000002", "state"} {
		d := newDisk()
		s := open(t, d)
		appendSync(t, s, entry(1, 1))
		must.NoError(t, s.InstallSnapshot(storage.Snapshot{Index: 9, Term: 1}))
		if name == firstSegment {
			must.NoError(t, d.Rename("log-0000000000000002", "log-0000000000000004"))
			name = "snapshot"
		}
		must.NoError(t, d.Remove(name))
		_, err := storage.Open(d, options)
		must.Eq(t, fault.Damaged, fault.KindOf(err), must.Sprint(name))
	}
}

// TestQuarantineNeverRestoresTheIdentity guards against a replica that resumes its
// damaged identity after a crash during Quarantine. It crashes at each step.
func TestQuarantineNeverRestoresTheIdentity(t *testing.T) {
	for n := range 8 {
		for seed := range uint64(4) {
			d := storagetest.New(rand.New(rand.NewPCG(seed, 1)))
			s, err := storage.Open(d, storage.Options{NewID: "old"})
			must.NoError(t, err)
			appendSync(t, s, entry(1, 1), entry(2, 1), entry(3, 1))
			must.NoError(t, s.SaveSnapshot(storage.Snapshot{Index: 2, Term: 1}))
			d.Corrupt(firstSegment, 3*512-1)
			d.FailAfter(n)
			_ = storage.Quarantine(d)
			d.Crash()
			s, err = storage.Open(d, options)
			if fault.Is(err, fault.Damaged) {
				must.NoError(t, storage.Quarantine(d))
				s, err = storage.Open(d, options)
			}
			must.NoError(t, err)
			must.Eq(t, "new", s.State().ID)
			must.SliceEmpty(t, s.TakeEntries())
		}
	}
}

// TestCrashKeepsWhatWasSynced crashes at a random operation, so that unsynced data is
// torn or lost. After a restart all acknowledged entries and snapshots must be present,
// and no entry that was never appended.
func TestCrashKeepsWhatWasSynced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := storagetest.New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		var acknowledged, attempted []storage.Entry
		acknowledgedSnapshot := uint64(0)
		for range rapid.IntRange(1, 4).Draw(t, "lives") {
			s, err := storage.Open(d, options)
			if err != nil {
				t.Fatalf("open: %v", err)
			}
			snapshot := s.Snapshot().Index
			log := s.TakeEntries()
			if snapshot < acknowledgedSnapshot {
				t.Fatalf("acknowledged snapshot %d is lost", acknowledgedSnapshot)
			}
			checkLog(t, snapshot, log, acknowledged)
			w := writer{t: t, store: s, log: prependPrefix(snapshot, log, attempted), snapshot: snapshot}
			d.FailAfter(rapid.IntRange(0, 25).Draw(t, "operations"))
			w.run()
			acknowledged, attempted, acknowledgedSnapshot = w.synced, w.log, w.snapshot
			d.Crash()
		}
	})
}

// writer appends entries, replaces suffixes and compacts the log until the disk fails.
type writer struct {
	t        *rapid.T
	store    *storage.Store
	log      []storage.Entry // from index 1
	synced   []storage.Entry
	snapshot uint64
	term     uint64
}

func (w *writer) run() {
	w.synced = slices.Clone(w.log)
	w.term = uint64(len(w.log)) + 1
	for {
		w.term++
		var err error
		switch rapid.IntRange(0, 5).Draw(w.t, "operation") {
		case 0:
			err = w.save()
		case 1:
			cut := rapid.IntRange(int(w.snapshot), len(w.log)).Draw(w.t, "cut")
			err = w.append(cut, 1)
		default:
			err = w.append(len(w.log), rapid.IntRange(1, 4).Draw(w.t, "count"))
		}
		if err != nil {
			return
		}
	}
}

func (w *writer) append(keep, count int) error {
	w.log = slices.Clone(w.log[:keep])
	for range count {
		e := entry(uint64(len(w.log))+1, w.term)
		e.Data = bytes.Repeat(e.Data, 40)
		w.log = append(w.log, e)
		if err := w.store.Append(e); err != nil {
			return err
		}
	}
	if keep < len(w.synced) {
		w.synced = w.synced[:keep] // after a crash the log may hold either suffix
	}
	if err := w.store.Sync(); err != nil {
		return err
	}
	w.synced = slices.Clone(w.log)
	return nil
}

func (w *writer) save() error {
	if len(w.log) == 0 || uint64(len(w.log)) == w.snapshot {
		return w.append(len(w.log), 1)
	}
	last := w.log[len(w.log)-1]
	if err := w.store.SaveSnapshot(storage.Snapshot{Index: last.Index, Term: last.Term}); err != nil {
		return err
	}
	w.snapshot = last.Index
	return w.store.Compact(last.Index)
}

// prependPrefix returns the log from index 1: the entries that the snapshot includes,
// followed by the entries after it.
func prependPrefix(snapshot uint64, log, attempted []storage.Entry) []storage.Entry {
	return append(slices.Clone(attempted[:snapshot]), log...)
}

func checkLog(t *rapid.T, snapshot uint64, log, acknowledged []storage.Entry) {
	if got, want := snapshot+uint64(len(log)), uint64(len(acknowledged)); got < want {
		t.Fatalf("the log ends at entry %d, but entry %d was acknowledged", got, want)
	}
	for i, e := range log {
		index := snapshot + uint64(i)
		if index < uint64(len(acknowledged)) && e.Term != acknowledged[index].Term {
			t.Fatalf("entry %d has term %d, but was acknowledged with term %d", e.Index, e.Term, acknowledged[index].Term)
		}
		if e.Index != index+1 || !bytes.Contains(e.Data, fmt.Appendf(nil, "%d of term %d", e.Index, e.Term)) {
			t.Fatalf("entry %d was never appended", e.Index)
		}
	}
}
