package replica

import (
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// maxStoreBytes bounds the entries of one write to the disk.
const maxStoreBytes = 8 << 20

// engine joins the core of one replica with its store, its machine and its
// transport. It does what the core asks for, in order, and completes the calls
// that wait. It has no goroutine and reads no clock.
type engine struct {
	Options
	store *storage.Store
	core  *core
	// applied is the last entry that the machine has seen.
	applied uint64
	// snapshotSize is the size of the last snapshot, in bytes.
	snapshotSize int
	proposals    proposals
	confirms     confirms
	changeDone   func(error)
	// saving is the snapshot that is being written. write runs such a job and
	// then sets written; the next flush ends it.
	saving, written *snapshotJob
	write           func(*snapshotJob)
}

// openEngine opens the store on disk. A store that finds damage gives up its
// identity: the data are set aside and the replica starts as a new one.
func openEngine(o Options, disk storage.Disk, rng *rand.Rand, now time.Duration) (*engine, error) {
	store, err := storage.Open(disk, o.storage(rng))
	if fault.Is(err, fault.Damaged) {
		o.Logger.Error("stored data are damaged; this replica starts again as a new one", zap.String("group", o.Group), zap.Error(err))
		if err := storage.SetAside(disk); err != nil {
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
			return fault.Wrap(fault.Damaged, err, "restore the snapshot")
		}
	}
	t := newTail(position{index: snapshot.Index, term: snapshot.Term, digest: snapshot.Digest}, members)
	for _, entry := range e.store.TakeEntries() {
		if err := t.push(entry); err != nil {
			return err
		}
	}
	e.applied = snapshot.Index
	e.snapshotSize = len(snapshot.Data)
	e.confirms.token = rng.Uint64()
	o := coreOptions{
		group: e.Group, address: e.Address, heartbeat: e.Heartbeat, election: e.Election,
		appendBytes: e.appendBytes, chunkBytes: e.chunkBytes, rng: rng,
	}
	e.core = newCore(o, e.store.State(), t, snapshot.Index, now)
	return nil
}

// tick advances the clock. It must be called before other methods where time
// has passed.
func (e *engine) tick(now time.Duration) {
	e.core.tick(now)
	e.retryConfirm()
}

// step takes one message.
func (e *engine) step(m Message) { e.core.step(m) }

// propose asks to commit a command. done is called once.
func (e *engine) propose(command []byte, done func([]byte, error)) {
	if err := e.leads(); err != nil {
		done(nil, err)
		return
	}
	e.proposals.staged = append(e.proposals.staged, proposal{command: command, done: done})
}

func (e *engine) leads() error {
	switch {
	case !e.core.founded():
		return fault.New(fault.NotFounded, "this replica belongs to no group yet")
	case e.core.role != leader:
		return fault.New(fault.NotLeader, "this replica does not lead")
	}
	return nil
}

// change runs a membership change. done is called once.
func (e *engine) change(ch change, done func(error)) {
	if !e.core.founded() {
		done(fault.New(fault.NotFounded, "this replica belongs to no group yet"))
		return
	}
	e.endChanges()
	if err := e.core.beginChange(ch); err != nil {
		done(err)
		return
	}
	e.changeDone = done
}

// cancelChange ends the running change where it stands.
func (e *engine) cancelChange() {
	e.core.endChange(fault.New(fault.NoLeader, "the change of the membership was canceled"))
	e.endChanges()
}

// endChanges completes the call whose change has ended, before another begins.
func (e *engine) endChanges() {
	ended := e.core.takeEnded()
	if len(ended) == 0 || e.changeDone == nil {
		return
	}
	done := e.changeDone
	e.changeDone = nil
	done(ended[0])
}

// flush does everything that the core has asked for. An error is final: the
// process must end.
func (e *engine) flush() error {
	if err := e.endSnapshot(e.written); err != nil {
		return err
	}
	e.submit()
	for {
		out := e.core.take()
		if err := e.carryOut(&out); err != nil {
			return err
		}
		if e.core.diverged {
			return fault.New(fault.Damaged, "the log of group %s differs from its leader's log", e.Group)
		}
		if err := e.advance(); err != nil {
			return err
		}
		if e.core.idle() {
			return nil
		}
	}
}

// carryOut does one output in order. Messages of a leader that carry entries
// leave before the own write, so that both writes run at the same time; its own
// copy counts only once it is durable.
func (e *engine) carryOut(out *output) error {
	if !out.state {
		e.sendAll(out.early)
		out.early = nil
	}
	if err := e.persist(out); err != nil {
		return err
	}
	e.sendAll(out.early)
	e.sendAll(out.messages)
	for _, read := range out.reads {
		e.confirms.answered(read)
	}
	e.endChanges()
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
		if err := e.install(*out.install); err != nil {
			return err
		}
	}
	if len(out.entries) == 0 {
		return nil
	}
	if err := e.storeEntries(out.entries); err != nil {
		return err
	}
	e.core.stored(out.entries[len(out.entries)-1].Index)
	return nil
}

// storeEntries writes entries with one sync, or a few where they are large.
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

func (e *engine) install(s storage.Snapshot) error {
	if err := e.endSnapshot(e.saving); err != nil {
		return err
	}
	if err := e.store.InstallSnapshot(s); err != nil {
		return err
	}
	if err := e.Machine.Restore(s.Data); err != nil {
		return fault.Wrap(fault.Damaged, err, "restore a snapshot")
	}
	e.applied = s.Index
	e.snapshotSize = len(s.Data)
	return nil
}

func (e *engine) sendAll(messages []outgoing) {
	for _, m := range messages {
		e.Transport.Send(m.address, m.message)
	}
}

// advance applies what is committed, completes calls, and makes a snapshot
// where one is due.
func (e *engine) advance() error {
	e.apply()
	if e.core.role != leader {
		e.proposals.fail(errLeadershipLost())
	}
	e.confirms.applied(e.applied)
	e.beginConfirm()
	return e.makeSnapshot()
}

func (e *engine) apply() {
	for _, entry := range e.core.committed(e.applied) {
		var result []byte
		if entry.Kind == kindCommand {
			result = e.Machine.Apply(entry.Index, entry.Data)
		}
		e.applied = entry.Index
		e.proposals.applied(entry, result)
	}
}

// close fails every waiting call and closes the store.
func (e *engine) close() error {
	err := fault.New(fault.NoLeader, "this replica has ended")
	e.proposals.fail(err)
	e.confirms.fail(err)
	e.core.endChange(err)
	e.endChanges()
	if e.saving != nil {
		e.saving.run()
	}
	return e.store.Close()
}
