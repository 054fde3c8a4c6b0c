package registry

import (
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// service holds the targets of one service with the versions at which they joined,
// changed and left.
type service struct {
	live       map[string]*member // by instance
	tombstones []tombstone        // oldest first
	// last is the version of the last change.
	last uint64
}

// member is one target of a service, with the versions at which it joined and last
// changed.
type member struct {
	record  protocol.TargetRecord
	joined  uint64
	changed uint64
}

// tombstone is a target that left, with the versions at which it joined and left.
type tombstone struct {
	record    protocol.TargetRecord
	joined    uint64
	left      uint64
	removedAt time.Time
}

// serviceShard holds the services whose names hash to one shard.
type serviceShard struct {
	mu       sync.Mutex
	services map[string]*service
	// dropped is the highest version of a dropped tombstone. Subscribers with an
	// older version need a full list.
	dropped uint64
}

// service returns the service called name, and creates it if it does not exist.
// sh.mu must be held.
func (sh *serviceShard) service(name string) *service {
	s, ok := sh.services[name]
	if !ok {
		s = &service{live: make(map[string]*member)}
		sh.services[name] = s
	}
	return s
}

// put stores the target of one instance. nextVersion is called only while the lock
// of the shard is held, so that a reader that has seen a version finds its change.
// A target that moves to another failure domain leaves and joins again, since
// subsets depend on the failure domain.
func (sh *serviceShard) put(t protocol.TargetRecord, now time.Time, nextVersion func() uint64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.service(t.Service)
	m, ok := s.live[t.Instance]
	if ok && m.record == t {
		return
	}
	s.last = nextVersion()
	switch {
	case !ok:
		s.live[t.Instance] = &member{record: t, joined: s.last, changed: s.last}
	case m.record.FailureDomain != t.FailureDomain:
		s.tombstones = append(s.tombstones, tombstone{m.record, m.joined, s.last, now})
		s.live[t.Instance] = &member{record: t, joined: s.last, changed: s.last}
	default:
		m.record = t
		m.changed = s.last
	}
}

// remove removes the target of one instance and leaves a tombstone.
func (sh *serviceShard) remove(name, instance string, now time.Time, nextVersion func() uint64) {
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
	s.last = nextVersion()
	s.tombstones = append(s.tombstones, tombstone{m.record, m.joined, s.last, now})
}

// dropTombstones drops tombstones older than tombstoneTTL, and services without
// targets and tombstones.
func (sh *serviceShard) dropTombstones(now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for name, s := range sh.services {
		for len(s.tombstones) > 0 && now.Sub(s.tombstones[0].removedAt) > tombstoneTTL {
			sh.dropped = max(sh.dropped, s.tombstones[0].left)
			s.tombstones = s.tombstones[1:]
		}
		if len(s.live) == 0 && len(s.tombstones) == 0 {
			delete(sh.services, name)
		}
	}
}

// addChanges adds to d the changes for subscriber after version since. It returns
// false if they are no longer known.
func (sh *serviceShard) addChanges(name, subscriber string, since uint64, d *protocol.RegistryDelta) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if since < sh.dropped {
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

// addAll adds every target of the subscriber's subset to d.
func (sh *serviceShard) addAll(name, subscriber string, d *protocol.RegistryDelta) {
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

// members returns the failure domain of each target by instance.
func (s *service) members() map[string]string {
	m := make(map[string]string, len(s.live))
	for instance, t := range s.live {
		m[instance] = t.record.FailureDomain
	}
	return m
}

// membersAt returns the failure domain of each target by instance, as of version.
func (s *service) membersAt(version uint64) map[string]string {
	m := make(map[string]string, len(s.live))
	for instance, t := range s.live {
		if t.joined <= version {
			m[instance] = t.record.FailureDomain
		}
	}
	for _, t := range s.tombstones {
		if t.joined <= version && version < t.left {
			m[t.record.Instance] = t.record.FailureDomain
		}
	}
	return m
}
