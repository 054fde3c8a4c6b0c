package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/version"
)

// runRounds keeps a target as busy as its queue allows, for n rounds. took
// returns the duration of the requests for a number in flight. runRounds returns
// the time at which the last round ends.
func runRounds(q *Queue, now time.Time, n int, took func(inFlight int) time.Duration) time.Time {
	for range n {
		for range 2 * q.limit.announced {
			q.Offer(now, newTicket(now, "obala", version.Normal))
		}
		d := took(q.InFlight())
		now = now.Add(d)
		for k := q.InFlight(); k > 0; k-- {
			q.Done(now, q.working.oldest, Result{Took: d})
		}
	}
	return now
}

func TestLimitFollowsTargetCapacity(t *testing.T) {
	const announced, capacity = 40, 10
	q, now := warmQueue(t, announced)
	now = runRounds(q, now, 100, func(int) time.Duration { return 4 * time.Millisecond })
	must.Eq(t, announced, q.Limit())
	runRounds(q, now, 1000, func(n int) time.Duration {
		return 4 * time.Millisecond * time.Duration(max(n, capacity)) / capacity
	})
	must.Between(t, capacity, q.Limit(), 2*capacity+capacity/2)
}

func TestLimitStaysWhereTheTargetIsSlowAtAnyLimit(t *testing.T) {
	const announced = 40
	q, now := warmQueue(t, announced)
	now = runRounds(q, now, 100, func(int) time.Duration { return 4 * time.Millisecond })
	lowest := announced
	for n := range 600 {
		slower := 4*time.Millisecond + time.Duration(min(n, 300))*20*time.Microsecond
		now = runRounds(q, now, 10, func(int) time.Duration { return slower })
		lowest = min(lowest, q.Limit())
	}
	must.Eq(t, announced, q.Limit())
	must.GreaterEq(t, announced*3/4, lowest)
}

// roundsToFullLimit returns how many rounds, each as long as one service time, a
// busy target takes to reach its full limit.
func roundsToFullLimit(t *testing.T, state protocol.TargetState, slots int) int {
	q := NewQueue(start, func(*Ticket) {}, nil)
	q.Announce(start, announcement(state, slots))
	now := start
	for n := range 1000 {
		if q.Limit() == slots {
			return n
		}
		now = runRounds(q, now, 1, func(int) time.Duration { return 10 * time.Millisecond })
	}
	t.Fatal("the target did not reach its full limit in 1000 rounds")
	return 0
}

// doublings returns how often a limit doubles from first to full. Each doubling
// may take one service time more than its rounds, because requests of the
// previous stage have to complete first.
func doublings(first, full int) int {
	n := 0
	for ; first < full; first *= 2 {
		n++
	}
	return n
}

func TestColdStartReachesFullLoad(t *testing.T) {
	for _, slots := range []int{20, 70, 130, 210} {
		warm, cold := roundsToFullLimit(t, protocol.Warm, slots), roundsToFullLimit(t, protocol.Cold, slots)
		t.Logf("%d slots: full limit after %d service times from warm, %d from cold", slots, warm, cold)
		must.LessEq(t, doublings(max(slots/warmDivisor, 2), slots)*(warmRounds+1), warm)
		must.LessEq(t, doublings(coldLimit, slots)*(coldRounds+1), cold)
	}
}

func TestColdStartResets(t *testing.T) {
	restarted := announcement(protocol.Warm, 16)
	restarted.Incarnation = "b"
	tests := map[string]struct {
		act   func(q *Queue, now time.Time)
		limit int
	}{
		"announced cold":  {func(q *Queue, now time.Time) { q.Announce(now, announcement(protocol.Cold, 16)) }, 1},
		"new incarnation": {func(q *Queue, now time.Time) { q.Announce(now, restarted) }, 2},
		"connection resets": {func(q *Queue, now time.Time) {
			for range 3 {
				q.Offer(now, newTicket(now, "obala", version.Normal))
			}
			for range 2 {
				q.Done(now, q.working.oldest, Result{Reset: true, Failed: true})
			}
		}, 1},
		"latency jump": {func(q *Queue, now time.Time) {
			runRounds(q, now, 1, func(int) time.Duration { return 10 * time.Millisecond })
		}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			q, now := warmQueue(t, 16)
			tc.act(q, now)
			must.True(t, q.Cold())
			must.Eq(t, tc.limit, q.Limit())
		})
	}
}

