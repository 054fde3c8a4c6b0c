package renewal

import (
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// replicaList remembers which replica a daemon talks to. Daemons start at
// different replicas, so that the load is spread.
type replicaList struct {
	mu        sync.Mutex
	addresses []string
	index     int
}

func newReplicaList(addresses []string, instance string) *replicaList {
	l := &replicaList{addresses: addresses}
	if len(addresses) > 0 {
		l.index = int(xxhash.Sum64String(instance) % uint64(len(addresses)))
	}
	return l
}

func (l *replicaList) size() int { return len(l.addresses) }

func (l *replicaList) current() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses[l.index]
}

func (l *replicaList) next() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index = (l.index + 1) % len(l.addresses)
}

func detailNumber(before, after uint64) string {
	return strconv.FormatUint(before, 10) + " to " + strconv.FormatUint(after, 10)
}
