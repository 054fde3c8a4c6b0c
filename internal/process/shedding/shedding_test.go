package shedding

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const second = time.Second

// TestShedFraction sheds half of the work on a service and checks the order: the least
// urgent rank first, and within a rank the most expensive route. Routes with
// another bottleneck are not shed, and no route is shed completely.
func TestShedFraction(t *testing.T) {
	var d Demand
	now := time.Unix(1, 0)
	bottleneck := func(cost time.Duration) Bottleneck { return Bottleneck{Service: "deep", Level: 0.5, Cost: cost} }
	share := make(map[string]float64)
	for range 200 {
		share["urgent"] = d.ShedFraction(now, 0, "urgent", bottleneck(2*second))
		share["dear"] = d.ShedFraction(now, 10002, "dear", bottleneck(6*second))
		share["cheap"] = d.ShedFraction(now, 10002, "cheap", bottleneck(second))
		share["middle"] = d.ShedFraction(now, 10001, "middle", bottleneck(second))
		share["other"] = d.ShedFraction(now, 10002, "other", Bottleneck{Service: "shallow", Cost: second})
	}
	must.Eq(t, 0, share["urgent"])
	must.Eq(t, 0, share["middle"])
	must.Eq(t, 0, share["other"])
	must.Eq(t, 0, share["cheap"])
	must.Between(t, 0.82, share["dear"], 0.85, must.Sprint("5 of 10 parts of the work are shed, and the expensive route takes 6 of them"))
	for range 200 {
		bottleneck := Bottleneck{Service: "deep", Level: MaxLevel, Cost: second}
		share["least"] = d.ShedFraction(now, 10002, "cheap", bottleneck)
	}
	must.Eq(t, maxShedFraction, share["least"], must.Sprint("no route is shed completely"))
}

func TestBottleneckRoundTrip(t *testing.T) {
	s := Bottleneck{Service: "deep one", Level: 0.25, Cost: 1250 * time.Microsecond}
	got, err := ParseBottleneck(s.String())
	must.NoError(t, err)
	must.Eq(t, s, got)
	for _, bad := range []string{"", "1", "1 2", "x 2 s", "1 x s"} {
		_, err = ParseBottleneck(bad)
		must.Error(t, err, must.Sprint(bad))
	}
}

func TestLevelDecaysWhenNotReported(t *testing.T) {
	var l Levels
	now := time.Unix(1, 0)
	for range 50 {
		l.Observe(now, "r", Bottleneck{Service: "s", Level: 0.9, Cost: second})
	}
	must.Greater(t, 0.89, l.ForRoute(now, "r").Level)
	must.Eq(t, 0, l.ForRoute(now.Add(time.Minute), "r").Level)
	must.Eq(t, Bottleneck{}, l.ForRoute(now, "unknown"))
}

// TestLevelOfAnotherRoute checks that a level learned from one route applies to
// all routes with the same bottleneck service.
func TestLevelOfAnotherRoute(t *testing.T) {
	var l Levels
	now := time.Unix(1, 0)
	l.Observe(now, "seldom", Bottleneck{Service: "s", Cost: second})
	for range 50 {
		l.Observe(now, "often", Bottleneck{Service: "s", Level: 0.8, Cost: 3 * second})
	}
	s := l.ForRoute(now, "seldom")
	must.Greater(t, 0.79, s.Level)
	must.Eq(t, second, s.Cost)
}

// TestDownstream checks that the cost of a request at the bottleneck is the sum over
// all the routes it calls.
func TestDownstream(t *testing.T) {
	var l Levels
	now := time.Unix(1, 0)
	l.Observe(now, "a", Bottleneck{Service: "deep", Level: 0.5, Cost: 10 * time.Millisecond})
	l.Observe(now, "b", Bottleneck{Service: "deep", Level: 0.5, Cost: 20 * time.Millisecond})
	l.Observe(now, "c", Bottleneck{Service: "idle", Cost: second})
	s := l.Downstream(now, map[string]float64{"a": 5, "b": 1, "c": 9, "unknown": 1})
	must.Eq(t, "deep", s.Service)
	must.Eq(t, 70*time.Millisecond, s.Cost)
	must.Eq(t, Bottleneck{}, l.Downstream(now, nil))
}

