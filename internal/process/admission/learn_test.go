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

// rounds keeps a target as busy as its queue allows. Each request takes what
// took says for the number in flight.
func rounds(q *Queue, now time.Time, n int, took func(inFlight int) time.Duration) time.Time {
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

func TestLimitFollowsWhatTheTargetBears(t *testing.T) {
	const announced, bears = 40, 10
	q, now := warm(t, announced)
	now = rounds(q, now, 100, func(int) time.Duration { return 4 * time.Millisecond })
	must.Eq(t, announced, q.Limit())
	rounds(q, now, 1000, func(n int) time.Duration {
		return 4 * time.Millisecond * time.Duration(max(n, bears)) / bears
	})
	must.Between(t, bears, q.Limit(), 2*bears+bears/2)
}

func TestLimitStaysWhereTheTargetIsSlowAtAnyLimit(t *testing.T) {
	const announced = 40
	q, now := warm(t, announced)
	now = rounds(q, now, 100, func(int) time.Duration { return 4 * time.Millisecond })
	lowest := announced
	for n := range 600 {
		slower := 4*time.Millisecond + time.Duration(min(n, 300))*20*time.Microsecond
		now = rounds(q, now, 10, func(int) time.Duration { return slower })
		lowest = min(lowest, q.Limit())
	}
	must.Eq(t, announced, q.Limit())
	must.GreaterEq(t, announced*3/4, lowest)
}

// loadTime is how long a busy target takes to its full limit, in its own
// service times.
func loadTime(t *testing.T, state protocol.TargetState, slots int) int {
	q := NewQueue(start, func(*Ticket) {}, nil)
	q.Announce(start, announcement(state, slots))
	now := start
	for n := range 1000 {
		if q.Limit() == slots {
			return n
		}
		now = rounds(q, now, 1, func(int) time.Duration { return 10 * time.Millisecond })
	}
	t.Fatal("never at full load")
	return 0
}

// steps is how often a limit doubles from first to full. Each step may take one
// service time more than its rounds, for requests of the step before.
func steps(first, full int) int {
	n := 0
	for ; first < full; first *= 2 {
		n++
	}
	return n
}

func TestColdStartReachesFullLoad(t *testing.T) {
	for _, slots := range []int{20, 70, 130, 210} {
		warm, cold := loadTime(t, protocol.Warm, slots), loadTime(t, protocol.Cold, slots)
		t.Logf("%d slots: full load after %d service times warm, %d cold", slots, warm, cold)
		must.LessEq(t, steps(max(slots/warmShare, 2), slots)*(warmRounds+1), warm)
		must.LessEq(t, steps(coldLimit, slots)*(coldRounds+1), cold)
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
			rounds(q, now, 1, func(int) time.Duration { return 10 * time.Millisecond })
		}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			q, now := warm(t, 16)
			tc.act(q, now)
			must.True(t, q.Cold())
			must.Eq(t, tc.limit, q.Limit())
		})
	}
}

func TestOverdueRequestsHoldNewOnesBack(t *testing.T) {
	q, now := warm(t, 16)
	for range 8 {
		q.Offer(now, newTicket(now, "obala", version.Normal))
	}
	now = now.Add(20 * time.Millisecond)
	k := newTicket(now, "obala", version.Normal)
	q.Offer(now, k)
	must.Eq(t, Waiting, k.Phase)

	q, now = warm(t, 16)
	for range 8 {
		k := newTicket(now, "obala", version.Normal)
		q.Offer(now, k)
		q.Calling(now, k, true)
	}
	now = now.Add(20 * time.Millisecond)
	k = newTicket(now, "obala", version.Normal)
	q.Offer(now, k)
	must.Eq(t, Running, k.Phase)
}

// TestFewSlowRequestsHoldNothingBack serves a mix in which few requests take
// far longer than the others: the target must stay nearly as busy as it can be.
func TestFewSlowRequestsHoldNothingBack(t *testing.T) {
	const slots, length = 20, 20 * time.Second
	q, now := warm(t, slots)
	random := rand.New(rand.NewPCG(1, 1))
	ends := make(map[*Ticket]time.Time)
	var order []*Ticket
	began := func(k *Ticket) {
		if k.Phase == Running {
			ends[k] = now.Add(mixed(random))
			order = append(order, k)
		}
	}
	q.settled = began
	var busy, steps int
	for until := now.Add(length); now.Before(until); now = now.Add(time.Millisecond) {
		for range slots {
			k := newTicket(now, "obala", version.Normal)
			q.Offer(now, k)
			began(k)
		}
		for _, k := range slices.Clone(order) {
			if end, ok := ends[k]; ok && !end.After(now) {
				delete(ends, k)
				q.Done(now, k, Result{Took: now.Sub(k.started)})
			}
		}
		order = slices.DeleteFunc(order, func(k *Ticket) bool { _, ok := ends[k]; return !ok })
		busy += q.InFlight()
		steps++
	}
	must.GreaterEq(t, 0.9, float64(busy)/float64(steps*slots))
}

// mixed is 5 ms, and 100 ms for 3 of 100 requests.
func mixed(r *rand.Rand) time.Duration {
	if r.IntN(100) < 3 {
		return 100 * time.Millisecond
	}
	return 5 * time.Millisecond
}
