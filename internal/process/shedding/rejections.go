package shedding

import (
	"sync"
	"time"
)

// Rejections remembers rejected requests whose clients were told when to retry,
// so that retries get priority over new requests. Its methods are safe for
// concurrent use.
type Rejections struct {
	mu        sync.Mutex
	expires   map[uint64]time.Time
	lastSweep time.Time
}

const (
	// retryGrace is how much later than advised a retry may arrive.
	retryGrace = 1500 * time.Millisecond
	// maxRejections bounds the number of remembered requests. Further ones are
	// not recorded.
	maxRejections = 20_000
	// sweepInterval is the least time between two removals of expired entries.
	sweepInterval = time.Second
)

// Add records that a client was told to retry after the given time. key
// identifies the request across its attempts.
func (r *Rejections) Add(now time.Time, key uint64, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.expires == nil {
		r.expires = make(map[uint64]time.Time)
	}
	if now.Sub(r.lastSweep) > sweepInterval {
		r.sweep(now)
	}
	if len(r.expires) < maxRejections {
		r.expires[key] = now.Add(after + retryGrace)
	}
}

func (r *Rejections) sweep(now time.Time) {
	r.lastSweep = now
	for key, expires := range r.expires {
		if now.After(expires) {
			delete(r.expires, key)
		}
	}
}

// Consume reports whether the request was rejected and its retry is still in
// time, and removes its entry.
func (r *Rejections) Consume(now time.Time, key uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	expires, ok := r.expires[key]
	if ok {
		delete(r.expires, key)
	}
	return ok && !now.After(expires)
}
