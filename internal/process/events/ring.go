// Package events keeps the latest events of one process in a bounded ring and
// merges the events of many processes into one time line in causal order.
//
// Order comes from a hybrid logical clock: where one event can have caused
// another, its timestamp is the smaller one, whatever the clocks of the hosts
// say, as long as the messages between them carry timestamps.
package events

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// DefaultCapacity is the number of events that one process keeps.
const DefaultCapacity = 1 << 14

// HeaderClock carries a timestamp on requests and answers between processes.
const HeaderClock = "Teaselrack-Clock"

const shardCount = 16

// Ring keeps the latest events of one process. It implements hop.Recorder. Its
// methods may be called from any goroutine.
type Ring struct {
	process string
	now     func() time.Time
	clock   Clock
	turn    atomic.Uint64
	shards  [shardCount]shard
}

// shard is one part of the ring under its own lock.
type shard struct {
	mu sync.Mutex
	// slots is filled from the front and then overwritten in a circle.
	slots   []protocol.Event
	limit   int
	written uint64
}

// New returns a ring for the events of the named process. It keeps at least
// capacity events and takes its physical time from now.
func New(process string, capacity int, now func() time.Time) *Ring {
	r := &Ring{process: process, now: now}
	limit := max((capacity+shardCount-1)/shardCount, 1)
	for i := range r.shards {
		r.shards[i].limit = limit
	}
	return r
}

// Record stamps the event with process and time and stores it. The oldest
// events make room.
func (r *Ring) Record(event protocol.Event) {
	stamp := r.clock.Tick(r.now())
	event.Process = r.process
	event.Wall = stamp.Wall
	event.Logical = stamp.Logical
	r.shards[r.turn.Add(1)%shardCount].put(event)
}

// Inject puts a new timestamp into the header of an outgoing message.
func (r *Ring) Inject(h http.Header) {
	h.Set(HeaderClock, r.clock.Tick(r.now()).String())
}

// Extract takes in the timestamp of an incoming message, if it holds one.
func (r *Ring) Extract(h http.Header) {
	if remote, ok := ParseTimestamp(h.Get(HeaderClock)); ok {
		r.clock.Observe(r.now(), remote)
	}
}

// Read returns the stored events that match, oldest first.
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
	if len(s.slots) < s.limit {
		s.slots = append(s.slots, event)
	} else {
		s.slots[s.written%uint64(s.limit)] = event
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
	return fits(request.Request, event.Request) &&
		fits(request.Team, event.Team) &&
		fits(request.Target, event.Target)
}

// fits reports whether have passes the filter want; an empty filter passes all.
func fits(want, have string) bool { return want == "" || want == have }
