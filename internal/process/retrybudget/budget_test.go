package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const window = 10 * time.Second

func newBudget(ratio, slack float64, processes int) *Budget {
	return New(Options{Ratio: ratio, Window: window, Slack: slack, Processes: func() int { return processes }})
}

// arrivals records the requests for one service and their repeats.
type arrivals struct{ requests, repeats []time.Time }

// mostAbove returns by how much the repeats of the worst window exceed what ratio and slack
// allow there.
func (a *arrivals) mostAbove(ratio, slack float64) float64 {
	worst := -slack
	for i, from := range a.repeats {
		repeats := within(a.repeats[i:], from)
		worst = max(worst, float64(repeats)-ratio*float64(within(a.requests, from))-slack)
	}
	return worst
}

// within returns the number of times in the window that begins at from.
func within(times []time.Time, from time.Time) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Sub(from) < window {
			n++
		}
	}
	return n
}

// TestAllProcessesTogether replays two services that fail every request, one of which
// makes four calls to the other for each run. All processes repeat what they may. In every
// window and at both services, the repeats stay within ratio and slack. The calls of a run
// that was a repeat count as repeats, and are no requests.
func TestAllProcessesTogether(t *testing.T) {
	const processes, requestsPerSecond, calls, ratio, slack = 16, 10, 4, 0.2, 49.0
	rng := rand.New(rand.NewPCG(1, 1))
	var budgets []*Budget
	for range processes {
		budgets = append(budgets, newBudget(ratio, slack, processes))
	}
	var upper, lower arrivals
	start := time.Unix(1, 0)
	var now time.Time
	run := func(repeat bool) {
		remaining := rng.Float64()
		for range calls {
			b := budgets[rng.IntN(processes)]
			if repeat {
				b.CountRepeat(now, "lower")
				lower.repeats = append(lower.repeats, now)
			} else {
				b.CountRequest(now, "lower")
				lower.requests = append(lower.requests, now)
			}
			if b.Take(now, "lower", remaining) {
				lower.repeats = append(lower.repeats, now)
			}
		}
	}
	for now = start; now.Sub(start) < 40*time.Second; now = now.Add(time.Second / requestsPerSecond) {
		for _, b := range budgets {
			b.CountRequest(now, "upper")
			upper.requests = append(upper.requests, now)
			run(false)
			if b.Take(now, "upper", rng.Float64()) {
				upper.repeats = append(upper.repeats, now)
				run(true)
			}
		}
	}
	must.LessEq(t, 0, upper.mostAbove(ratio, slack))
	must.LessEq(t, 0, lower.mostAbove(ratio, slack))
	must.Greater(t, 600, len(upper.repeats), must.Sprint("of 960 that ratio and requests allow"))
	must.Greater(t, 2600, len(lower.repeats), must.Sprint("of 5120 that ratio and requests allow"))
}

func TestUnusedRetryTokensAreBounded(t *testing.T) {
	b := newBudget(0.2, 16, 1)
	now := time.Unix(1, 0)
	b.CountRequest(now, "s")
	now = now.Add(time.Hour)
	n := 0
	for b.Take(now, "s", 0) {
		n++
	}
	must.Eq(t, 3, n, must.Sprint("a quarter of what the slack allows in a window"))
}

// TestRepeatsGoToRequestsThatAreFarOn replays a service that rejects half of its requests,
// with four calls under each request that must all succeed, and budget for a part of the
// repeats. Later calls of a request get theirs first, so more finish than when the tokens
// go to calls as they come.
func TestRepeatsGoToRequestsThatAreFarOn(t *testing.T) {
	const calls = 4
	finished := func(remaining func(call int) float64) (n int) {
		rng := rand.New(rand.NewPCG(2, 2))
		b := newBudget(0.2, 0, 1)
		now := time.Unix(1, 0)
		for range 20_000 {
			now = now.Add(5 * time.Millisecond)
			failed := false
			for call := range calls {
				b.CountRequest(now, "s")
				failed = rng.IntN(2) == 0 && (!b.Take(now, "s", remaining(call)) || rng.IntN(2) == 0)
				if failed {
					break
				}
			}
			if !failed {
				n++
			}
		}
		return n
	}
	farOn := finished(func(call int) float64 { return 1 - float64(call+1)/calls })
	byArrival := finished(func(int) float64 { return 0 })
	t.Logf("%d finished, %d where tokens go by arrival", farOn, byArrival)
	must.Greater(t, byArrival*5/4, farOn)
}