// TestBurstsAreNoSurge guards against shedding on bursty traffic that is within
// the capacity: calls arrive in bursts of ten, at three quarters of the
// capacity on average.
func TestBurstsAreNoSurge(t *testing.T) {
	const capacity, burst = 360.0, 10
	rng := rand.New(rand.NewPCG(5, 5))
	var c Controller
	now := time.Unix(1, 0)
	sum := 0.0
	const steps = 2000
	for range steps {
		for range 36 {
			if rng.Float64() < 0.75*capacity*Interval.Seconds()/burst/36 {
				for range burst {
					c.Offered(now, Capacity{PerSecond: capacity})
				}
			}
		}
		now = now.Add(Interval)
		sum += c.Level(now)
	}
	must.Less(t, 0.05, sum/steps, must.Sprint("bursts must not cause a level that affects the more urgent ranks"))
}

// delayedTarget simulates a target at which a change of the level shows up in
// the load half a second later.
type delayedTarget struct {
	controller    Controller
	now           time.Time
	passFractions []float64
}

func newDelayedTarget() *delayedTarget {
	const intervals = 5
	d := &delayedTarget{now: time.Unix(1, 0)}
	for range intervals {
		d.passFractions = append(d.passFractions, 1)
	}
	return d
}

// step simulates one interval with a demand and a capacity in requests per
// second.
func (d *delayedTarget) step(demand, capacity float64) float64 {
	n := int(demand * d.passFractions[0] * Interval.Seconds())
	for range n {
		d.controller.Offered(d.now, Capacity{PerSecond: capacity})
	}
	d.now = d.now.Add(Interval)
	level := d.controller.Level(d.now)
	d.passFractions = append(d.passFractions[1:], 1-level)
	return level
}

// TestLevelAfterColdTargets guards against a slow recovery after a power
// failure: all targets are cold for three seconds, with a fortieth of the
// demand as their capacity. One second after they are warm, less than a tenth
// is still shed.
func TestLevelAfterColdTargets(t *testing.T) {
	const demand, cold, warm = 800.0, 20.0, 1500.0
	d := newDelayedTarget()
	for range 2 {
		d.step(demand, cold)
	}
	for range 28 {
		must.Greater(t, 0.9, d.step(demand, cold), must.Sprint("the level must rise as soon as the surge is measured"))
	}
	for range 10 {
		d.step(demand, warm)
	}
	must.Less(t, 0.1, d.step(demand, warm))
}

// TestLevelFollowsTheLoad checks that a target at twice its capacity sheds
// about half of the work without oscillation, although a change shows up in the
// load only after half a second, and stops shedding soon after the overload
// ends.
func TestLevelFollowsTheLoad(t *testing.T) {
	const capacity = 400.0
	d := newDelayedTarget()
	for range 50 {
		d.step(2*capacity, capacity)
	}
	for range 100 {
		must.Between(t, 0.45, d.step(2*capacity, capacity), 0.6)
	}
	for range 20 {
		d.step(capacity/2, capacity)
	}
	must.Eq(t, 0, d.step(capacity/2, capacity))
}

// TestCallsAreAttributed simulates two routes of one target with equal numbers
// of requests: those of one make two calls each, those of the other none. Most
// calls carry the deadline of their parent, and some the shorter timeout of
// their own route.
func TestCallsAreAttributed(t *testing.T) { checkAttribution(t, 40) }

// TestCallsByChanceAreNotAttributed is TestCallsAreAttributed with twenty times as many
// requests, so that many deadlines match calls of other requests.
func TestCallsByChanceAreNotAttributed(t *testing.T) { checkAttribution(t, 2) }

