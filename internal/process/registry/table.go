package registry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

const (
	// StaleAfter is the time without an answer of a replica after which a
	// table is stale.
	StaleAfter = RecordLife
	// Grace is how long a target stays that a replica with a new epoch does not
	// list: the replica may have just lost its soft state.
	Grace = RenewalInterval + RecordLife
)

// Table holds the targets that a daemon may use. While no replica answers, it
// keeps what it has. Its methods may be called from any goroutine.
type Table struct {
	now func() time.Time

	mu      sync.Mutex
	targets map[string]*entry // by service/instance
	heard   time.Time
	epoch   string
	version uint64
	// asked are the subscriptions of the last renewal, subscribed those of the
	// last full list.
	asked      []string
	subscribed []string

	// view holds the targets by service for readers.
	view atomic.Pointer[map[string][]protocol.TargetRecord]
}

// entry is one target of the table.
type entry struct {
	record protocol.TargetRecord
	// until is when a target leaves that a new epoch did not list; zero where
	// it is listed.
	until time.Time
}

// NewTable returns an empty table, stale until a replica has answered.
func NewTable(now func() time.Time) *Table {
	t := &Table{now: now, targets: make(map[string]*entry)}
	t.view.Store(&map[string][]protocol.TargetRecord{})
	return t
}

// Position returns the epoch and version that the next renewal carries with
// these subscriptions. Where they have changed, everything is asked for anew.
// The answer must be applied, or given up, before the next call.
func (t *Table) Position(subscriptions []string) (epoch string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked = slices.Sorted(slices.Values(subscriptions))
	if !slices.Equal(t.asked, t.subscribed) {
		return "", 0
	}
	return t.epoch, t.version
}

// Apply takes what the answer to a renewal carries; nil says that nothing has
// changed.
func (t *Table) Apply(delta *protocol.RegistryDelta) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.heard = now
	changed := t.prune(now)
	if delta != nil {
		t.take(now, delta)
		changed = true
	}
	if changed {
		t.publish()
	}
}

func (t *Table) take(now time.Time, d *protocol.RegistryDelta) {
	if d.Epoch == t.epoch && d.Version < t.version {
		return
	}
	if d.Epoch != t.epoch && !d.Full {
		return
	}
	if d.Full {
		t.retain(now, d.Epoch != t.epoch)
		t.subscribed = t.asked
	}
	for _, id := range d.Removes {
		delete(t.targets, id)
	}
	for _, r := range d.Upserts {
		t.targets[idOf(r)] = &entry{record: r}
	}
	t.epoch = d.Epoch
	t.version = d.Version
}

// retain prepares for a full list: targets of the same epoch leave, those of
// another one stay for the grace time. A target that is already in its grace
// time gets no more.
func (t *Table) retain(now time.Time, otherEpoch bool) {
	for id, e := range t.targets {
		switch {
		case !e.until.IsZero():
		case otherEpoch:
			e.until = now.Add(Grace)
		default:
			delete(t.targets, id)
		}
	}
}

// prune drops targets whose grace time is over.
func (t *Table) prune(now time.Time) bool {
	before := len(t.targets)
	maps.DeleteFunc(t.targets, func(_ string, e *entry) bool {
		return !e.until.IsZero() && !now.Before(e.until)
	})
	return len(t.targets) != before
}

func (t *Table) publish() {
	view := make(map[string][]protocol.TargetRecord)
	for _, e := range t.targets {
		view[e.record.Service] = append(view[e.record.Service], e.record)
	}
	for _, list := range view {
		slices.SortFunc(list, func(a, b protocol.TargetRecord) int { return cmp.Compare(a.Instance, b.Instance) })
	}
	t.view.Store(&view)
}

// Targets returns the usable targets of service by instance name. The caller
// must not change the list.
func (t *Table) Targets(service string) []protocol.TargetRecord {
	return (*t.view.Load())[service]
}

// Stale reports whether no replica has answered lately, so that the targets
// may be out of date.
func (t *Table) Stale() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heard.IsZero() || t.now().Sub(t.heard) >= StaleAfter
}

func idOf(r protocol.TargetRecord) string { return r.Service + "/" + r.Instance }
