// Package permit bounds the extra attempts of one request over its whole call
// chain. The root of a request owns one counter; every hop that wants to try
// again takes from it. A retry ratio for each service, kept at each process,
// bounds retries under overload as well.
//
// Invariant: the extra attempts granted for one request never exceed the number
// that its root opened it with.
package permit

import (
	"context"
	"hash/maphash"

	"github.com/teaselrack/teaselrack/internal/request/envelope"
)

// shardCount is the number of independently locked parts of a Book.
const shardCount = 64

// Ask asks the process at the peer address root for one permit of the request.
// It returns false where that process refuses or does not answer before ctx
// ends. It must not be repeated for one attempt: an answer that was lost may
// have been a grant.
type Ask func(ctx context.Context, root, requestID string) bool

// Options configure a Book.
type Options struct {
	// Self is the peer address of this process, as Envelope.Root carries it.
	Self string
	// Ask reaches the roots of other processes; nil refuses their permits.
	Ask Ask
	// Requests returns how many first attempts this process has made to the
	// service; nil counts none, so that only the burst may be used.
	Requests func(service string) uint64
	// Ratio is the share of retries to first attempts; 0 means DefaultRatio.
	Ratio float64
	// Burst is the number of retries above the ratio; 0 means DefaultBurst.
	Burst float64
}

// Book counts the permits of the requests that began at this process, and
// takes permits for attempts that this process makes. It implements
// hop.Permits and may be used from any goroutine.
type Book struct {
	self   string
	ask    Ask
	ratios *ratios
	seed   maphash.Seed
	shards [shardCount]shard
}

// New returns an empty Book.
func New(o Options) *Book {
	b := &Book{self: o.Self, ask: o.Ask, ratios: newRatios(o), seed: maphash.MakeSeed()}
	for i := range b.shards {
		b.shards[i].left = make(map[string]int)
	}
	return b
}

// Open starts the counter of a request at its root. A second Open of the same
// request changes nothing.
func (b *Book) Open(requestID string, retries int) {
	b.shardOf(requestID).open(requestID, retries)
}

// Close ends the counter; later asks are refused.
func (b *Book) Close(requestID string) {
	b.shardOf(requestID).close(requestID)
}

// Grant takes one permit of a request that began at this process. It is for
// asks from peers; false means used up, closed or unknown.
func (b *Book) Grant(requestID string) bool {
	return b.shardOf(requestID).take(requestID)
}

// Take asks the root for one extra attempt. It returns false where the retry
// ratio of the service or the counter is used up, and where the root does not
// answer.
func (b *Book) Take(ctx context.Context, e *envelope.Envelope) bool {
	if !b.ratios.take(e.Service) {
		return false
	}
	if b.grant(ctx, e) {
		return true
	}
	b.ratios.giveBack(e.Service)
	return false
}

func (b *Book) grant(ctx context.Context, e *envelope.Envelope) bool {
	if e.Root == b.self {
		return b.Grant(e.RequestID)
	}
	if b.ask == nil || ctx.Err() != nil {
		return false
	}
	return b.ask(ctx, e.Root, e.RequestID)
}

// Len returns the number of open counters.
func (b *Book) Len() int {
	n := 0
	for i := range b.shards {
		n += b.shards[i].len()
	}
	return n
}

func (b *Book) shardOf(requestID string) *shard {
	return &b.shards[maphash.String(b.seed, requestID)%shardCount]
}