// checkAttribution starts a request in one of every milliseconds.
func checkAttribution(t *testing.T, every int) {
	rng := rand.New(rand.NewPCG(1, 1))
	var c CallGraph
	start := time.Unix(1, 0)
	type runningRequest struct {
		end      func()
		ends     time.Time
		deadline time.Time
		calls    bool
	}
	var running []runningRequest
	now := start
	for ; now.Sub(start) < 10*time.Second; now = now.Add(time.Millisecond) {
		if rng.IntN(every) == 0 {
			deadline := now.Add(time.Duration(700+rng.IntN(800)) * time.Millisecond)
			calls := rng.IntN(2) == 0
			route := "plain"
			if calls {
				route = "caller"
			}
			running = append(running, runningRequest{c.Begin(now, route, deadline, false), now.Add(200 * time.Millisecond), deadline, calls})
		}
		kept := running[:0]
		for _, r := range running {
			if !now.Before(r.ends) {
				r.end()
				continue
			}
			kept = append(kept, r)
			if r.calls && rng.IntN(100) == 0 {
				deadline := r.deadline.Truncate(time.Millisecond)
				if rng.IntN(3) == 0 {
					deadline = now.Add(700 * time.Millisecond)
				}
				c.ObserveCall(now, "called", "s", deadline)
			}
		}
		running = kept
	}
	perRequest := c.CallsPerRequest(now, "caller")
	must.MapLen(t, 1, perRequest)
	must.Between(t, 1, perRequest["called"], 3, must.Sprint("two calls per request, two thirds of them with the deadline of their parent"))
	must.MapLen(t, 0, c.CallsPerRequest(now, "plain"))
	must.MapLen(t, 0, c.CallsPerRequest(now, "unknown"))
}

// TestDeepServiceAtTwiceItsCapacity simulates thirty seconds in which requests of
// two ranks need twice the capacity of a deep service, with two calls each.
// Without shedding the deep service rejects calls at random, so most requests
// whose first call ran are lost. With shedding the admitted requests finish.
func TestDeepServiceAtTwiceItsCapacity(t *testing.T) {
	without := simulateDeepService(false)
	with := simulateDeepService(true)
	must.Greater(t, 1.3*without.complete, with.complete)
	must.Less(t, 0.5*without.wasted, with.wasted)
	must.Greater(t, with.servedFraction[0], with.servedFraction[1], must.Sprint("the more urgent rank must be served more"))
}

type deepResult struct {
	// complete counts the requests all of whose calls ran. wasted counts the
	// calls that ran for the other requests.
	complete, wasted float64
	servedFraction   [2]float64 // by position: 0 is the less urgent rank
}

// simulateDeepService simulates thirty seconds of overload, with or without
// shedding.
func simulateDeepService(shed bool) deepResult {
	const capacity, requestsPerRank, callsPerRequest = 40, 20, 2 // capacity and requestsPerRank are per step of 100 ms
	rng := rand.New(rand.NewPCG(3, 3))
	var controller Controller
	var levels Levels
	var demand Demand
	var result deepResult
	var served, offered [2]float64
	now := time.Unix(1, 0)
	for range 300 {
		free := capacity
		var order []int
		for position := range 2 {
			for range requestsPerRank {
				order = append(order, position)
			}
		}
		rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		// The calls of different requests reach the deep service interleaved.
		var admitted []int
		for _, position := range order {
			offered[position]++
			if shed && rng.Float64() < demand.ShedFraction(now, 1-position, "r", levels.ForRoute(now, "r")) {
				continue
			}
			admitted = append(admitted, position)
		}
		done := make([]int, len(admitted))
		for range callsPerRequest {
			for i := range admitted {
				rejected := free == 0
				controller.Offered(now, Capacity{PerSecond: capacity / Interval.Seconds()})
				if !rejected {
					free--
					done[i]++
				}
			}
		}
		for i, n := range done {
			if n == callsPerRequest {
				result.complete++
				served[admitted[i]]++
			} else {
				result.wasted += float64(n)
			}
		}
		now = now.Add(Interval)
		level := controller.Level(now)
		for range 20 {
			levels.Observe(now, "r", Bottleneck{Service: "deep", Level: level, Cost: Interval})
		}
	}
	for p := range 2 {
		result.servedFraction[p] = served[p] / offered[p]
	}
	return result
}

func TestClientRetryIsRecognized(t *testing.T) {
	var r Rejections
	now := time.Unix(1, 0)
	r.Add(now, 1, time.Second)
	must.False(t, r.Consume(now, 2))
	must.True(t, r.Consume(now.Add(time.Second), 1))
	must.False(t, r.Consume(now.Add(time.Second), 1), must.Sprint("the entry is removed by the first retry"))
	r.Add(now, 3, time.Second)
	must.False(t, r.Consume(now.Add(time.Minute), 3))
}

