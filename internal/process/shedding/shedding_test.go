package shedding

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const second = time.Second

// TestShare: half of the work on a service is shed, the least urgent rank first,
// within a rank what costs most. Routes that another service binds are left alone.
func TestShare(t *testing.T) {
	var d Demand
	now := time.Unix(1, 0)
	bound := func(cost time.Duration) Stated { return Stated{Service: "deep", Level: 0.5, Cost: cost} }
	share := make(map[string]float64)
	for range 200 {
		share["urgent"] = d.Share(now, 0, "urgent", bound(2*second))
		share["dear"] = d.Share(now, 10002, "dear", bound(6*second))
		share["cheap"] = d.Share(now, 10002, "cheap", bound(second))
		share["middle"] = d.Share(now, 10001, "middle", bound(second))
		share["other"] = d.Share(now, 10002, "other", Stated{Service: "shallow", Cost: second})
	}
	must.Eq(t, 0, share["urgent"])
	must.Eq(t, 0, share["middle"])
	must.Eq(t, 0, share["other"])
	must.Eq(t, 0, share["cheap"])
	must.Between(t, 0.82, share["dear"], 0.85, must.Sprint("5 of 10 parts of the work are shed, 6 of them are dear"))
	for range 200 {
		bound := Stated{Service: "deep", Level: MaxLevel, Cost: second}
		share["least"] = d.Share(now, 10002, "cheap", bound)
	}
	must.Eq(t, mostShare, share["least"], must.Sprint("no route is shed whole"))
}

func TestStatedRoundTrip(t *testing.T) {
	s := Stated{Service: "deep one", Level: 0.25, Cost: 1250 * time.Microsecond}
	got, err := ParseStated(s.String())
	must.NoError(t, err)
	must.Eq(t, s, got)
	for _, bad := range []string{"", "1", "1 2", "x 2 s", "1 x s"} {
		_, err = ParseStated(bad)
		must.Error(t, err, must.Sprint(bad))
	}
}

func TestLevelSinksWhenNobodyStatesIt(t *testing.T) {
	var l Levels
	now := time.Unix(1, 0)
	for range 50 {
		l.Observe(now, "r", Stated{Service: "s", Level: 0.9, Cost: second})
	}
	must.Greater(t, 0.89, l.Route(now, "r").Level)
	must.Eq(t, 0, l.Route(now.Add(time.Minute), "r").Level)
	must.Eq(t, Stated{}, l.Route(now, "unknown"))
}

// TestLevelOfAnotherRoute: what one route learns of a service holds for all that
// the service binds.
func TestLevelOfAnotherRoute(t *testing.T) {
	var l Levels
	now := time.Unix(1, 0)
	l.Observe(now, "seldom", Stated{Service: "s", Cost: second})
	for range 50 {
		l.Observe(now, "often", Stated{Service: "s", Level: 0.8, Cost: 3 * second})
	}
	s := l.Route(now, "seldom")
	must.Greater(t, 0.79, s.Level)
	must.Eq(t, second, s.Cost)
}

// TestBelow: a request that calls two routes costs the service that binds them
// what both take.
func TestBelow(t *testing.T) {
	var l Levels
	now := time.Unix(1, 0)
	l.Observe(now, "a", Stated{Service: "deep", Level: 0.5, Cost: 10 * time.Millisecond})
	l.Observe(now, "b", Stated{Service: "deep", Level: 0.5, Cost: 20 * time.Millisecond})
	l.Observe(now, "c", Stated{Service: "idle", Cost: second})
	s := l.Below(now, map[string]float64{"a": 5, "b": 1, "c": 9, "unknown": 1})
	must.Eq(t, "deep", s.Service)
	must.Eq(t, 70*time.Millisecond, s.Cost)
	must.Eq(t, Stated{}, l.Below(now, nil))
}

// TestBurstsAreNoFlood: calls come in bursts of ten, three quarters of what the
// target can do in the mean. What is shed for them is little.
func TestBurstsAreNoFlood(t *testing.T) {
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
	must.Less(t, 0.05, sum/steps, must.Sprint("a part that changes no order between ranks"))
}

// delayed is a target whose level comes back as load half a second later.
type delayed struct {
	controller Controller
	now        time.Time
	passes     []float64
}

func newDelayed() *delayed {
	const intervals = 5
	d := &delayed{now: time.Unix(1, 0)}
	for range intervals {
		d.passes = append(d.passes, 1)
	}
	return d
}

// step lets one interval pass, for a demand and a capacity in requests a second.
func (d *delayed) step(demand, capacity float64) float64 {
	n := int(demand * d.passes[0] * Interval.Seconds())
	for range n {
		d.controller.Offered(d.now, Capacity{PerSecond: capacity})
	}
	d.now = d.now.Add(Interval)
	level := d.controller.Level(d.now)
	d.passes = append(d.passes[1:], 1-level)
	return level
}

