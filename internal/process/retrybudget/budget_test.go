package retrybudget

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestAllProcessesTogether checks that retries stay within the ratio and the
// slack in every window, including the calls they cause, when all processes
// retry every request of a failing service.
func TestAllProcessesTogether(t *testing.T) {
	const processes, requestsPerSecond, callsPerRetry = 16, 20, 4
	o := Options{Ratio: 0.2, Window: 10 * time.Second, Slack: 49, Processes: func() int { return processes }}
	var budgets []*Budget
	for range processes {
		budgets = append(budgets, New(o))
	}
	start := time.Unix(1, 0)
	var retries []time.Time
	for now := start; now.Sub(start) < time.Minute; now = now.Add(time.Second / requestsPerSecond) {
		for _, b := range budgets {
			b.CountRequest(now, "s")
			if b.Take(now, "s") {
				retries = append(retries, now)
			}
		}
	}
	limit := o.Ratio*processes*requestsPerSecond*o.Window.Seconds() + o.Slack
	for i := range retries {
		n := 0
		for _, at := range retries[i:] {
			if at.Sub(retries[i]) < o.Window {
				n++
			}
		}
		must.LessEq(t, limit, float64(n*callsPerRetry))
	}
	must.Greater(t, 100, len(retries))
}

func TestUnusedRetryTokensAreBounded(t *testing.T) {
	b := New(Options{Ratio: 0.2, Window: 10 * time.Second, Slack: 16, Processes: func() int { return 1 }})
	now := time.Unix(1, 0)
	b.CountRequest(now, "s")
	now = now.Add(time.Hour)
	n := 0
	for b.Take(now, "s") {
		n++
	}
	must.Eq(t, 1, n)
}
