package registry

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

const shardCount = 16

// Registry is the soft state of one replica: every daemon and its targets. It
// is lost when the process ends, and comes back within one renewal interval.
// Times are passed in and must come from one monotonic clock. Its methods may
// be called from any goroutine.
type Registry struct {
	epoch    string
	version  atomic.Uint64
	daemons  [shardCount]daemonShard
	services [shardCount]serviceShard
}

type daemonShard struct {
	mu      sync.Mutex
	daemons map[string]*daemon
}

// daemon is what the replica knows of one daemon.
type daemon struct {
	record Record
	// sum is the checksum of record.
	sum     uint64
	renewed time.Time
	// direct is true where this replica got the renewal itself.
	direct bool
	// changed is the version at which record last changed.
	changed uint64
}

// New returns an empty registry. epoch must differ at each start of each
// replica.
func New(epoch string) *Registry {
	r := &Registry{epoch: epoch}
	for i := range shardCount {
		r.daemons[i].daemons = make(map[string]*daemon)
		r.services[i].services = make(map[string]*service)
	}
	return r
}

// Epoch returns the name of this registry instance.
func (r *Registry) Epoch() string { return r.epoch }

// Version returns the number of the last change.
func (r *Registry) Version() uint64 { return r.version.Load() }

// Renew takes a renewal that a daemon sent to this replica. It ignores asks
// for tokens between renewals.
func (r *Registry) Renew(now time.Time, request protocol.RenewRequest) {
	if request.QuotaOnly {
		return
	}
	r.put(recordOf(request), now, now, true)
}

// put takes a record that was true at renewed.
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
		return
	}
	old := d.record
	d.record = rec
	d.sum = rec.sum()
	d.direct = direct
	d.changed = r.next()
	r.announce(old, rec, now)
}

// announce brings the services from what old says to what rec says.
func (r *Registry) announce(old, rec Record, now time.Time) {
	targets := rec.targets()
	for name := range old.targets() {
		if _, still := targets[name]; !still {
			r.services[shardOf(name)].remove(name, rec.Instance, now, r.next)
		}
	}
	for name, t := range targets {
		r.services[shardOf(name)].put(t, now, r.next)
	}
}

// Expire drops daemons that have not renewed within RecordLife. It is called
// several times a second.
func (r *Registry) Expire(now time.Time) {
	for i := range r.daemons {
		r.expireShard(&r.daemons[i], now)
	}
	for i := range r.services {
		r.services[i].forget(now)
	}
}

func (r *Registry) expireShard(sh *daemonShard, now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for instance, d := range sh.daemons {
		if now.Sub(d.renewed) < RecordLife {
			continue
		}
		delete(sh.daemons, instance)
		r.next()
		r.announce(d.record, Record{Instance: instance}, now)
	}
}

// Delta returns what has changed for subscriber since it had this epoch and
// version, nil where nothing has. Of a service with more than SubsetSize
// targets each subscriber gets a subset of its own.
func (r *Registry) Delta(subscriber string, subscriptions []string, epoch string, version uint64) *protocol.RegistryDelta {
	d := &protocol.RegistryDelta{Epoch: r.epoch, Version: r.version.Load()}
	if epoch != r.epoch || version > d.Version || !r.changes(subscriber, subscriptions, version, d) {
		r.everything(subscriber, subscriptions, d)
	}
	if !d.Full && version == d.Version {
		return nil
	}
	order(d)
	return d
}

func (r *Registry) changes(subscriber string, subscriptions []string, version uint64, d *protocol.RegistryDelta) bool {
	if version == d.Version {
		return true
	}
	for _, name := range subscriptions {
		if !r.services[shardOf(name)].change(name, subscriber, version, d) {
			return false
		}
	}
	return true
}

func (r *Registry) everything(subscriber string, subscriptions []string, d *protocol.RegistryDelta) {
	d.Full = true
	d.Upserts = nil
	d.Removes = nil
	for _, name := range subscriptions {
		r.services[shardOf(name)].everything(name, subscriber, d)
	}
}

// order gives equal deltas equal bytes.
func order(d *protocol.RegistryDelta) {
	slices.SortFunc(d.Upserts, func(a, b protocol.TargetRecord) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	slices.Sort(d.Removes)
}

// Daemons returns every daemon that has renewed within RecordLife, by name.
func (r *Registry) Daemons(now time.Time) []protocol.DaemonStatus {
	var all []protocol.DaemonStatus
	for i := range r.daemons {
		all = append(all, r.daemons[i].statuses(now)...)
	}
	slices.SortFunc(all, func(a, b protocol.DaemonStatus) int { return cmp.Compare(a.Instance, b.Instance) })
	return all
}

func (sh *daemonShard) statuses(now time.Time) []protocol.DaemonStatus {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var all []protocol.DaemonStatus
	for _, d := range sh.daemons {
		age := now.Sub(d.renewed)
		if age >= RecordLife {
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

func (r *Registry) next() uint64 { return r.version.Add(1) }

func shardOf(name string) uint64 { return xxhash.Sum64String(name) % shardCount }
