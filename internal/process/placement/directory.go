package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// forgetAfter is how long a target that is no longer listed is remembered.
const forgetAfter = 10 * time.Second

// Directory keeps what this process has seen of the targets, by service. Its
// methods may be called from any goroutine.
type Directory struct {
	// FailureDomain is that of this process.
	FailureDomain string
	// List returns the listed targets of a service.
	List func(service string) []protocol.TargetRecord

	mu       sync.Mutex
	services map[string]*serviceTargets
}

// serviceTargets are the targets of one service, under a lock of their own.
type serviceTargets struct {
	mu      sync.Mutex
	targets map[string]*seen // by instance
}

type seen struct {
	Target
	listed time.Time
}

// Choice is one target that was chosen.
type Choice struct {
	Record protocol.TargetRecord
	at     *seen
	in     *serviceTargets
}

// Choose returns a target of the service other than the excluded instances. ok
// is false where there is none. Where it is true, Ended must be called once.
func (d *Directory) Choose(now time.Time, service string, excluded []string) (c Choice, ok bool) {
	records := d.List(service)
	s := d.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := make([]*Target, len(records))
	entries := make([]*seen, len(records))
	for i, r := range records {
		entries[i] = s.see(now, r, d.FailureDomain)
		targets[i] = &entries[i].Target
	}
	s.forget(now)
	at := Choose(now, targets, func(i int) bool {
		return records[i].DaemonLeaving || records[i].State == protocol.Leaving || contains(excluded, records[i].Instance)
	}, rand.IntN)
	if at < 0 {
		return Choice{}, false
	}
	entries[at].Sent()
	return Choice{Record: records[at], at: entries[at], in: s}, true
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (d *Directory) service(name string) *serviceTargets {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.services == nil {
		d.services = make(map[string]*serviceTargets)
	}
	s, ok := d.services[name]
	if !ok {
		s = &serviceTargets{targets: make(map[string]*seen)}
		d.services[name] = s
	}
	return s
}

func (s *serviceTargets) see(now time.Time, r protocol.TargetRecord, domain string) *seen {
	e, ok := s.targets[r.Instance]
	if !ok {
		e = &seen{}
		s.targets[r.Instance] = e
	}
	e.listed = now
	e.Own = r.FailureDomain == domain
	e.Slots = r.Slots
	e.Cold = r.State == protocol.Cold
	return e
}

func (s *serviceTargets) forget(now time.Time) {
	for instance, e := range s.targets {
		if e.outstanding == 0 && now.Sub(e.listed) > forgetAfter {
			delete(s.targets, instance)
		}
	}
}

// Update changes what is known of the chosen target.
func (c Choice) Update(f func(t *Target)) {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	f(&c.at.Target)
}

// Ended notes that the request has ended.
func (c Choice) Ended() { c.Update((*Target).Ended) }
