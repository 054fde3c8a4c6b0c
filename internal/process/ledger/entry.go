package ledger

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// record is a key that was granted to an attempt.
type record struct {
	Key    protocol.OnceKey `cbor:"1,keyasint"`
	Holder string           `cbor:"2,keyasint"`
	Digest string           `cbor:"3,keyasint,omitempty"`
	// GrantedAt is the state machine's time of the grant.
	GrantedAt time.Duration `cbor:"4,keyasint"`
	// Response is the CBOR form of the stored response; empty until it is stored.
	Response cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	// removed is true once the record is no longer in Machine.records, and remains
	// only in the queue.
	removed bool
}

// size returns the number of bytes that the record counts towards Limits.Bytes.
func (r *record) size() int {
	return entryOverhead + keySize(r.Key) + len(r.Holder) + len(r.Digest) + len(r.Response)
}

// done reports whether the response is stored.
func (r *record) done() bool { return len(r.Response) > 0 }

// fenceKey identifies one attempt for one key.
type fenceKey struct {
	Key     protocol.OnceKey `cbor:"1,keyasint"`
	Attempt string           `cbor:"2,keyasint"`
}

// fence blocks later claims by an attempt that held no claim, or released it.
type fence struct {
	Name fenceKey `cbor:"1,keyasint"`
	// SetAt is the state machine's time when the fence was set.
	SetAt time.Duration `cbor:"2,keyasint"`
}

// size returns the number of bytes that the fence counts towards Limits.Bytes.
func (f *fence) size() int {
	return entryOverhead + keySize(f.Name.Key) + len(f.Name.Attempt)
}

func keySize(k protocol.OnceKey) int {
	return len(k.Team) + len(k.Service) + len(k.Key)
}

// queue holds entries in the order of their times, oldest first.
type queue[T any] struct {
	items []T
	head  int
}

func (q *queue[T]) push(v T) { q.items = append(q.items, v) }

// front returns the oldest entry, or false if the queue is empty.
func (q *queue[T]) front() (T, bool) {
	if q.head == len(q.items) {
		var none T
		return none, false
	}
	return q.items[q.head], true
}

// pop removes the front. Once more than half of the array is unused, it copies the
// rest to a new one.
func (q *queue[T]) pop() {
	var none T
	q.items[q.head] = none
	q.head++
	if q.head*2 > len(q.items) {
		q.items = append([]T(nil), q.items[q.head:]...)
		q.head = 0
	}
}

func (q *queue[T]) all() []T { return q.items[q.head:] }
