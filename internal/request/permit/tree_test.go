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
	// testRetries is the number of a route in the comparison.
	testRetries = 2
)

// call is one hop of a random call tree.
type call struct {
	children []*call
}

// drawTree draws a tree with hops calls in all.
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

// budget hands out extra attempts to the hops of one request.
type budget interface {
	// take asks for one extra attempt of the hop.
	take(depth int) bool
}

// runner runs a tree and counts attempts.
type runner struct {
	extra  int
	asks   int
	failed func() bool
}

// run makes the call, its children after it, and tries again while there is a
// permit. It returns whether the call succeeded.
func (r *runner) run(c *call, depth int, b budget) bool {
	for {
		if r.once(c, depth, b) {
			return true
		}
		r.asks++
		if !b.take(depth) {
			return false
		}
		r.extra++
	}
}

func (r *runner) once(c *call, depth int, b budget) bool {
	for i, child := range c.children {
		if !r.run(child, depth+1, share(b, i, len(c.children))) {
			return false
		}
	}
	return !r.failed()
}

// share is the budget that a child gets.
func share(b budget, i, n int) budget {
	if s, ok := b.(*splitBudget); ok {
		return s.split(i, n)
	}
	return b
}

// rootBudget is the counter at the root, asked by the books of other processes.
type rootBudget struct {
	books    []*Book
	envelope *envelope.Envelope
}

func (b *rootBudget) take(depth int) bool {
	return b.books[depth%len(b.books)].Take(context.Background(), b.envelope)
}

func newRootBudget(retries int, lost func() bool) *rootBudget {
	root := New(Options{Self: "r", Burst: 1000})
	root.Open("1", retries)
	ask := func(_ context.Context, _, id string) bool { return root.Grant(id) && !lost() }
	b := &rootBudget{books: []*Book{root}, envelope: &envelope.Envelope{RequestID: "1", Root: "r", Service: "s"}}
	for range 3 {
		b.books = append(b.books, New(Options{Self: "p", Ask: ask, Burst: 1000}))
	}
	return b
}

// splitBudget is the alternative: each hop keeps a part of its budget and
// splits the rest over its children, without asking anyone.
type splitBudget struct {
	left int
}

func (b *splitBudget) take(int) bool {
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// split moves the i-th of n even parts to a child; the last child gets what is
// left over.
func (b *splitBudget) split(i, n int) *splitBudget {
	part := b.left / (n - i)
	b.left -= part
	return &splitBudget{left: part}
}

// TestExtraAttemptsStayBounded runs random trees of 27 hops in which every hop
// fails, with answers of the root lost at random: the extra attempts over the
// whole tree never exceed the number of the route.
func TestExtraAttemptsStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t, rapid.IntRange(1, maxHops).Draw(t, "hops"))
		retries := rapid.IntRange(0, maxRetries).Draw(t, "retries")
		failing := rapid.IntRange(0, 100).Draw(t, "failing")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		r := &runner{failed: func() bool { return random.IntN(100) < failing || failing == 100 }}
		r.run(tree, 0, newRootBudget(retries, func() bool { return random.IntN(4) == 0 }))
		if r.extra > retries {
			t.Fatalf("%d extra attempts, the route allows %d", r.extra, retries)
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
	must.LessEq(t, maxHops+testRetries, r.asks)
}

// TestRootCounterAgainstSplitBudget compares the part of requests that complete
// when single hops fail now and then, over chains and fan-outs of 27 hops.
func TestRootCounterAgainstSplitBudget(t *testing.T) {
	const requests = 20000
	shapes := map[string]*call{"chain": chainOf(maxHops), "fan-out": fanOut(5, 5), "pairs": fanOut(2, 12)}
	for name, tree := range shapes {
		random := rand.New(rand.NewPCG(1, 1))
		failed := func() bool { return random.IntN(1000) < 20 }
		counter, split := 0, 0
		asks := 0
		for range requests {
			a := &runner{failed: failed}
			if a.run(tree, 0, newRootBudget(testRetries, func() bool { return false })) {
				counter++
			}
			asks += a.asks
			b := &runner{failed: failed}
			if b.run(tree, 0, &splitBudget{left: testRetries}) {
				split++
			}
		}
		t.Logf("%s seed 1, 2%% of attempts fail: counter at the root completes %.4f with %.3f round trips, split budget %.4f with none",
			name, float64(counter)/requests, float64(asks)/requests, float64(split)/requests)
		must.GreaterEq(t, split, counter)
	}
}

func chainOf(n int) *call {
	c := &call{}
	for range n - 1 {
		c = &call{children: []*call{c}}
	}
	return c
}

// fanOut is a root with width children that have leaves children each.
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
