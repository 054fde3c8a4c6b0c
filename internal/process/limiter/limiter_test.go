package limiter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const slots = 10

// fullLimiter returns a limiter whose slots are all in use.
func fullLimiter(t *testing.T, now time.Time) *Limiter {
	t.Helper()
	l := New(slots)
	for range slots {
		_, decision := l.Offer(now, Request{ObjectiveRemaining: time.Second})
		must.Eq(t, Run, decision)
	}
	return l
}

func TestRequestThatCannotFinishIsRejectedAtOnce(t *testing.T) {
	now := time.Unix(1, 0)
	l := fullLimiter(t, now)
	ticket, decision := l.Offer(now, Request{ObjectiveRemaining: 10 * time.Millisecond})
	must.Eq(t, Reject, decision)
	must.GreaterEq(t, minRetryAfter, ticket.RetryAfter)
	_, decision = l.Offer(now, Request{ObjectiveRemaining: time.Second})
	must.Eq(t, Wait, decision)
}

func TestOrderOfWaiting(t *testing.T) {
	now := time.Unix(1, 0)
	l := fullLimiter(t, now)
	low, _ := l.Offer(now, Request{Rank: 2, ObjectiveRemaining: time.Second})
	high, _ := l.Offer(now, Request{Rank: 0, ObjectiveRemaining: time.Second})
	retry, _ := l.Offer(now, Request{Rank: 2, ClientRetry: true, ObjectiveRemaining: time.Second})
	call, _ := l.Offer(now, Request{Rank: 2, Call: true, ObjectiveRemaining: time.Second})
	for _, want := range []*Ticket{call, high, retry, low} {
		l.Done(now, time.Millisecond, Completed)
		select {
		case <-want.Ready:
			must.False(t, want.Rejected)
		default:
			t.Fatal("another request was dispatched before the expected one")
		}
	}
}

func TestCallDisplacesRequestThatCanNoLongerFinish(t *testing.T) {
	now := time.Unix(1, 0)
	l := fullLimiter(t, now)
	tight, decision := l.Offer(now, Request{Rank: 1, ObjectiveRemaining: initialServiceTime + 3*initialServiceTime/slots})
	must.Eq(t, Wait, decision)
	for range 4 {
		_, decision = l.Offer(now, Request{Call: true, ObjectiveRemaining: time.Second})
		must.Eq(t, Wait, decision)
	}
	<-tight.Ready
	must.True(t, tight.Rejected)
}

func TestCancelRemovesWaitingRequest(t *testing.T) {
	now := time.Unix(1, 0)
	l := fullLimiter(t, now)
	ticket, _ := l.Offer(now, Request{ObjectiveRemaining: time.Second})
	must.True(t, l.Cancel(ticket))
	must.False(t, l.Cancel(ticket))
	_, waiting, _ := l.Load()
	must.Eq(t, 0, waiting)
}

// TestOverload simulates ten seconds at 1.5 times the capacity of a target,
// with requests of about 55 ms, of two ranks, half of them calls. It guards
// against late responses (fewer than 1 in 20 of the finished requests exceed the
// objective), against rejected calls (at most 1 in 100), and against rejecting
// the more urgent rank as often as the other.
func TestOverload(t *testing.T) {
	type running struct {
		ticket *Ticket
		ends   time.Time
	}
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1, 0)
	l := New(slots)
	const objective = 300 * time.Millisecond
	serviceTime := func() time.Duration { return time.Duration(30+rng.IntN(50)) * time.Millisecond }
	var active []running
	var pending []*Ticket
	var late, finished, calls, rejectedCalls int
	rejected := map[int]int{}
	offered := map[int]int{}
	begin := func(now time.Time, ticket *Ticket) { active = append(active, running{ticket, now.Add(serviceTime())}) }
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(time.Millisecond) {
		kept := active[:0]
		for _, r := range active {
			if now.Before(r.ends) {
				kept = append(kept, r)
				continue
			}
			finished++
			if now.Sub(r.ticket.arrived) > objective {
				late++
			}
			l.Done(now, now.Sub(r.ticket.Started), Completed)
		}
		active = kept
		if rng.Float64() < 0.273 { // 1.5 times the capacity of ten slots at 55 ms
			request := Request{Rank: rng.IntN(2), Call: rng.IntN(2) == 0, ObjectiveRemaining: objective}
			ticket, decision := l.Offer(now, request)
			if request.Call {
				calls++
			} else {
				offered[request.Rank]++
			}
			switch decision {
			case Run:
				begin(now, ticket)
			case Wait:
				pending = append(pending, ticket)
			case Reject:
				close(ticket.Ready)
				pending = append(pending, ticket)
			}
		}
		waiting := pending[:0]
		for _, ticket := range pending {
			select {
			case <-ticket.Ready:
			default:
				waiting = append(waiting, ticket)
				continue
			}
			switch {
			case !ticket.Rejected:
				begin(now, ticket)
			case ticket.request.Call:
				rejectedCalls++
			default:
				rejected[ticket.request.Rank]++
			}
		}
		pending = waiting
	}
	must.Less(t, finished/20, late)
	must.LessEq(t, calls/100, rejectedCalls)
	must.Less(t, float64(rejected[1])/float64(offered[1]), float64(rejected[0])/float64(offered[0]))
}

func TestColdLimitInEveryWindow(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	var c ColdLimiter
	const rate = 33
	now := time.Unix(1, 0)
	var sent []time.Time
	for range 20_000 {
		now = now.Add(time.Duration(rng.IntN(5)) * time.Millisecond)
		if c.Allow(now, true, rate) {
			sent = append(sent, now)
		}
	}
	for i := range sent {
		if i+rate < len(sent) {
			must.GreaterEq(t, ColdWindow, sent[i+rate].Sub(sent[i]))
		}
	}
	must.Greater(t, 20*rate, len(sent))
}

// TestTargetThatTurnsColdWhileBusy checks that requests sent just before the
// target became cold count towards the cold limit.
func TestTargetThatTurnsColdWhileBusy(t *testing.T) {
	var c ColdLimiter
	now := time.Unix(1, 0)
	for range 50 {
		must.True(t, c.Allow(now, false, 33))
	}
	must.False(t, c.Allow(now.Add(900*time.Millisecond), true, 33))
	must.Eq(t, 100*time.Millisecond, c.RetryAfter(now.Add(900*time.Millisecond)))
	must.True(t, c.Allow(now.Add(ColdWindow), true, 33))
}