func TestOverdueRequestsHoldNewOnesBack(t *testing.T) {
	q, now := warmQueue(t, 16)
	for range 8 {
		q.Offer(now, newTicket(now, "obala", version.Normal))
	}
	now = now.Add(20 * time.Millisecond)
	ticket := newTicket(now, "obala", version.Normal)
	q.Offer(now, ticket)
	must.Eq(t, Waiting, ticket.Phase)

	q, now = warmQueue(t, 16)
	for range 8 {
		ticket := newTicket(now, "obala", version.Normal)
		q.Offer(now, ticket)
		q.OutgoingCall(now, ticket, true)
	}
	now = now.Add(20 * time.Millisecond)
	ticket = newTicket(now, "obala", version.Normal)
	q.Offer(now, ticket)
	must.Eq(t, Running, ticket.Phase)
}

// TestSlowRequestsInSuccessionHoldNewOnesBack guards against evidence that is
// counted apart: a request that has ended, one that makes a call and one that still
// runs show together that the target became cold, unless a later one was fast.
func TestSlowRequestsInSuccessionHoldNewOnesBack(t *testing.T) {
	const usual, slow = time.Millisecond, 10 * time.Millisecond
	tests := map[string]struct {
		fastAt time.Duration // start of a fast request, after that of the slow ones
		phase  Phase
	}{
		"fast request before": {-usual, Waiting},
		"fast request after":  {usual, Running},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			q, now := warmQueue(t, 16)
			offer := func(at time.Duration) *Ticket {
				ticket := newTicket(now.Add(at), "obala", version.Normal)
				q.Offer(now.Add(at), ticket)
				return ticket
			}
			fast := func() { q.Done(now.Add(tc.fastAt+usual), offer(tc.fastAt), Result{Took: usual}) }
			if tc.fastAt < 0 {
				fast()
			}
			ended, calling := offer(0), offer(0)
			offer(0)
			if tc.fastAt > 0 {
				fast()
			}
			q.OutgoingCall(now.Add(slow), calling, true)
			q.Done(now.Add(slow), ended, Result{Took: slow})
			must.Eq(t, tc.phase, offer(slow).Phase)
		})
	}
}

// TestSlowRequestCountsOnce guards against a request that counts again as slow each
// time it works on after a call.
func TestSlowRequestCountsOnce(t *testing.T) {
	const slow = 10 * time.Millisecond
	q, now := warmQueue(t, 16)
	ticket := newTicket(now, "obala", version.Normal)
	q.Offer(now, ticket)
	for range 2 * suspectSlowRun {
		now = now.Add(slow)
		q.OutgoingCall(now, ticket, true)
		q.OutgoingCall(now, ticket, false)
	}
	now = now.Add(slow)
	next := newTicket(now, "obala", version.Normal)
	q.Offer(now, next)
	must.Eq(t, Running, next.Phase)
	must.Eq(t, 1, q.suspicion.slowRun)
	must.False(t, q.suspicion.active())
}

// TestFewSlowRequestsHoldNothingBack guards against false cold-start
// suspicions: in a mix in which few requests take far longer than the others,
// at least 90 % of the slots must stay in use.
func TestFewSlowRequestsHoldNothingBack(t *testing.T) {
	const slots, length = 20, 20 * time.Second
	q, now := warmQueue(t, slots)
	random := rand.New(rand.NewPCG(1, 1))
	ends := make(map[*Ticket]time.Time)
	var order []*Ticket
	began := func(ticket *Ticket) {
		if ticket.Phase == Running {
			ends[ticket] = now.Add(mixedServiceTime(random))
			order = append(order, ticket)
		}
	}
	q.onDecision = began
	var busy, steps int
	for until := now.Add(length); now.Before(until); now = now.Add(time.Millisecond) {
		for range slots {
			ticket := newTicket(now, "obala", version.Normal)
			q.Offer(now, ticket)
			began(ticket)
		}
		for _, ticket := range slices.Clone(order) {
			if end, ok := ends[ticket]; ok && !end.After(now) {
				delete(ends, ticket)
				q.Done(now, ticket, Result{Took: now.Sub(ticket.started)})
			}
		}
		order = slices.DeleteFunc(order, func(ticket *Ticket) bool { _, ok := ends[ticket]; return !ok })
		busy += q.InFlight()
		steps++
	}
	must.GreaterEq(t, 0.9, float64(busy)/float64(steps*slots))
}

// mixedServiceTime returns 100 ms for 3 of 100 requests and 5 ms for the
// others.
func mixedServiceTime(r *rand.Rand) time.Duration {
	if r.IntN(100) < 3 {
		return 100 * time.Millisecond
	}
	return 5 * time.Millisecond
}
