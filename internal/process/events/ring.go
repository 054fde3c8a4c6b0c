// Package events keeps the latest events of one process in a ring buffer and
// merges the events of many processes into one timeline in causal order.
//
// The order comes from hybrid logical clocks: if one event may have caused
// another, its timestamp is the smaller one, even if the clocks of the instances
// differ, as long as the messages between the processes carry timestamps.
package events

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// DefaultCapacity is the default number of events that one process keeps.
const DefaultCapacity = 1 << 14

// HeaderClock is the HTTP header that carries a timestamp on requests and
// responses between processes.
const HeaderClock = "Teaselrack-Clock"

const shardCount = 16

// Ring keeps the latest events of one process. It implements hop.Recorder. Its
// methods may be called from any goroutine.
type Ring struct {
	process   string
	now       func() time.Time
	clock     Clock
	nextShard atomic.Uint64
	shards    [shardCount]shard
}

// shard is one part of the ring with its own lock.
type shard struct {
	mu sync.Mutex
	// slots grows up to capacity; then new events overwrite the oldest ones.
	slots    []protocol.Event
	capacity int
	// written is the number of events that were stored, overwritten ones
	// included.
	written uint64
}

// New returns a ring for the events of the named process. It keeps at least the
// last capacity events. now is the physical clock.
func New(process string, capacity int, now func() time.Time) *Ring {
	r := &Ring{process: process, now: now}
	perShard := max((capacity+shardCount-1)/shardCount, 1)
	for i := range r.shards {
		r.shards[i].capacity = perShard
	}
	return r
}

// Record sets the process and the timestamp of the event and stores it. If the
// ring is full, the event overwrites an old one.
func (r *Ring) Record(event protocol.Event) {
	stamp := r.clock.Tick(r.now())
	event.Process = r.process
	event.Wall = stamp.Wall
	event.Logical = stamp.Logical
	r.shards[r.nextShard.Add(1)%shardCount].put(event)
}

// Inject sets a new timestamp in the header of an outgoing message.
func (r *Ring) Inject(h http.Header) {
	h.Set(HeaderClock, r.clock.Tick(r.now()).String())
}

// Extract observes the timestamp in the header of an incoming message, if there
// is one.
func (r *Ring) Extract(h http.Header) {
	if remote, ok := ParseTimestamp(h.Get(HeaderClock)); ok {
		r.clock.Observe(r.now(), remote)
	}
}

// Read returns the stored events that match the request, oldest first, and the
// number of events that were overwritten.
func (r *Ring) Read(request protocol.EventsRequest) protocol.EventsReply {
	reply := protocol.EventsReply{Events: []protocol.Event{}}
	for i := range r.shards {
		events, dropped := r.shards[i].read(request)
		reply.Events = append(reply.Events, events...)
		reply.Dropped += dropped
	}
	slices.SortFunc(reply.Events, Compare)
	return reply
}

func (s *shard) put(event protocol.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.slots) < s.capacity {
		s.slots = append(s.slots, event)
	} else {
		s.slots[s.written%uint64(s.capacity)] = event
	}
	s.written++
}

func (s *shard) read(request protocol.EventsRequest) ([]protocol.Event, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []protocol.Event
	for _, event := range s.slots {
		if matches(event, request) {
			found = append(found, event)
		}
	}
	return found, s.written - uint64(len(s.slots))
}

func matches(event protocol.Event, request protocol.EventsRequest) bool {
	return matchesFilter(request.Request, event.Request) &&
		matchesFilter(request.Team, event.Team) &&
		matchesFilter(request.Target, event.Target)
}

// matchesFilter reports whether have equals want. An empty want matches
// anything.
func matchesFilter(want, have string) bool { return want == "" || want == have }
