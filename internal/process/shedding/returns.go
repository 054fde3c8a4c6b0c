package shedding

import (
	"sync"
	"time"
)

// Returns remembers the callers that were turned away and told to come back,
// so that they go before newcomers. Its methods may be called from any
// goroutine.
type Returns struct {
	mu    sync.Mutex
	until map[uint64]time.Time
	swept time.Time
}

const (
	// returnGrace is how much later than told a caller may come back.
	returnGrace = 1500 * time.Millisecond
	// maxReturns bounds what is remembered.
	maxReturns = 20_000
	// sweepEvery is the time between two looks for callers that did not return.
	sweepEvery = time.Second
)

// TurnedAway notes that a caller was told to come back after a time. key names
// the request apart from the attempt.
func (r *Returns) TurnedAway(now time.Time, key uint64, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until == nil {
		r.until = make(map[uint64]time.Time)
	}
	if now.Sub(r.swept) > sweepEvery {
		r.sweep(now)
	}
	if len(r.until) < maxReturns {
		r.until[key] = now.Add(after + returnGrace)
	}
}

func (r *Returns) sweep(now time.Time) {
	r.swept = now
	for key, until := range r.until {
		if now.After(until) {
			delete(r.until, key)
		}
	}
}

// Returned reports whether the request was turned away a short time ago, and
// forgets it.
func (r *Returns) Returned(now time.Time, key uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.until[key]
	if ok {
		delete(r.until, key)
	}
	return ok && !now.After(until)
}
