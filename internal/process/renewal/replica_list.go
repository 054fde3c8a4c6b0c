package renewal

import (
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// replicaList holds the addresses of the replicas and the one that is currently
// used. The initial replica depends on the instance name, so that daemons
// spread their load over the replicas.
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

func (l *replicaList) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.addresses)
}

// set replaces the addresses. The current replica is kept if it is still
// listed.
func (l *replicaList) set(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(addresses) == 0 || slices.Equal(addresses, l.addresses) {
		return
	}
	at := slices.Index(addresses, l.addresses[l.index])
	l.addresses = slices.Clone(addresses)
	l.index = max(at, 0)
}

func (l *replicaList) current() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses[l.index]
}

// next selects the next replica. After the last one it selects the first.
func (l *replicaList) next() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index = (l.index + 1) % len(l.addresses)
}

func formatChange(before, after uint64) string {
	return strconv.FormatUint(before, 10) + " to " + strconv.FormatUint(after, 10)
}
