package limiter

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestRateLimitIsExceededInAWindow guards against more starts in some window than the
// rate and the burst allow, whatever the pattern of arrivals.
func TestRateLimitIsExceededInAWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(MinRate, 200).Draw(t, "rate")
		start := time.Unix(1, 0)
		now := start
		l := New(1000)
		l.SetRate(now, perSecond)
		started := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			_, waiting, _ := l.Load()
			l.Dispatch(now)
			_, left, _ := l.Load()
			started += waiting - left
			if _, decision := l.Offer(now, Request{ObjectiveRemaining: time.Hour}); decision == Run {
				started++
			}
			must.LessEq(t, perSecond*now.Sub(start).Seconds()+RateBurst, float64(started))
		}
	})
}

// TestWaitingForTheRateIsShort checks that a request which would wait long for the
// rate limit is rejected, that others are dispatched once NextDispatch has passed, and
// that nothing waits after the limit is gone.
func TestWaitingForTheRateIsShort(t *testing.T) {
	now := time.Unix(1, 0)
	l := New(slots)
	l.SetRate(now, 10)
	request := Request{ObjectiveRemaining: time.Minute}
	first, decision := l.Offer(now, request)
	must.Eq(t, Wait, decision)
	_, decision = l.Offer(now, request)
	must.Eq(t, Wait, decision)
	_, decision = l.Offer(now, request)
	must.Eq(t, Reject, decision, must.Sprint("300 ms until the third token"))
	wait, ok := l.NextDispatch()
	must.True(t, ok)
	l.Dispatch(now.Add(wait))
	<-first.Ready
	must.Eq(t, 10, int(l.Rate()))
	l.SetRate(now, 0)
	l.Dispatch(now.Add(wait))
	running, waiting, _ := l.Load()
	must.Eq(t, 2, running)
	must.Eq(t, 0, waiting)
}
