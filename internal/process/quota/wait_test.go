package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// What docs/OPERATIONS.md states of waits for tokens.
const (
	statedLongestWait   = 500 * time.Millisecond
	statedRefillWait    = 450 * time.Millisecond
	statedHopelessTTL   = 200 * time.Millisecond
	statedReportWait    = 150 * time.Millisecond
	statedWaitersAtOnce = 4
)

// refillingIn returns a RequestFunc of an issuer that reports the team as at its limit,
// with this wait, and grants a token to each waiting request from grantAfter on.
func refillingIn(wait, grantAfter time.Duration) RequestFunc {
	began := time.Now()
	return func(_ context.Context, requests []protocol.QuotaRequest) ([]protocol.QuotaGrant, time.Time, error) {
		sentAt := time.Now()
		time.Sleep(2 * oneWay)
		var grants []protocol.QuotaGrant
		for _, r := range requests {
			g := protocol.QuotaGrant{Team: r.Team, Sequence: r.Sequence, AtLimit: true, Wait: wait}
			if time.Since(began) >= grantAfter {
				g = protocol.QuotaGrant{Team: r.Team, Sequence: r.Sequence, Immediate: r.Immediate, ImmediateTTL: immediateTTL}
			}
			grants = append(grants, g)
		}
		return grants, sentAt, nil
	}
}

// timedTake takes a token and returns how long that took.
func timedTake(ctx context.Context, h *Holder) (time.Duration, error) {
	began := time.Now()
	err := h.Take(ctx, "a")
	return time.Since(began), err
}

// TestRequestAtTheLimitWaitsOnlyForAShortRefill checks how long a request of a team at its
// limit waits, and when it is rejected at once.
func TestRequestAtTheLimitWaitsOnlyForAShortRefill(t *testing.T) {
	const roundTrip, never = 2 * oneWay, time.Hour
	for _, c := range []struct {
		name             string
		wait, grantAfter time.Duration
		limit            time.Duration // of the request
		want             fault.Kind
		least, most      time.Duration
	}{
		{"a token comes", 400 * time.Millisecond, 400 * time.Millisecond, never, "", 400 * time.Millisecond, statedRefillWait + roundTrip},
		{"no token comes", statedRefillWait, never, never, fault.QuotaExceeded, statedRefillWait, statedLongestWait},
		{"the refill takes too long", statedRefillWait + 1, never, never, fault.QuotaExceeded, 0, roundTrip},
		{"the refill is not known", 0, never, never, fault.QuotaExceeded, statedReportWait, statedReportWait + recheckInterval},
		{"the request ends", statedRefillWait, never, 100 * time.Millisecond, fault.QuotaUnavailable, 0, 100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, stop := runHolder(t, refillingIn(c.wait, c.grantAfter))
				defer stop()
				ctx, cancel := context.WithTimeout(t.Context(), c.limit)
				defer cancel()
				took, err := timedTake(ctx, h)
				must.Eq(t, c.want, fault.KindOf(err))
				must.Between(t, c.least, took, c.most)
			})
		})
	}
}

// TestRequestWithoutAnIssuerWaitsBriefly checks how long a request waits while no issuer
// replies: a daemon that goes on during an outage knows it after 150 ms, any other one
// waits for the reply.
func TestRequestWithoutAnIssuerWaitsBriefly(t *testing.T) {
	silent := func(ctx context.Context, _ []protocol.QuotaRequest) ([]protocol.QuotaGrant, time.Time, error) {
		<-ctx.Done()
		return nil, time.Now(), ctx.Err()
	}
	for fallback, most := range map[bool]time.Duration{true: statedReportWait + 2*recheckInterval, false: statedLongestWait} {
		synctest.Test(t, func(t *testing.T) {
			h, stop := runHolder(t, silent)
			defer stop()
			if fallback {
				h.EnableOutageFallback(time.Minute, func(string) float64 { return 0.01 })
			}
			took, err := timedTake(t.Context(), h)
			must.Eq(t, fault.QuotaUnavailable, fault.KindOf(err))
			must.Between(t, statedReportWait, took, most)
		})
	}
}

