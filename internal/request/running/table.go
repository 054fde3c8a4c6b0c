// Package running holds the requests that run at the targets beside this
// process. A target names its request by a random handle; the handle is good
// only while that request runs here.
package running

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
)

const shardCount = 64

// Request is one running request.
type Request struct {
	// Envelope is the context under which the request runs; it never changes.
	Envelope *envelope.Envelope
	// Context ends when the request ends, its sender leaves or its deadline
	// passes.
	Context context.Context
	// Levels collects what deeper services report back; it may be nil.
	Levels *envelope.Levels
	// Watcher is told of the calls of the target; it may be nil.
	Watcher Watcher
}

// Watcher learns when a target calls other services for a request.
type Watcher interface {
	// Calling tells that the target began or ended a call of its own. A call
	// that ends after the request is told of as well, and changes nothing.
	Calling(began bool)
}

// Call tells that the target has begun a call of its own. The function that it
// returns tells that the call has ended, and must be called exactly once.
func (r Request) Call() (ended func()) {
	if r.Watcher == nil {
		return func() {}
	}
	r.Watcher.Calling(true)
	return func() { r.Watcher.Calling(false) }
}

// Table maps handles to running requests. It may be used by any number of
// goroutines.
type Table struct {
	shards [shardCount]shard
}

type shard struct {
	mu       sync.RWMutex
	requests map[string]Request
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := new(Table)
	for i := range t.shards {
		t.shards[i].requests = make(map[string]Request)
	}
	return t
}

// Add enters a request under a new random handle of 128 bits. The handle is
// good until remove is called; remove may be called more than once.
func (t *Table) Add(r Request) (handle string, remove func()) {
	handle = envelope.NewID()
	s := t.shard(handle)
	s.mu.Lock()
	s.requests[handle] = r
	s.mu.Unlock()
	return handle, func() { s.remove(handle) }
}

// Get returns the request that runs under handle, or HandleUnknown.
func (t *Table) Get(handle string) (Request, error) {
	s := t.shard(handle)
	s.mu.RLock()
	r, ok := s.requests[handle]
	s.mu.RUnlock()
	if !ok || r.Context.Err() != nil {
		return Request{}, fault.New(fault.HandleUnknown, "no running request has this handle")
	}
	return r, nil
}

// Len returns the number of running requests.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		n += len(s.requests)
		s.mu.RUnlock()
	}
	return n
}

func (t *Table) shard(handle string) *shard {
	return &t.shards[xxhash.Sum64String(handle)%shardCount]
}

func (s *shard) remove(handle string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, handle)
}
