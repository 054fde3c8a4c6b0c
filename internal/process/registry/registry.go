package registry

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// shardCount is the number of shards of the daemons and the number of shards of the
// services. Each shard has its own lock.
const shardCount = 16

// Registry is the soft state of one replica: every daemon and its targets. It is
// lost when the process ends, and is complete again within one renewal interval
// after a restart. Times are passed in and must come from one monotonic clock. Its
// methods are safe for concurrent use.
type Registry struct {
	epoch   string
	version atomic.Uint64
	// setChanged is the version at which the set of daemons that renew with this
	// replica last changed.
	setChanged atomic.Uint64
	daemons    [shardCount]daemonShard
	services   [shardCount]serviceShard
	leftOut    leftOut
}

// daemonShard holds the daemons whose instance names hash to one shard.
type daemonShard struct {
	mu      sync.Mutex
	daemons map[string]*daemon
}

// daemon is what the replica knows about one daemon.
type daemon struct {
	record Record
	// sum is the checksum of record.
	sum     uint64
	renewed time.Time
	// direct is true if the daemon sent the last renewal to this replica.
	direct bool
	// changed is the version at which record last changed.
	changed uint64
}

// New returns an empty registry. epoch must be unique for each start of each
// replica.
func New(epoch string) *Registry {
	r := &Registry{epoch: epoch}
	for i := range shardCount {
		r.daemons[i].daemons = make(map[string]*daemon)
		r.services[i].services = make(map[string]*service)
	}
	return r
}

// LogTo makes the registry log which targets it leaves out.
func (r *Registry) LogTo(log *zap.Logger) { r.leftOut.logTo(log) }

// Epoch returns the unique ID of this registry.
func (r *Registry) Epoch() string { return r.epoch }

// Version returns the version of the last change.
func (r *Registry) Version() uint64 { return r.version.Load() }

// Renew applies a renewal that a daemon sent to this replica. It ignores requests
// that only request quota tokens.
func (r *Registry) Renew(now time.Time, request protocol.RenewRequest) {
	if request.QuotaOnly {
		return
	}
	r.put(recordOf(request), now, now, true)
}

