package renewal

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minAvoidPeriod is how long a replica is avoided after it failed. The period
	// doubles with each further failure, up to maxAvoidPeriod, and starts anew after
	// a renewal that the replica confirmed.
	minAvoidPeriod = 2 * time.Second
	maxAvoidPeriod = 30 * time.Second
)

// replicaList selects the replica to use. It prefers replicas of the daemon's own
// failure domain, so that renewals do not leave it, and returns to them some time
// after they failed. Among equal ones, the order depends on the instance name, so
// that daemons spread their load over the replicas.
type replicaList struct {
	instance string
	domain   string

	mu sync.Mutex
	// entries are ordered by preference.
	entries []*replicaEntry
	index   int
}

// replicaEntry is one replica of the list.
type replicaEntry struct {
	address string
	// domain is the replica's failure domain, "" if unknown.
	domain string
	// avoidUntil is until when the replica is not returned to, and avoidFor the
	// length of that period.
	avoidUntil time.Time
	avoidFor   time.Duration
}

func newReplicaList(addresses []string, instance, domain string) *replicaList {
	l := &replicaList{instance: instance, domain: domain}
	l.set(addresses, nil)
	return l
}

func (l *replicaList) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// set replaces the addresses and their failure domains, of which there may be
// fewer. If there are no addresses, the list stays. The current replica is kept if
// it is still listed and no better one is known.
func (l *replicaList) set(addresses, domains []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(addresses) == 0 || l.equal(addresses, domains) {
		return
	}
	previous := make(map[string]*replicaEntry, len(l.entries))
	current := ""
	for i, e := range l.entries {
		previous[e.address] = e
		if i == l.index {
			current = e.address
		}
	}
	l.entries = make([]*replicaEntry, 0, len(addresses))
	for i, address := range addresses {
		e := previous[address]
		if e == nil {
			e = &replicaEntry{address: address}
		}
		if i < len(domains) {
			e.domain = domains[i]
		}
		l.entries = append(l.entries, e)
	}
	slices.SortStableFunc(l.entries, func(a, b *replicaEntry) int {
		return cmp.Or(cmp.Compare(l.distance(a), l.distance(b)), cmp.Compare(l.weight(a), l.weight(b)))
	})
	l.index = max(slices.IndexFunc(l.entries, func(e *replicaEntry) bool { return e.address == current }), 0)
}

// add adds the addresses that are not listed yet, after the others.
func (l *replicaList) add(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range addresses {
		if !slices.ContainsFunc(l.entries, func(e *replicaEntry) bool { return e.address == address }) {
			l.entries = append(l.entries, &replicaEntry{address: address})
		}
	}
}

// equal reports whether the list has exactly these addresses and domains.
func (l *replicaList) equal(addresses, domains []string) bool {
	if len(addresses) != len(l.entries) {
		return false
	}
	known := make(map[string]string, len(l.entries))
	for _, e := range l.entries {
		known[e.address] = e.domain
	}
	for i, address := range addresses {
		domain, ok := known[address]
		if !ok || i < len(domains) && domains[i] != domain {
			return false
		}
	}
	return true
}

// distance orders replicas: the own failure domain first, then unknown ones.
func (l *replicaList) distance(e *replicaEntry) int {
	switch e.domain {
	case l.domain:
		return 0
	case "":
		return 1
	}
	return 2
}

func (l *replicaList) weight(e *replicaEntry) uint64 {
	return xxhash.Sum64String(l.instance + " " + e.address)
}

func (l *replicaList) current() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[l.index].address
}

// confirm records that a replica confirmed a renewal. If a replica of a nearer
// failure domain is not to be avoided any more, it becomes the current one.
func (l *replicaList) confirm(address string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.entries[l.index]
	if current.address == address {
		current.avoidFor = 0
	}
	for i, e := range l.entries {
		if l.distance(e) >= l.distance(current) {
			return
		}
		if !now.Before(e.avoidUntil) {
			l.index = i
			return
		}
	}
}

// fail records that a replica failed. If it is the current one, the next one of the
// list becomes current; after the last one it is the first.
func (l *replicaList) fail(address string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.entries[l.index]
	if current.address != address {
		return
	}
	current.avoidFor = min(max(2*current.avoidFor, minAvoidPeriod), maxAvoidPeriod)
	current.avoidUntil = now.Add(current.avoidFor)
	l.index = (l.index + 1) % len(l.entries)
}

func formatChange(before, after uint64) string {
	return strconv.FormatUint(before, 10) + " to " + strconv.FormatUint(after, 10)
}
