package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/version"
)

var start = time.Unix(1_000_000, 0)

func newTicket(now time.Time, team string, i version.Importance) *Ticket {
	return &Ticket{Team: team, Importance: i, Deadline: now.Add(time.Second)}
}

// warmQueue returns a queue whose target has completed its cold start and
// sustains all its slots.
func warmQueue(t *testing.T, slots int) (*Queue, time.Time) {
	t.Helper()
	q := NewQueue(start, func(*Ticket) {}, nil)
	q.Announce(start, announcement(protocol.Warm, slots))
	now := start
	for range 20 {
		var running []*Ticket
		for range slots {
			ticket := newTicket(now, "obala", version.Normal)
			q.Offer(now, ticket)
			if ticket.Phase == Running {
				running = append(running, ticket)
			}
		}
		now = now.Add(time.Millisecond)
		for _, ticket := range running {
			q.Done(now, ticket, Result{Took: time.Millisecond})
		}
		now = drain(q, now)
	}
	must.False(t, q.Cold())
	must.Eq(t, slots, q.Limit())
	return q, now
}

// drain completes all running tickets, one millisecond later.
func drain(q *Queue, now time.Time) time.Time {
	for q.InFlight() > 0 {
		now = now.Add(time.Millisecond)
		for n := q.InFlight(); n > 0; n-- {
			q.Done(now, q.working.oldest, Result{Took: time.Millisecond})
		}
	}
	return now
}

func TestQueueShedsLeastImportantFirst(t *testing.T) {
	q, now := warmQueue(t, 4)
	now = now.Add(levelWindow)
	q.Level(now)
	var all []*Ticket
	offer := func(i version.Importance, n int) {
		for range n {
			ticket := newTicket(now, "obala", i)
			q.Offer(now, ticket)
			all = append(all, ticket)
		}
	}
	offer(version.Normal, 4)
	offer(version.Low, 8)
	offer(version.Normal, 8)
	offer(version.Critical, 8)
	offer(version.High, 8)
	offer(version.Low, 1)
	rejected := make(map[version.Importance]int)
	for _, ticket := range all {
		if ticket.Phase == Rejected {
			must.Eq(t, fault.Overloaded, ticket.Kind)
			rejected[ticket.Importance]++
		}
	}
	must.Eq(t, 16, q.Waiting())
	must.MapEq(t, map[version.Importance]int{version.Low: 9, version.Normal: 8}, rejected)

	level := q.Level(now.Add(levelWindow))
	must.Eq(t, version.Low, level.Importance)
	must.Less(t, envelope.CohortCount, level.Cohort)
}

func TestQueueServesTeamsFairly(t *testing.T) {
	q, now := warmQueue(t, 2)
	served := make(map[string]int)
	q.onDecision = func(ticket *Ticket) {
		if ticket.Phase == Running {
			served[ticket.Team]++
		}
	}
	for range 400 {
		for range 5 {
			q.Offer(now, newTicket(now, "large", version.Normal))
		}
		q.Offer(now, newTicket(now, "small", version.Normal))
		for range 2 {
			q.Offer(now, &Ticket{Team: "heavy", Weight: 2, Importance: version.Normal, Deadline: now.Add(time.Second)})
		}
		now = now.Add(time.Millisecond)
		for n := q.InFlight(); n > 0; n-- {
			q.Done(now, q.working.oldest, Result{Took: time.Millisecond})
		}
	}
	total := float64(served["large"] + served["small"] + served["heavy"])
	must.GreaterEq(t, 0.95*total/4, float64(served["small"]))
	must.GreaterEq(t, 0.95*total/2, float64(served["heavy"]))
}

// TestQueueInvariants runs random sequences of offers, completions, expiries
// and announcements. The target must never exceed its limit, a leaving target
// must get nothing, and each ticket must be decided at most once.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		decisions := make(map[*Ticket]int)
		var q *Queue
		q = NewQueue(now, func(ticket *Ticket) {
			decisions[ticket]++
			if ticket.Phase == Running && q.inFlight > q.Limit() {
				t.Fatalf("%d in flight with limit %d", q.inFlight, q.Limit())
			}
		}, nil)
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		q.Announce(now, announcement(protocol.Warm, slots))
		var live []*Ticket
		pick := func() *Ticket { return live[rapid.IntRange(0, len(live)-1).Draw(t, "ticket")] }
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				ticket := newTicket(now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
					version.Importance(rapid.IntRange(1, 4).Draw(t, "importance")))
				before := q.inFlight
				q.Offer(now, ticket)
				live = append(live, ticket)
				if ticket.Phase == Running && (before >= q.Limit() || q.leaving) {
					t.Fatalf("a ticket was dispatched with %d in flight, limit %d, leaving %v", before, q.Limit(), q.leaving)
				}
			},
			"time": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond) },
			"done": func(t *rapid.T) {
				if len(live) > 0 {
					reset := rapid.IntRange(0, 9).Draw(t, "reset") == 0
					q.Done(now, pick(), Result{Took: time.Millisecond, Reset: reset, Failed: reset})
				}
			},
			"calling": func(t *rapid.T) {
				if len(live) > 0 {
					q.OutgoingCall(now, pick(), rapid.Bool().Draw(t, "began"))
				}
			},
			"expire": func(*rapid.T) {
				if len(live) > 0 {
					q.Expire(now, pick())
				}
			},
			"announce": func(t *rapid.T) {
				state := rapid.SampledFrom([]protocol.TargetState{protocol.Warm, protocol.Cold, protocol.Leaving}).Draw(t, "state")
				q.Announce(now, announcement(state, slots))
			},
			"": func(t *rapid.T) { checkQueue(t, q, live, decisions, slots) },
		})
	})
}

// checkQueue compares the counts of the queue with the phases of the live
// tickets.
func checkQueue(t *rapid.T, q *Queue, live []*Ticket, decisions map[*Ticket]int, slots int) {
	waiting, running := 0, 0
	for _, ticket := range live {
		waiting += btoi(ticket.Phase == Waiting)
		running += btoi(ticket.Phase == Running)
		if decisions[ticket] > 1 {
			t.Fatalf("a ticket was decided %d times", decisions[ticket])
		}
	}
	if waiting != q.Waiting() || running != q.InFlight() || running > slots {
		t.Fatalf("the queue counts %d waiting tickets instead of %d; it counts %d in flight instead of %d", q.Waiting(), waiting, q.InFlight(), running)
	}
	if q.leaving && waiting > 0 {
		t.Fatalf("%d tickets wait for a leaving target", waiting)
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func TestQueueRejectsWhatCannotFinish(t *testing.T) {
	q, now := warmQueue(t, 2)
	late := &Ticket{Importance: version.Critical, Deadline: now.Add(time.Millisecond / 2)}
	q.Offer(now, late)
	must.Eq(t, Rejected, late.Phase)
	must.Eq(t, fault.DeadlineNotRun, late.Kind)
	for range 10 {
		q.Offer(now, newTicket(now, "obala", version.Normal))
	}
	tight := &Ticket{Team: "obala", Importance: version.Normal, Deadline: now.Add(4 * time.Millisecond)}
	q.Offer(now, tight)
	must.Eq(t, Rejected, tight.Phase)
	must.Eq(t, fault.Overloaded, tight.Kind)
}
