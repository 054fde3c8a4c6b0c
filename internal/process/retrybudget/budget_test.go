package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	window = 10 * time.Second
	ratio  = 0.2
)

func newBudget(slack float64, processes int) *Budget {
	return New(Options{Ratio: ratio, Window: window, Slack: slack, Processes: func() int { return processes }})
}

// arrivals records the requests for one service and their repeats.
type arrivals struct{ requests, repeats []time.Time }

// mostAbove returns by how much the repeats of the worst window exceed what ratio and slack
// allow there.
func (a *arrivals) mostAbove(slack float64) float64 {
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
	const processes, requestsPerSecond, calls, slack = 16, 10, 4, 49.0
	rng := rand.New(rand.NewPCG(1, 1))
	var budgets []*Budget
	for range processes {
		budgets = append(budgets, newBudget(slack, processes))
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
	must.LessEq(t, 0, upper.mostAbove(slack))
	must.LessEq(t, 0, lower.mostAbove(slack))
	must.Greater(t, 600, len(upper.repeats), must.Sprint("of 960 that ratio and requests allow"))
	must.Greater(t, 2600, len(lower.repeats), must.Sprint("of 5120 that ratio and requests allow"))
}

func TestUnusedRetryTokensAreBounded(t *testing.T) {
	b := newBudget(16, 1)
	now := time.Unix(1, 0)
	b.CountRequest(now, "s")
	now = now.Add(time.Hour)
	n := 0
	for b.Take(now, "s", 0) {
		n++
	}
	must.Eq(t, 2, n, must.Sprint("safetyFactor of a quarter of what the slack allows in a window"))
}

// TestRepeatsGoToRequestsThatAreFarOn replays a service that rejects half of its requests,
// with four calls under each request that must all succeed, and budget for a part of the
// repeats. Later calls of a request get theirs first, so more finish than when the tokens
// go to calls as they come.
func TestRepeatsGoToRequestsThatAreFarOn(t *testing.T) {
	const calls = 4
	finished := func(remaining func(call int) float64) (n int) {
		rng := rand.New(rand.NewPCG(2, 2))
		b := newBudget(0, 1)
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

// chain replays services one above the other, the lowest of which rejects half of what
// arrives. A run of any other makes four calls to the next one, and fails if one of them
// does. Each process enters the calls of the runs at its target.
type chain struct {
	rng     *rand.Rand
	now     time.Time
	budgets []*Budget
	// takeRerun takes a token for a request that a target has failed.
	takeRerun func(b *Budget, now time.Time, service string, remaining float64) bool
	services  []arrivals
}

// send sends a request to the service at a level from the process p, and repeats it at
// another process while the budget allows. repeat is true for a call of a run that is a
// repeat. It reports whether the request has succeeded.
func (c *chain) send(level, p int, repeat bool, remaining float64) bool {
	b, service, lowest := c.budgets[p], string(rune('a'+level)), level == len(c.services)-1
	s := &c.services[level]
	if repeat {
		b.CountRepeat(c.now, service)
		s.repeats = append(s.repeats, c.now)
	} else {
		b.CountRequest(c.now, service)
		s.requests = append(s.requests, c.now)
	}
	if lowest {
		if c.rng.IntN(2) == 0 {
			return true
		}
		if !b.Take(c.now, service, remaining) {
			return false
		}
		s.repeats = append(s.repeats, c.now)
		return c.rng.IntN(2) == 0
	}
	if c.run(level, p, repeat) {
		return true
	}
	if !c.takeRerun(b, c.now, service, remaining) {
		return false
	}
	s.repeats = append(s.repeats, c.now)
	// One failure domain of four is left, so the other targets are those of a quarter
	// of the processes.
	succeeded := c.run(level, c.rng.IntN(len(c.budgets)/4), true)
	b.RecordRerun(c.now, service, succeeded)
	return succeeded
}

func (c *chain) run(level, p int, repeat bool) bool {
	const calls = 4
	for n := range calls {
		if !c.send(level+1, p, repeat, 1-float64(n+1)/calls) {
			return false
		}
	}
	return true
}

// TestRepeatsOfAFailureThatSpreads replays a deep service that rejects half of its calls,
// so that requests fail at every service above it. The repeats that arrive at each of them
// stay within ratio and slack, also those of runs that repeat others.
func TestRepeatsOfAFailureThatSpreads(t *testing.T) {
	const processes, requestsPerSecond, slack = 16, 6, 48.0
	mostAbove := func(takeRerun func(*Budget, time.Time, string, float64) bool) float64 {
		c := &chain{rng: rand.New(rand.NewPCG(3, 3)), takeRerun: takeRerun, services: make([]arrivals, 3)}
		for range processes {
			c.budgets = append(c.budgets, newBudget(slack, processes))
		}
		start := time.Unix(1, 0)
		for c.now = start; c.now.Sub(start) < 30*time.Second; c.now = c.now.Add(time.Second / requestsPerSecond) {
			for p := range processes {
				c.send(0, p, false, 1)
			}
		}
		worst := -slack
		for i := range c.services {
			s := &c.services[i]
			t.Logf("service %d: %d requests, %d repeats, %.0f above in the worst window", i, len(s.requests), len(s.repeats), s.mostAbove(slack))
			worst = max(worst, s.mostAbove(slack))
		}
		return worst
	}
	must.LessEq(t, 0, mostAbove((*Budget).TakeRerun))
	must.Greater(t, 0, mostAbove((*Budget).Take), must.Sprint("without a budget of their own"))
}

// TestRerunsThatFailAreFew replays a service that fails all its requests for a while.
func TestRerunsThatFailAreFew(t *testing.T) {
	b := newBudget(0, 1)
	now := time.Unix(1, 0)
	reruns := func(succeed bool) (n int) {
		for range 2000 {
			now = now.Add(5 * time.Millisecond)
			b.CountRequest(now, "s")
			if b.TakeRerun(now, "s", 0) {
				n++
				b.RecordRerun(now, "s", succeed)
			}
		}
		return n
	}
	good := reruns(true)
	must.Between(t, 50, good, 100, must.Sprint("of 2000 requests, a fifth of which may be repeated"))
	must.Less(t, good/2, reruns(false))
	must.Greater(t, good*2/3, reruns(true), must.Sprint("it succeeds again"))
}