// TestCallsTellHowFarTheirRequestIs checks what is known of the calls of a request: how
// many are still to come, and whether their run repeats another one.
func TestCallsTellHowFarTheirRequestIs(t *testing.T) {
	var c CallGraph
	now := time.Unix(1, 0)
	for n := range 40 {
		now = now.Add(50 * time.Millisecond)
		deadline := now.Add(5 * time.Second)
		end := c.Begin(now, "caller", deadline, n%2 == 1)
		for k := range 4 {
			call := c.ObserveCall(now, "called", "s", deadline.Truncate(time.Millisecond))
			must.Eq(t, n%2 == 1, call.Repeat)
			if n >= 20 {
				must.Between(t, float64(3-k)/4-0.05, call.Remaining, float64(3-k)/4+0.05)
			}
		}
		end()
	}
	must.Eq(t, Call{Remaining: 1}, c.ObserveCall(now, "called", "s", now.Add(time.Minute)), must.Sprint("no request has that deadline"))
}

// TestLevelEndsWhenTargetsTurnWarm replays a power failure: all targets are cold for three
// seconds and say when that ends. An entry that sheds nearly all hears of nothing, and must
// shed nothing once they are warm.
func TestLevelEndsWhenTargetsTurnWarm(t *testing.T) {
	const warmAfter = 3 * time.Second
	var l Levels
	start := time.Unix(1, 0)
	report := func(after time.Duration, level float64) {
		l.Observe(start.Add(after), "r", Bottleneck{Service: "s", Level: level, Cost: second, EndsIn: max(warmAfter-after, 0)})
	}
	for n := range 30 {
		report(time.Duration(n)*10*time.Millisecond, 0.95)
	}
	late := start.Add(warmAfter - 10*time.Millisecond)
	got := l.ForRoute(late, "r")
	must.Greater(t, 0.9, got.Level, must.Sprint("the level lasts while the targets are cold, however long nothing is heard"))
	must.Eq(t, 10*time.Millisecond, got.EndsIn)
	must.Eq(t, 0, l.ForRoute(start.Add(warmAfter), "r").Level)
	must.Eq(t, 0, l.Downstream(start.Add(warmAfter), map[string]float64{"r": 2}).Level)
}

// TestWarmTargetsLowerThePassingLevel checks that one cold target among warm ones does not
// keep the level up, and that the load of the warm ones counts beside it.
func TestWarmTargetsLowerThePassingLevel(t *testing.T) {
	var l Levels
	now := time.Unix(1, 0)
	for range 40 {
		l.Observe(now, "r", Bottleneck{Service: "s", Level: 0.9, Cost: second, EndsIn: time.Minute})
		for range 3 {
			l.Observe(now, "r", Bottleneck{Service: "s", Level: 0.2, Cost: second})
		}
	}
	must.Between(t, 0.19, l.ForRoute(now, "r").Level, 0.45)
	must.Between(t, 0.15, l.services["s"].lasting, 0.21)
}

// TestLevelFollowsAStepOfTheCapacity checks that a target admits all that it can as soon as
// it is warm: its level falls with the step of its capacity.
func TestLevelFollowsAStepOfTheCapacity(t *testing.T) {
	const demand, cold, warm = 800.0, 39.0, 1500.0
	d := newDelayedTarget()
	for range 30 {
		d.step(demand, cold)
	}
	must.Greater(t, 0.9, d.controller.Level(d.now))
	d.controller.Observe(d.now, Capacity{PerSecond: warm})
	must.Less(t, 0.05, d.controller.Level(d.now))
}

// TestLevelEndsAfterABurst replays the callers who return when cold targets are warm: one
// second at twice the capacity, then half of it. The level must not outlast the burst by
// more than half a second.
func TestLevelEndsAfterABurst(t *testing.T) {
	const capacity = 200 // per second
	var c Controller
	now := time.Unix(1, 0)
	send := func(perSecond int, d time.Duration) {
		for range int(d.Seconds() * float64(perSecond)) {
			now = now.Add(time.Second / time.Duration(perSecond))
			c.Offered(now, Capacity{PerSecond: capacity})
		}
	}
	send(capacity/2, time.Second)
	send(2*capacity, time.Second)
	must.Greater(t, 0.4, c.Level(now))
	send(capacity/2, 500*time.Millisecond)
	must.Less(t, 0.05, c.Level(now))
}