// TestLevelAfterColdTargets: after a loss of power all targets are cold for three
// seconds and can do a fortieth of what is asked. A second after they are warm
// nearly everything passes again.
func TestLevelAfterColdTargets(t *testing.T) {
	const demand, cold, warm = 800.0, 20.0, 1500.0
	d := newDelayed()
	for range 2 {
		d.step(demand, cold)
	}
	for range 28 {
		must.Greater(t, 0.9, d.step(demand, cold), must.Sprint("as soon as the flood is seen"))
	}
	for range 10 {
		d.step(demand, warm)
	}
	must.Less(t, 0.1, d.step(demand, warm))
}

// TestLevelFollowsTheLoad: at twice its capacity a target sheds half of the work,
// although each change comes back only after half a second, and nothing soon
// after the load is gone.
func TestLevelFollowsTheLoad(t *testing.T) {
	const capacity = 400.0
	d := newDelayed()
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

// TestCallsAreAttributed replays two routes of one target that run in equal
// numbers: requests of one make two calls each, those of the other none. Calls
// carry the deadline of their parent, and some the shorter limit of their own
// route.
func TestCallsAreAttributed(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var c Calls
	start := time.Unix(1, 0)
	type open struct {
		end      func()
		ends     time.Time
		deadline time.Time
		calls    bool
	}
	var running []open
	now := start
	for ; now.Sub(start) < 10*time.Second; now = now.Add(time.Millisecond) {
		if rng.IntN(40) == 0 {
			deadline := now.Add(time.Duration(700+rng.IntN(800)) * time.Millisecond)
			calls := rng.IntN(2) == 0
			route := "plain"
			if calls {
				route = "caller"
			}
			running = append(running, open{c.Begin(now, route, deadline), now.Add(200 * time.Millisecond), deadline, calls})
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
				c.Called(now, "called", deadline)
			}
		}
		running = kept
	}
	perRun := c.PerRun(now, "caller")
	must.MapLen(t, 1, perRun)
	must.Between(t, 1, perRun["called"], 3, must.Sprint("two calls for each, two thirds of them with its deadline"))
	must.MapLen(t, 0, c.PerRun(now, "plain"))
	must.MapLen(t, 0, c.PerRun(now, "unknown"))
}

// TestDeepServiceAtTwiceItsRoom replays entries that send requests of two ranks
// whose calls load a deep service, and requests that go to it directly, for
// thirty seconds at twice what it can do. Without shedding the deep service
// turns calls away at random: two calls of each request, so most requests whose
// first call ran are lost. With it the requests that are let in finish.
func TestDeepServiceAtTwiceItsRoom(t *testing.T) {
	without := replayDeep(false)
	with := replayDeep(true)
	must.Greater(t, 1.3*without.whole, with.whole)
	must.Less(t, 0.5*without.wasted, with.wasted)
	must.Greater(t, with.share[0], with.share[1], must.Sprint("the more urgent rank is served more"))
}

type deepResult struct {
	// whole are the requests that got all of their calls, wasted the calls that
	// ran for others.
	whole, wasted float64
	share         [2]float64 // by position, least urgent first
}

func replayDeep(shed bool) deepResult {
	const room, each, calls = 40, 20, 2 // a step of 100 ms: calls that run, requests of each rank
	rng := rand.New(rand.NewPCG(3, 3))
	var controller Controller
	var levels Levels
	var demand Demand
	var result deepResult
	var served, asked [2]float64
	now := time.Unix(1, 0)
	for range 300 {
		free := room
		var order []int
		for position := range 2 {
			for range each {
				order = append(order, position)
			}
		}
		rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		// Calls of different requests reach the deep service in turn.
		var admitted []int
		for _, position := range order {
			asked[position]++
			if shed && rng.Float64() < demand.Share(now, 1-position, "r", levels.Route(now, "r")) {
				continue
			}
			admitted = append(admitted, position)
		}
		done := make([]int, len(admitted))
		for range calls {
			for i := range admitted {
				refused := free == 0
				controller.Offered(now, Capacity{PerSecond: room / Interval.Seconds()})
				if !refused {
					free--
					done[i]++
				}
			}
		}
		for i, n := range done {
			if n == calls {
				result.whole++
				served[admitted[i]]++
			} else {
				result.wasted += float64(n)
			}
		}
		now = now.Add(Interval)
		level := controller.Level(now)
		for range 20 {
			levels.Observe(now, "r", Stated{Service: "deep", Level: level, Cost: Interval})
		}
	}
	for p := range 2 {
		result.share[p] = served[p] / asked[p]
	}
	return result
}

func TestReturns(t *testing.T) {
	var r Returns
	now := time.Unix(1, 0)
	r.TurnedAway(now, 1, time.Second)
	must.False(t, r.Returned(now, 2))
	must.True(t, r.Returned(now.Add(time.Second), 1))
	must.False(t, r.Returned(now.Add(time.Second), 1), must.Sprint("it is forgotten once it returned"))
	r.TurnedAway(now, 3, time.Second)
	must.False(t, r.Returned(now.Add(time.Minute), 3))
}
