// Package permit limits the number of retries, also called extra attempts, of one
// request over its whole call chain. The root of the request, the first daemon of the
// chain, keeps one counter. Every hop needs a permit from it for each extra attempt. In
// addition, each daemon has a retry budget per service, which limits retries under
// overload.
//
// Invariant: the permits granted for one request never exceed the number of retries
// passed to Open at its root.
package permit

import (
	"context"
	"hash/maphash"

	"github.com/teaselrack/teaselrack/internal/request/envelope"
)

// shardCount is the number of independently locked parts of an Allocator.
const shardCount = 64

// RequestPermit requests one permit for the request requestID. root is the peer address
// of the daemon that is the root of the request. It returns false if that daemon
// denies the permit or does not respond before ctx ends. It must not be called again for
// the same attempt, because a response that was lost may have granted the permit.
type RequestPermit func(ctx context.Context, root, requestID string) bool

// Options configures an Allocator.
type Options struct {
	// Self is the peer address of this daemon, in the form used in Envelope.Root.
	Self string
	// RequestPermit requests permits from other daemons. If it is nil, permits for
	// requests with another root are denied.
	RequestPermit RequestPermit
	// FirstAttempts returns the number of first attempts that this daemon has made to
	// the service. If it is nil, none are counted, and only the burst can be used.
	FirstAttempts func(service string) uint64
	// Ratio is the number of retries per first attempt; 0 means DefaultRatio.
	Ratio float64
	// Burst is the number of retries allowed in addition to the ratio, per service; 0
	// means DefaultBurst.
	Burst float64
}

// Allocator grants permits for the requests whose root is this daemon, and takes
// permits for the extra attempts that this daemon makes. It implements hop.Permits.
// Its methods may be called from any goroutine.
type Allocator struct {
	self          string
	requestPermit RequestPermit
	budgets       *serviceBudgets
	seed          maphash.Seed
	shards        [shardCount]shard
}

// New returns an Allocator without open counters.
func New(o Options) *Allocator {
	a := &Allocator{self: o.Self, requestPermit: o.RequestPermit, budgets: newServiceBudgets(o), seed: maphash.MakeSeed()}
	for i := range a.shards {
		a.shards[i].remaining = make(map[string]int)
	}
	return a
}

// Open creates the counter of a request at its root. The counter allows this number of
// retries. A second call for the same request has no effect.
func (a *Allocator) Open(requestID string, retries int) {
	a.shardOf(requestID).open(requestID, retries)
}

// Close removes the counter of a request. Permits requested later are denied.
func (a *Allocator) Close(requestID string) {
	a.shardOf(requestID).close(requestID)
}

// Grant takes one permit for a request whose root is this daemon. It is called when a
// peer requests a permit. It returns false if the counter is zero, closed or unknown.
func (a *Allocator) Grant(requestID string) bool {
	return a.shardOf(requestID).take(requestID)
}

// Take takes one permit for an extra attempt from the root of e. It returns false if
// the retry budget of the service or the counter is used up, or if the root does not
// respond.
func (a *Allocator) Take(ctx context.Context, e *envelope.Envelope) bool {
	if !a.budgets.take(e.Service) {
		return false
	}
	if a.takeFromRoot(ctx, e) {
		return true
	}
	a.budgets.refund(e.Service)
	return false
}

func (a *Allocator) takeFromRoot(ctx context.Context, e *envelope.Envelope) bool {
	if e.Root == a.self {
		return a.Grant(e.RequestID)
	}
	if a.requestPermit == nil || ctx.Err() != nil {
		return false
	}
	return a.requestPermit(ctx, e.Root, e.RequestID)
}

// Len returns the number of open counters.
func (a *Allocator) Len() int {
	n := 0
	for i := range a.shards {
		n += a.shards[i].len()
	}
	return n
}

func (a *Allocator) shardOf(requestID string) *shard {
	return &a.shards[maphash.String(a.seed, requestID)%shardCount]
}
