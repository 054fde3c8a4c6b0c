package registry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

const (
	// StaleAfter is the time without a response from any replica after which a
	// table is stale.
	StaleAfter = RecordTTL
	// GracePeriod is how long a target stays in the table if a full list with a
	// new epoch does not contain it: the replica may have just lost its soft
	// state.
	GracePeriod = RenewalInterval + RecordTTL
)

// Table holds the targets that a daemon may use. It keeps them while no replica
// replies. Its methods are safe for concurrent use.
type Table struct {
	now func() time.Time

	mu        sync.Mutex
	targets   map[string]*entry // by service/instance
	lastReply time.Time
	epoch     string
	version   uint64
	// requested holds the subscriptions of the last renewal, subscribed those of
	// the last full list.
	requested  []string
	subscribed []string

	leftOut leftOut

	// view holds the targets by service, for reads without the lock.
	view atomic.Pointer[map[string][]protocol.TargetRecord]
}

// entry is one target of the table.
type entry struct {
	record protocol.TargetRecord
	// expires is the end of the grace period of a target that the current epoch
	// has not listed; zero if it is listed.
	expires time.Time
}

// NewTable returns an empty table. It is stale until a replica has replied.
func NewTable(now func() time.Time) *Table {
	t := &Table{now: now, targets: make(map[string]*entry)}
	t.view.Store(&map[string][]protocol.TargetRecord{})
	return t
}

// LogTo makes the table log which targets it leaves out.
func (t *Table) LogTo(log *zap.Logger) { t.leftOut.logTo(log) }

// Position returns the epoch and version to send with the next renewal for these
// subscriptions. If they differ from those of the last full list, it returns "" and
// 0, which request a full list. The reply must be applied or discarded before the
// next call.
func (t *Table) Position(subscriptions []string) (epoch string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requested = slices.Sorted(slices.Values(subscriptions))
	if !slices.Equal(t.requested, t.subscribed) {
		return "", 0
	}
	return t.epoch, t.version
}

// Apply applies the delta of the reply to a renewal; nil means that nothing has
// changed.
func (t *Table) Apply(delta *protocol.RegistryDelta) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.lastReply = now
	changed := t.prune(now)
	if delta != nil {
		t.applyDelta(now, delta)
		changed = true
	}
	if changed {
		t.publish()
	}
}

// applyDelta applies d, without the targets that cannot be used. It ignores a delta that is older than the table, and one
// that is not full and has another epoch.
func (t *Table) applyDelta(now time.Time, d *protocol.RegistryDelta) {
	if d.Epoch == t.epoch && d.Version < t.version {
		return
	}
	if d.Epoch != t.epoch && !d.Full {
		return
	}
	if d.Full {
		t.startFullList(now, d.Epoch != t.epoch)
		t.subscribed = t.requested
	}
	for _, id := range d.Removes {
		delete(t.targets, id)
	}
	for _, r := range d.Upserts {
		if t.leftOut.check(now, r) {
			t.targets[idOf(r)] = &entry{record: r}
		} else {
			delete(t.targets, idOf(r))
		}
	}
	t.epoch = d.Epoch
	t.version = d.Version
}

// startFullList prepares the table for a full list. It removes the targets if the
// list has the same epoch; if it has another one, they stay for the grace period.
// The grace period of a target that is already in it is neither ended nor
// extended.
func (t *Table) startFullList(now time.Time, otherEpoch bool) {
	for id, e := range t.targets {
		switch {
		case !e.expires.IsZero():
		case otherEpoch:
			e.expires = now.Add(GracePeriod)
		default:
			delete(t.targets, id)
		}
	}
}

// prune removes targets whose grace period has ended, and reports whether there
// were any.
func (t *Table) prune(now time.Time) bool {
	before := len(t.targets)
	maps.DeleteFunc(t.targets, func(_ string, e *entry) bool {
		return !e.expires.IsZero() && !now.Before(e.expires)
	})
	return len(t.targets) != before
}

// publish replaces the view that Targets reads.
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

// Targets returns the known targets of service in any state, sorted by instance.
// The caller must not modify the slice.
func (t *Table) Targets(service string) []protocol.TargetRecord {
	return (*t.view.Load())[service]
}

// Stale reports whether no replica has replied within StaleAfter, so that the
// targets may be out of date.
func (t *Table) Stale() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastReply.IsZero() || t.now().Sub(t.lastReply) >= StaleAfter
}

// idOf returns the ID of a target, "service/instance".
func idOf(r protocol.TargetRecord) string { return r.Service + "/" + r.Instance }
