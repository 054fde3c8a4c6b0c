package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const slots = 10

func filled(t *testing.T, now time.Time) *Gate {
	t.Helper()
	g := New(slots)
	for range slots {
		_, v := g.Offer(now, Ask{Useful: time.Second})
		must.Eq(t, Run, v)
	}
	return g
}

func TestRequestThatCannotFinishIsRefusedAtOnce(t *testing.T) {
	now := time.Unix(1, 0)
	g := filled(t, now)
	ticket, v := g.Offer(now, Ask{Useful: 10 * time.Millisecond})
	must.Eq(t, Refuse, v)
	must.GreaterEq(t, minRetry, ticket.RetryAfter)
	_, v = g.Offer(now, Ask{Useful: time.Second})
	must.Eq(t, Wait, v)
}

func TestOrderOfWaiting(t *testing.T) {
	now := time.Unix(1, 0)
	g := filled(t, now)
	low, _ := g.Offer(now, Ask{Rank: 2, Useful: time.Second})
	high, _ := g.Offer(now, Ask{Rank: 0, Useful: time.Second})
	returned, _ := g.Offer(now, Ask{Rank: 2, Returned: true, Useful: time.Second})
	call, _ := g.Offer(now, Ask{Rank: 2, Call: true, Useful: time.Second})
	for _, want := range []*Ticket{call, high, returned, low} {
		g.Done(now, time.Millisecond, true)
		select {
		case <-want.Ready:
			must.False(t, want.Refused)
		default:
			t.Fatal("another request went first")
		}
	}
}

func TestCallPushesOutWhatCanNoLongerFinish(t *testing.T) {
	now := time.Unix(1, 0)
	g := filled(t, now)
	tight, v := g.Offer(now, Ask{Rank: 1, Useful: firstService + 3*firstService/slots})
	must.Eq(t, Wait, v)
	for range 4 {
		_, v = g.Offer(now, Ask{Call: true, Useful: time.Second})
		must.Eq(t, Wait, v)
	}
	<-tight.Ready
	must.True(t, tight.Refused)
}

func TestLeaveFreesThePlace(t *testing.T) {
	now := time.Unix(1, 0)
	g := filled(t, now)
	ticket, _ := g.Offer(now, Ask{Useful: time.Second})
	must.True(t, g.Leave(ticket))
	must.False(t, g.Leave(ticket))
	_, waiting, _ := g.Load()
	must.Eq(t, 0, waiting)
}

// TestOverload replays a target that is asked for half again as much as it can
// do for ten seconds, with calls of 55 ms and requests of two ranks. Every
// request that runs finishes within its objective, nobody waits long for a
// refusal, and no more urgent request is refused for a less urgent one.
func TestOverload(t *testing.T) {
	type running struct {
		ticket *Ticket
		ends   time.Time
	}
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1, 0)
	g := New(slots)
	const objective = 300 * time.Millisecond
	service := func() time.Duration { return time.Duration(30+rng.IntN(50)) * time.Millisecond }
	var work []running
	var pending []*Ticket
	var late, ran, calls, refusedCalls int
	refused := map[int]int{}
	offered := map[int]int{}
	begin := func(now time.Time, ticket *Ticket) { work = append(work, running{ticket, now.Add(service())}) }
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(time.Millisecond) {
		kept := work[:0]
		for _, r := range work {
			if now.Before(r.ends) {
				kept = append(kept, r)
				continue
			}
			ran++
			if now.Sub(r.ticket.arrived) > objective {
				late++
			}
			g.Done(now, now.Sub(r.ticket.Started), true)
		}
		work = kept
		if rng.Float64() < 0.273 { // 1.5 times what ten slots of 55 ms can do
			ask := Ask{Rank: rng.IntN(2), Call: rng.IntN(2) == 0, Useful: objective}
			ticket, v := g.Offer(now, ask)
			if ask.Call {
				calls++
			} else {
				offered[ask.Rank]++
			}
			switch v {
			case Run:
				begin(now, ticket)
			case Wait:
				pending = append(pending, ticket)
			case Refuse:
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
			case !ticket.Refused:
				begin(now, ticket)
			case ticket.ask.Call:
				refusedCalls++
			default:
				refused[ticket.ask.Rank]++
			}
		}
		pending = waiting
	}
	must.Less(t, ran/20, late)
	must.LessEq(t, calls/100, refusedCalls)
	must.Less(t, float64(refused[1])/float64(offered[1]), float64(refused[0])/float64(offered[0]))
}

func TestColdBoundInEveryWindow(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	var c Cold
	const rate = 33
	now := time.Unix(1, 0)
	var sent []time.Time
	for range 20_000 {
		now = now.Add(time.Duration(rng.IntN(5)) * time.Millisecond)
		if c.Take(now, true, rate) {
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

// TestTargetThatTurnsColdWhileBusy: what was sent just before counts too.
func TestTargetThatTurnsColdWhileBusy(t *testing.T) {
	var c Cold
	now := time.Unix(1, 0)
	for range 50 {
		must.True(t, c.Take(now, false, 33))
	}
	must.False(t, c.Take(now.Add(900*time.Millisecond), true, 33))
	must.Eq(t, 100*time.Millisecond, c.Wait(now.Add(900*time.Millisecond)))
	must.True(t, c.Take(now.Add(ColdWindow), true, 33))
}
