package permit

import (
	"context"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/request/envelope"
)

const (
	maxHops    = 27
	maxRetries = 10
	// testRetries is the number of retries that the route allows in the tests with a
	// fixed tree.
	testRetries = 2
)

// call is one hop of a call tree.
type call struct {
	children []*call
}

// drawTree draws a random tree of hops calls.
func drawTree(t *rapid.T, hops int) *call {
	calls := []*call{{}}
	for len(calls) < hops {
		parent := calls[rapid.IntRange(0, len(calls)-1).Draw(t, "parent")]
		child := &call{}
		parent.children = append(parent.children, child)
		calls = append(calls, child)
	}
	return calls[0]
}

// budget grants extra attempts to the hops of one request.
type budget interface {
	// take reports whether a hop at this depth may make one extra attempt.
	take(depth int) bool
}

// runner runs a call tree and counts the extra attempts and the requested permits.
type runner struct {
	extra          int
	permitRequests int
	// failed reports whether an attempt whose children have succeeded fails.
	failed func() bool
}

// run makes the call, including its children, and repeats it until it succeeds or
// there is no permit. It returns whether the call succeeded.
func (r *runner) run(c *call, depth int, b budget) bool {
	for {
		if r.attempt(c, depth, b) {
			return true
		}
		r.permitRequests++
		if !b.take(depth) {
			return false
		}
		r.extra++
	}
}

// attempt runs one attempt of the call: its children in order, then the call itself.
func (r *runner) attempt(c *call, depth int, b budget) bool {
	for i, child := range c.children {
		if !r.run(child, depth+1, childBudget(b, i, len(c.children))) {
			return false
		}
	}
	return !r.failed()
}

// childBudget returns the budget that a child gets from b.
func childBudget(b budget, i, n int) budget {
	if s, ok := b.(*splitBudget); ok {
		return s.split(i, n)
	}
	return b
}

// rootBudget takes permits from one counter at the root, through the allocators of
// several daemons.
type rootBudget struct {
	allocators []*Allocator
	envelope   *envelope.Envelope
}

func (b *rootBudget) take(depth int) bool {
	return b.allocators[depth%len(b.allocators)].Take(context.Background(), b.envelope)
}

// newRootBudget returns the budget of a request with this number of retries. lost
// reports whether a response of the root is lost.
func newRootBudget(retries int, lost func() bool) *rootBudget {
	root := New(Options{Self: "r", Burst: 1000})
	root.Open("1", retries)
	request := func(_ context.Context, _, id string) bool { return root.Grant(id) && !lost() }
	b := &rootBudget{allocators: []*Allocator{root}, envelope: &envelope.Envelope{RequestID: "1", Root: "r", Service: "s"}}
	for range 3 {
		b.allocators = append(b.allocators, New(Options{Self: "p", RequestPermit: request, Burst: 1000}))
	}
	return b
}

// splitBudget is the alternative to a counter at the root: each hop keeps a part of its
// budget and splits the rest among its children, without messages.
type splitBudget struct {
	remaining int
}

func (b *splitBudget) take(int) bool {
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

// split moves an equal part of what remains to child i of n. The last child gets the
// rest.
func (b *splitBudget) split(i, n int) *splitBudget {
	part := b.remaining / (n - i)
	b.remaining -= part
	return &splitBudget{remaining: part}
}

// TestExtraAttemptsStayBounded guards against more retries over a whole call tree than
// the route allows. It runs random trees of up to 27 hops in which attempts fail at
// random, and a quarter of the responses of the root are lost.
func TestExtraAttemptsStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t, rapid.IntRange(1, maxHops).Draw(t, "hops"))
		retries := rapid.IntRange(0, maxRetries).Draw(t, "retries")
		failurePercent := rapid.IntRange(0, 100).Draw(t, "failing")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		r := &runner{failed: func() bool { return random.IntN(100) < failurePercent || failurePercent == 100 }}
		r.run(tree, 0, newRootBudget(retries, func() bool { return random.IntN(4) == 0 }))
		if r.extra > retries {
			t.Fatalf("%d extra attempts, but the route allows %d", r.extra, retries)
		}
	})
}

func TestEveryHopFails(t *testing.T) {
	chain := &call{}
	for range maxHops - 1 {
		chain = &call{children: []*call{chain}}
	}
	r := &runner{failed: func() bool { return true }}
	must.False(t, r.run(chain, 0, newRootBudget(testRetries, func() bool { return false })))
	must.Eq(t, testRetries, r.extra)
	must.LessEq(t, maxHops+testRetries, r.permitRequests)
}

// TestRootCounterAgainstSplitBudget guards against a counter at the root that lets
// fewer requests succeed than a split budget would, when 2 % of the attempts fail.
// The trees are a chain and a fan-out of 27 hops, and a fan-out of 31 hops.
func TestRootCounterAgainstSplitBudget(t *testing.T) {
	const requests = 20000
	shapes := map[string]*call{"chain": chainOf(maxHops), "fan-out": fanOut(5, 5), "pairs": fanOut(2, 12)}
	for name, tree := range shapes {
		random := rand.New(rand.NewPCG(1, 1))
		failed := func() bool { return random.IntN(1000) < 20 }
		counterSuccesses, splitSuccesses := 0, 0
		permitRequests := 0
		for range requests {
			withCounter := &runner{failed: failed}
			if withCounter.run(tree, 0, newRootBudget(testRetries, func() bool { return false })) {
				counterSuccesses++
			}
			permitRequests += withCounter.permitRequests
			withSplit := &runner{failed: failed}
			if withSplit.run(tree, 0, &splitBudget{remaining: testRetries}) {
				splitSuccesses++
			}
		}
		t.Logf("%s seed 1, 2%% of attempts fail: %.4f of requests succeed with a counter at the root and %.3f round trips, %.4f with a split budget and no round trips",
			name, float64(counterSuccesses)/requests, float64(permitRequests)/requests, float64(splitSuccesses)/requests)
		must.GreaterEq(t, splitSuccesses, counterSuccesses)
	}
}

// chainOf returns a chain of n calls.
func chainOf(n int) *call {
	c := &call{}
	for range n - 1 {
		c = &call{children: []*call{c}}
	}
	return c
}

// fanOut returns a root with width children that have leaves children each.
func fanOut(width, leaves int) *call {
	root := &call{}
	for range width {
		child := &call{}
		for range leaves {
			child.children = append(child.children, &call{})
		}
		root.children = append(root.children, child)
	}
	return root
}
