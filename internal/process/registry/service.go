package registry

import (
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// service holds the targets of one service and the versions at which they
// joined, changed and left.
type service struct {
	live map[string]*member // by instance
	gone []tombstone        // oldest first
	// last is the version of the last change.
	last uint64
}

// member is one target of a service.
type member struct {
	record  protocol.TargetRecord
	joined  uint64
	changed uint64
}

// tombstone is a target that left.
type tombstone struct {
	record protocol.TargetRecord
	joined uint64
	left   uint64
	at     time.Time
}

// serviceShard holds a part of the services.
type serviceShard struct {
	mu       sync.Mutex
	services map[string]*service
	// forgotten is the highest version of a tombstone that was dropped: older
	// subscribers need everything.
	forgotten uint64
}

func (sh *serviceShard) service(name string) *service {
	s, ok := sh.services[name]
	if !ok {
		s = &service{live: make(map[string]*member)}
		sh.services[name] = s
	}
	return s
}

// put sets the target of one instance. next draws the next version; it is
// called only under the lock of the shard, so that a reader that has seen a
// version finds its change. A target that moves to another failure domain
// leaves and joins, since the subsets depend on its domain.
func (sh *serviceShard) put(t protocol.TargetRecord, now time.Time, next func() uint64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.service(t.Service)
	m, ok := s.live[t.Instance]
	if ok && m.record == t {
		return
	}
	s.last = next()
	switch {
	case !ok:
		s.live[t.Instance] = &member{record: t, joined: s.last, changed: s.last}
	case m.record.FailureDomain != t.FailureDomain:
		s.gone = append(s.gone, tombstone{m.record, m.joined, s.last, now})
		s.live[t.Instance] = &member{record: t, joined: s.last, changed: s.last}
	default:
		m.record = t
		m.changed = s.last
	}
}

// remove takes out the target of one instance.
func (sh *serviceShard) remove(name, instance string, now time.Time, next func() uint64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s, ok := sh.services[name]
	if !ok {
		return
	}
	m, ok := s.live[instance]
	if !ok {
		return
	}
	delete(s.live, instance)
	s.last = next()
	s.gone = append(s.gone, tombstone{m.record, m.joined, s.last, now})
}

// forget drops old tombstones, and services that have nothing left.
func (sh *serviceShard) forget(now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, s := range sh.services {
		for len(s.gone) > 0 && now.Sub(s.gone[0].at) > tombstoneLife {
			sh.forgotten = max(sh.forgotten, s.gone[0].left)
			s.gone = s.gone[1:]
		}
		if len(s.live) == 0 && len(s.gone) == 0 {
			delete(sh.services, name)
		}
	}
}

// change adds to d what has changed for subscriber since version. It returns
// false where the change is no longer known.
func (sh *serviceShard) change(name, subscriber string, since uint64, d *protocol.RegistryDelta) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if since < sh.forgotten {
		return false
	}
	s, ok := sh.services[name]
	if !ok || s.last <= since {
		return true
	}
	before := subset(subscriber, s.membersAt(since))
	after := subset(subscriber, s.members())
	for instance := range after {
		if _, had := before[instance]; !had || s.live[instance].changed > since {
			d.Upserts = append(d.Upserts, s.live[instance].record)
		}
	}
	for instance := range before {
		if _, has := after[instance]; !has {
			d.Removes = append(d.Removes, name+"/"+instance)
		}
	}
	return true
}

// everything adds all targets of the subscriber's subset to d.
func (sh *serviceShard) everything(name, subscriber string, d *protocol.RegistryDelta) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s, ok := sh.services[name]
	if !ok {
		return
	}
	for instance := range subset(subscriber, s.members()) {
		d.Upserts = append(d.Upserts, s.live[instance].record)
	}
}

// members returns the failure domain of each target.
func (s *service) members() map[string]string {
	m := make(map[string]string, len(s.live))
	for instance, t := range s.live {
		m[instance] = t.record.FailureDomain
	}
	return m
}

// membersAt returns the failure domain of each target as of version.
func (s *service) membersAt(version uint64) map[string]string {
	m := make(map[string]string, len(s.live))
	for instance, t := range s.live {
		if t.joined <= version {
			m[instance] = t.record.FailureDomain
		}
	}
	for _, t := range s.gone {
		if t.joined <= version && version < t.left {
			m[t.record.Instance] = t.record.FailureDomain
		}
	}
	return m
}