// TestLaterRequestsAtTheLimitAreRejectedWithoutWaiting guards against asking the issuer for
// each request of a team far above its limit: after a report no request waits for 200 ms.
// Later ones wait for the next report, 150 ms at most.
func TestLaterRequestsAtTheLimitAreRejectedWithoutWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, stop := runHolder(t, refillingIn(2*time.Second, time.Hour))
		defer stop()
		_, err := timedTake(t.Context(), h)
		must.Eq(t, fault.QuotaExceeded, fault.KindOf(err))
		time.Sleep(statedHopelessTTL - 1)
		took, err := timedTake(t.Context(), h)
		must.Eq(t, fault.QuotaExceeded, fault.KindOf(err))
		must.Eq(t, 0, took)
		time.Sleep(2 * statedHopelessTTL)
		took, err = timedTake(t.Context(), h)
		must.Eq(t, fault.QuotaExceeded, fault.KindOf(err))
		must.Between(t, 1, took, statedReportWait)
	})
}

// TestFewRequestsWaitAtTheLimit guards against many waiting requests of a team: the fifth
// one on a daemon is rejected at once, and after four rejections only one goes on waiting.
func TestFewRequestsWaitAtTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, stop := runHolder(t, refillingIn(statedRefillWait, time.Hour))
		defer stop()
		var ended atomic.Int64
		for range statedWaitersAtOnce {
			go func() {
				_ = h.Take(t.Context(), "a")
				ended.Add(1)
			}()
		}
		time.Sleep(recheckInterval + recheckInterval/2)
		took, err := timedTake(t.Context(), h)
		must.Eq(t, fault.QuotaExceeded, fault.KindOf(err))
		must.Eq(t, 0, took)
		must.Eq(t, 0, ended.Load())
		for range statedWaitersAtOnce - 1 {
			_ = h.Take(t.Context(), "a")
		}
		time.Sleep(recheckInterval)
		must.GreaterEq(t, statedWaitersAtOnce-1, ended.Load(), must.Sprint("one may wait while many are rejected"))
		time.Sleep(statedLongestWait)
	})
}

// TestSequentialCallerIsPaced checks what callers get that send their next request after
// each response: from three requests a second on, one caller is paced to the rate and sees
// no rejection, as are several while the refill covers all of them. Where a token takes
// too long, they are rejected at once.
func TestSequentialCallerIsPaced(t *testing.T) {
	const sendFor = 20 * time.Second
	for _, c := range []struct {
		rate    float64
		callers int
		paced   bool
	}{{2, 1, false}, {3, 1, true}, {5, 1, true}, {5, 4, false}, {20, 4, true}} {
		synctest.Test(t, func(t *testing.T) {
			lt := &loadTest{issuer: NewIssuer(), team: version.Team{Name: "a", Rate: c.rate, Burst: 10}, daemons: 1}
			lt.issuer.Reset(time.Now().Add(-time.Hour))
			ctx, cancel := context.WithCancel(t.Context())
			h := lt.holder(ctx, 0)
			h.SetPacing(PlainPacing)
			var admitted, rejected atomic.Int64
			var callers sync.WaitGroup
			for range c.callers {
				callers.Go(func() { sendInSequence(ctx, t, h, sendFor, &admitted, &rejected) })
			}
			callers.Wait()
			lt.stop(cancel)
			allowed := 10 + c.rate*sendFor.Seconds()
			must.Between(t, 0.95*allowed, float64(admitted.Load()), allowed+float64(c.callers))
			must.Eq(t, c.paced, rejected.Load() == 0, must.Sprintf("rate %v: %d rejected", c.rate, rejected.Load()))
		})
	}
}

// sendInSequence takes one token after the other and counts the results.
func sendInSequence(ctx context.Context, t *testing.T, h *Holder, sendFor time.Duration, admitted, rejected *atomic.Int64) {
	for began := time.Now(); time.Since(began) < sendFor; time.Sleep(time.Millisecond) {
		took, err := timedTake(ctx, h)
		if err == nil {
			admitted.Add(1)
			continue
		}
		rejected.Add(1)
		if !fault.Is(err, fault.QuotaExceeded) || took > statedLongestWait {
			t.Errorf("rejected after %v: %v", took, err)
		}
	}
}

// runHolder returns a running holder on plain links. stop ends it.
func runHolder(t *testing.T, request RequestFunc) (h *Holder, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	h = NewHolder(time.Now, request)
	h.SetPacing(PlainPacing)
	go func() { _ = h.Run(ctx) }()
	return h, func() {
		cancel()
		time.Sleep(requestTimeout)
	}
}
