// Package inflight tracks the requests that are in flight at the local targets.
// A target identifies its request by a random handle, which is valid only while
// that request is in flight at this daemon.
package inflight

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
)

// shardCount is the number of parts of a Table that are locked independently.
const shardCount = 64

// Request is one in-flight request.
type Request struct {
	// Envelope is the envelope that the request arrived with; it is immutable.
	Envelope *envelope.Envelope
	// Context is done when the request ends, its sender cancels it or its
	// deadline passes.
	Context context.Context
	// Levels collects the load-shedding levels that downstream services report; it
	// may be nil.
	Levels *envelope.Levels
	// CallObserver is notified of the target's outgoing calls; it may be nil.
	CallObserver CallObserver
}

// CallObserver is notified when a target calls other services on behalf of a
// request.
type CallObserver interface {
	// OutgoingCall reports the start or the end of an outgoing call of the target. A
	// call may end after its request; that end is reported too, and has no effect.
	OutgoingCall(started bool)
}

// BeginCall reports the start of an outgoing call of the target. The returned
// function reports the end of the call and must be called exactly once.
func (r Request) BeginCall() (ended func()) {
	if r.CallObserver == nil {
		return func() {}
	}
	r.CallObserver.OutgoingCall(true)
	return func() { r.CallObserver.OutgoingCall(false) }
}

// Table maps handles to in-flight requests. It is safe for concurrent use.
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

// Add stores a request under a new random 128-bit handle. The handle is valid
// until remove is called; calling remove more than once is safe.
func (t *Table) Add(r Request) (handle string, remove func()) {
	handle = envelope.NewID()
	s := t.shard(handle)
	s.mu.Lock()
	s.requests[handle] = r
	s.mu.Unlock()
	return handle, func() { s.remove(handle) }
}

// Get returns the in-flight request with this handle. It fails with
// HandleUnknown if there is none or if its context is done.
func (t *Table) Get(handle string) (Request, error) {
	s := t.shard(handle)
	s.mu.RLock()
	r, ok := s.requests[handle]
	s.mu.RUnlock()
	if !ok || r.Context.Err() != nil {
		return Request{}, fault.New(fault.HandleUnknown, "no request in flight has this handle")
	}
	return r, nil
}

// Len returns the number of requests in the table.
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
