package shedding

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestShare(t *testing.T) {
	cases := []struct {
		stated   Stated
		position int
		want     float64
	}{
		{Stated{}, 0, 0},
		{Stated{Below: 0.5}, 0, 0.5},
		{Stated{Direct: 0.5}, 0, 0},
		{Stated{Direct: 1.5}, 0, 0.5},
		{Stated{Below: 0.5}, 1, 0},
		{Stated{Below: 2.5}, 1, 0.5},
		{Stated{Direct: 3.5}, 1, 0.5},
		{Stated{Direct: Most, Below: Most}, 7, 1},
	}
	for _, c := range cases {
		must.Eq(t, c.want, c.stated.Share(c.position))
	}
}

func TestStatedRoundTrip(t *testing.T) {
	s := Stated{Direct: 1.25, Below: 0.5}
	got, err := ParseStated(s.String())
	must.NoError(t, err)
	must.Eq(t, s, got)
	_, err = ParseStated("")
	must.Error(t, err)
	_, err = ParseStated("1 x")
	must.Error(t, err)
}

func TestLevelSinksWhenNobodyStatesIt(t *testing.T) {
	var l Levels
	now := time.Unix(1, 0)
	for range 50 {
		l.Observe(now, "r", Stated{Direct: 2, Below: 4})
	}
	must.Greater(t, 3.9, l.Route(now, "r").Below)
	must.Eq(t, 0, l.Route(now.Add(time.Minute), "r").Below)
	must.Eq(t, Stated{}, l.Route(now, "unknown"))
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
	must.Eq(t, []string{"called"}, c.CalledBy(now, "caller"))
	must.Len(t, 0, c.CalledBy(now, "plain"))
	must.Len(t, 0, c.CalledBy(now, "unknown"))
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
			if shed && rng.Float64() < levels.Route(now, "r").Share(position) {
				continue
			}
			admitted = append(admitted, position)
		}
		done := make([]int, len(admitted))
		for range calls {
			for i := range admitted {
				refused := free == 0
				controller.Offered(now, free < room/4, refused)
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
			levels.Observe(now, "r", Stated{Below: level})
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