// put stores the record of a renewal that took place at time renewed. It ignores
// the record if a newer renewal of the daemon is known.
func (r *Registry) put(rec Record, renewed, now time.Time, direct bool) {
	sh := &r.daemons[shardOf(rec.Instance)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	d, ok := sh.daemons[rec.Instance]
	if !ok {
		d = &daemon{}
		sh.daemons[rec.Instance] = d
	}
	if ok && renewed.Before(d.renewed) {
		return
	}
	d.renewed = renewed
	if ok && d.direct == direct && d.record.equal(rec) {
		d.record.Version = rec.Version
		return
	}
	old := d.record
	d.record = rec
	d.sum = rec.sum()
	d.changed = r.nextVersion()
	if d.direct != direct {
		r.recordSetChange(d.changed)
	}
	d.direct = direct
	r.updateServices(old, rec, now)
}

// updateServices removes the targets that only old has, and stores those of rec that can
// be used.
func (r *Registry) updateServices(old, rec Record, now time.Time) {
	targets := rec.targets(func(t protocol.TargetRecord) bool { return r.leftOut.check(now, t) })
	for name := range old.targets(func(t protocol.TargetRecord) bool { return t.Check() == nil }) {
		if _, still := targets[name]; !still {
			r.services[shardOf(name)].remove(name, rec.Instance, now, r.nextVersion)
		}
	}
	for name, t := range targets {
		r.services[shardOf(name)].put(t, now, r.nextVersion)
	}
}

// Expire drops daemons that have not renewed within RecordTTL, and old tombstones.
// It should be called several times a second.
func (r *Registry) Expire(now time.Time) {
	for i := range r.daemons {
		r.expireShard(&r.daemons[i], now)
	}
	for i := range r.services {
		r.services[i].dropTombstones(now)
	}
}

func (r *Registry) expireShard(sh *daemonShard, now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for instance, d := range sh.daemons {
		if now.Sub(d.renewed) < RecordTTL {
			continue
		}
		delete(sh.daemons, instance)
		removed := r.nextVersion()
		if d.direct {
			r.recordSetChange(removed)
		}
		r.updateServices(d.record, Record{Instance: instance}, now)
	}
}

// Delta returns the changes for subscriber since this epoch and version, or nil if
// there are none. It returns a full list if the changes are no longer known. For a
// service with more than SubsetSize targets, each subscriber gets its own subset.
func (r *Registry) Delta(subscriber string, subscriptions []string, epoch string, version uint64) *protocol.RegistryDelta {
	d := &protocol.RegistryDelta{Epoch: r.epoch, Version: r.version.Load()}
	if epoch != r.epoch || version > d.Version || !r.addChanges(subscriber, subscriptions, version, d) {
		r.addAll(subscriber, subscriptions, d)
	}
	if !d.Full && version == d.Version {
		return nil
	}
	sortDelta(d)
	return d
}

// addChanges adds the changes since version to d. It returns false if they are no
// longer known.
func (r *Registry) addChanges(subscriber string, subscriptions []string, version uint64, d *protocol.RegistryDelta) bool {
	if version == d.Version {
		return true
	}
	for _, name := range subscriptions {
		if !r.services[shardOf(name)].addChanges(name, subscriber, version, d) {
			return false
		}
	}
	return true
}

// addAll turns d into a full list.
func (r *Registry) addAll(subscriber string, subscriptions []string, d *protocol.RegistryDelta) {
	d.Full = true
	d.Upserts = nil
	d.Removes = nil
	for _, name := range subscriptions {
		r.services[shardOf(name)].addAll(name, subscriber, d)
	}
}

// sortDelta sorts a delta, so that equal deltas have equal encodings.
func sortDelta(d *protocol.RegistryDelta) {
	slices.SortFunc(d.Upserts, func(a, b protocol.TargetRecord) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	slices.Sort(d.Removes)
}

// Daemons returns every daemon that has renewed within RecordTTL, sorted by
// instance.
func (r *Registry) Daemons(now time.Time) []protocol.DaemonStatus {
	var all []protocol.DaemonStatus
	for i := range r.daemons {
		all = append(all, r.daemons[i].statuses(now)...)
	}
	slices.SortFunc(all, func(a, b protocol.DaemonStatus) int { return cmp.Compare(a.Instance, b.Instance) })
	return all
}

// Behind returns the daemons that renewed within the given time and act on a configuration
// older than version, sorted by instance. A daemon without a configuration acts on none.
func (r *Registry) Behind(now time.Time, version uint64, within time.Duration) []string {
	var behind []string
	for i := range r.daemons {
		behind = r.daemons[i].appendBehind(behind, now, version, within)
	}
	slices.Sort(behind)
	return behind
}

func (sh *daemonShard) appendBehind(behind []string, now time.Time, version uint64, within time.Duration) []string {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for instance, d := range sh.daemons {
		if held := d.record.Version; held != 0 && held < version && now.Sub(d.renewed) < within {
			behind = append(behind, instance)
		}
	}
	return behind
}

func (sh *daemonShard) statuses(now time.Time) []protocol.DaemonStatus {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var all []protocol.DaemonStatus
	for _, d := range sh.daemons {
		age := now.Sub(d.renewed)
		if age >= RecordTTL {
			continue
		}
		all = append(all, protocol.DaemonStatus{
			Instance:      d.record.Instance,
			FailureDomain: d.record.FailureDomain,
			PeerAddress:   d.record.PeerAddress,
			Version:       d.record.Version,
			RenewedAgo:    age,
			Leaving:       d.record.Leaving,
			Targets:       d.record.Targets,
		})
	}
	return all
}

// recordSetChange raises setChanged to version.
func (r *Registry) recordSetChange(version uint64) {
	for {
		last := r.setChanged.Load()
		if version <= last || r.setChanged.CompareAndSwap(last, version) {
			return
		}
	}
}

func (r *Registry) nextVersion() uint64 { return r.version.Add(1) }

func shardOf(name string) uint64 { return xxhash.Sum64String(name) % shardCount }
