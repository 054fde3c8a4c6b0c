package replica

import (
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// maxStoreBytes limits the size of the entries that are written between two
// syncs of the disk. The last entry may exceed it.
const maxStoreBytes = 8 << 20

// engine connects the core of one replica to its store, its state machine and
// its transport. It does the work that the core requests, in order, and
// completes the waiting calls. It starts no goroutine and reads no clock.
type engine struct {
	Options
	store *storage.Store
	core  *core
	// applied is the index of the last entry that the state machine has
	// applied.
	applied uint64
	// snapshotSize is the size of the last snapshot, in bytes.
	snapshotSize int
	proposals    proposals
	barriers     readBarriers
	// changeDone completes the call that started the membership change in
	// progress.
	changeDone func(error)
	// pendingSnapshot is the snapshot that is being written, if any.
	// startSnapshotJob runs such a job and then sets writtenSnapshot; the next
	// flush finishes it.
	pendingSnapshot, writtenSnapshot *snapshotJob
	startSnapshotJob                 func(*snapshotJob)
}

// openEngine opens the store on disk. If the stored data is damaged, it is
// quarantined and the replica starts without data under a new ID.
func openEngine(o Options, disk storage.Disk, rng *rand.Rand, now time.Duration) (*engine, error) {
	store, err := storage.Open(disk, o.storage(rng))
	if fault.Is(err, fault.Damaged) {
		o.Logger.Error("stored data is damaged; quarantining it and starting with a new replica ID", zap.String("group", o.Group), zap.Error(err))
		if err := storage.Quarantine(disk); err != nil {
			return nil, err
		}
		store, err = storage.Open(disk, o.storage(rng))
	}
	if err != nil {
		return nil, err
	}
	e := &engine{Options: o, store: store}
	if err := e.load(rng, now); err != nil {
		return nil, err
	}
	return e, nil
}

func (o Options) storage(rng *rand.Rand) storage.Options {
	return storage.Options{NewID: fmt.Sprintf("%016x", rng.Uint64()), SegmentSize: o.SegmentSize}
}

func (e *engine) load(rng *rand.Rand, now time.Duration) error {
	snapshot := e.store.Snapshot()
	members, err := decodeMembership(snapshot.Members)
	if err != nil {
		return err
	}
	if snapshot.Index > 0 {
		if err := e.Machine.Restore(snapshot.Data); err != nil {
			return fault.Wrap(fault.Damaged, err, "restore the state machine from the stored snapshot")
		}
	}
	t := newLogTail(position{index: snapshot.Index, term: snapshot.Term, digest: snapshot.Digest}, members)
	for _, entry := range e.store.TakeEntries() {
		if err := t.add(entry); err != nil {
			return err
		}
	}
	e.applied = snapshot.Index
	e.snapshotSize = len(snapshot.Data)
	e.barriers.token = rng.Uint64()
	o := coreOptions{
		group: e.Group, address: e.Address, heartbeatInterval: e.HeartbeatInterval, electionTimeout: e.ElectionTimeout,
		appendBytes: e.appendBytes, chunkBytes: e.chunkBytes, rng: rng,
	}
	e.core = newCore(o, e.store.State(), t, snapshot.Index, now)
	return nil
}

// tick advances the clock. It must be called before other methods if time has
// passed.
func (e *engine) tick(now time.Duration) {
	e.core.tick(now)
	e.retryReadIndex()
}

// step handles one message from another replica.
func (e *engine) step(m Message) { e.core.step(m) }

// propose stages a command for the log. done is called once, with the result of
// the command or an error.
func (e *engine) propose(command []byte, done func([]byte, error)) {
	if err := e.checkLeader(); err != nil {
		done(nil, err)
		return
	}
	e.proposals.staged = append(e.proposals.staged, proposal{command: command, done: done})
}

func (e *engine) checkLeader() error {
	switch {
	case !e.core.founded():
		return fault.New(fault.NotFounded, "this replica does not belong to a group yet")
	case e.core.role != leader:
		return fault.New(fault.NotLeader, "this replica is not the leader")
	}
	return nil
}

// changeMembership starts a membership change. done is called once, when the
// change has finished or failed.
func (e *engine) changeMembership(change membershipChange, done func(error)) {
	if !e.core.founded() {
		done(fault.New(fault.NotFounded, "this replica does not belong to a group yet"))
		return
	}
	e.completeChange()
	if err := e.core.beginChange(change); err != nil {
		done(err)
		return
	}
	e.changeDone = done
}

// cancelChange cancels the membership change in progress. Steps that are
// already in the log are not undone.
func (e *engine) cancelChange() {
	e.core.finishChange(fault.New(fault.NoLeader, "the membership change was canceled"))
	e.completeChange()
}

// completeChange completes the call whose membership change has finished. It
// must run before another change starts.
func (e *engine) completeChange() {
	results := e.core.takeChangeResults()
	if len(results) == 0 || e.changeDone == nil {
		return
	}
	done := e.changeDone
	e.changeDone = nil
	done(results[0])
}

// flush does all work that the core has requested. An error is fatal: the
// process must exit.
func (e *engine) flush() error {
	if err := e.finishSnapshot(e.writtenSnapshot); err != nil {
		return err
	}
	e.proposeStaged()
	for {
		out := e.core.takeOutput()
		if err := e.execute(&out); err != nil {
			return err
		}
		if e.core.diverged {
			return fault.New(fault.Damaged, "the log of group %s has diverged from the log of its leader", e.Group)
		}
		if err := e.advance(); err != nil {
			return err
		}
		if e.core.idle() {
			return nil
		}
	}
}

// execute does the work of one output, in order. A leader sends its entries
// before it stores them, so that its write and those of the followers run in
// parallel; if the state has changed too, it stores first and sends afterwards.
// Its own copy counts towards a quorum only once it is durable.
func (e *engine) execute(out *output) error {
	if !out.state {
		e.sendAll(out.beforeStore)
		out.beforeStore = nil
	}
	if err := e.persist(out); err != nil {
		return err
	}
	e.sendAll(out.beforeStore)
	e.sendAll(out.messages)
	for _, read := range out.reads {
		e.barriers.onReadResult(read)
	}
	e.completeChange()
	if out.wantSnapshot {
		return e.loadSnapshot()
	}
	return nil
}

func (e *engine) persist(out *output) error {
	if out.state {
		if err := e.store.SetState(e.core.state); err != nil {
			return err
		}
	}
	if out.install != nil {
		if err := e.installSnapshot(*out.install); err != nil {
			return err
		}
	}
	if len(out.entries) == 0 {
		return nil
	}
	if err := e.storeEntries(out.entries); err != nil {
		return err
	}
	e.core.markStable(out.entries[len(out.entries)-1].Index)
	return nil
}

// storeEntries writes entries with one sync, or with several if the entries are
// larger than maxStoreBytes.
func (e *engine) storeEntries(entries []storage.Entry) error {
	size := 0
	for i := range entries {
		if size > maxStoreBytes {
			if err := e.store.Sync(); err != nil {
				return err
			}
			size = 0
		}
		if err := e.store.Append(entries[i]); err != nil {
			return err
		}
		size += entries[i].Size()
	}
	return e.store.Sync()
}

func (e *engine) installSnapshot(s storage.Snapshot) error {
	if err := e.finishSnapshot(e.pendingSnapshot); err != nil {
		return err
	}
	if err := e.store.InstallSnapshot(s); err != nil {
		return err
	}
	if err := e.Machine.Restore(s.Data); err != nil {
		return fault.Wrap(fault.Damaged, err, "restore the state machine from the leader's snapshot")
	}
	e.applied = s.Index
	e.snapshotSize = len(s.Data)
	return nil
}

func (e *engine) sendAll(messages []outgoingMessage) {
	for _, m := range messages {
		e.Transport.Send(m.address, m.message)
	}
}

// advance applies committed entries, completes waiting calls, and starts a
// snapshot if one is due.
func (e *engine) advance() error {
	e.apply()
	if e.core.role != leader {
		e.proposals.fail(errLeadershipLost())
	}
	e.barriers.onApplied(e.applied)
	e.requestReadIndex()
	return e.startSnapshot()
}

func (e *engine) apply() {
	for _, entry := range e.core.committedAfter(e.applied) {
		var result []byte
		if entry.Kind == kindCommand {
			result = e.Machine.Apply(entry.Index, entry.Data)
		}
		e.applied = entry.Index
		e.proposals.onApplied(entry, result)
	}
}

// close fails all waiting calls, waits until a snapshot in progress is written
// and closes the store.
func (e *engine) close() error {
	err := fault.New(fault.NoLeader, "this replica has stopped")
	e.proposals.fail(err)
	e.barriers.fail(err)
	e.core.finishChange(err)
	e.completeChange()
	if e.pendingSnapshot != nil {
		e.pendingSnapshot.run()
	}
	return e.store.Close()
}
