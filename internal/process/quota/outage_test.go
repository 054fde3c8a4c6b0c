package quota

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// loadTest sends requests of one team through several holders. Some of the holders
// can be isolated from the issuer.
type loadTest struct {
	issuer *Issuer
	team   version.Team
	// daemons is the number of daemons that share the rate.
	daemons int
	// renewals is true if the holders renew. Without renewals no holder has a standing
	// rate.
	renewals bool
	// substitute, if set, is that of the replica to which all isolated daemons and no
	// others send their requests.
	substitute *Substitute
	behind     map[int]bool
	mu         sync.Mutex
	isolated   map[int]bool
	admitted   []time.Time
	// rejectedAfter holds how long each rejected request waited.
	rejectedAfter []time.Duration
}

func (lt *loadTest) isIsolated(i int) bool {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	return lt.isolated[i]
}

func (lt *loadTest) isBehind(i int) bool {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	return lt.behind[i]
}

// putBehind makes a substitute serve the first n daemons.
func (lt *loadTest) putBehind(s *Substitute, n int) {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	lt.substitute = s
	lt.behind = make(map[int]bool)
	for i := range n {
		lt.behind[i] = true
	}
}

func (lt *loadTest) isolate(daemons ...int) {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	lt.isolated = make(map[int]bool)
	for _, i := range daemons {
		lt.isolated[i] = true
	}
}

func (lt *loadTest) admittedCount() int {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	return len(lt.admitted)
}

// stop ends the holders and waits until all pending requests have returned.
func (lt *loadTest) stop(cancel func()) {
	cancel()
	time.Sleep(time.Minute)
}

func (lt *loadTest) holder(ctx context.Context, i int) *Holder {
	h := NewHolder(time.Now, func(ctx context.Context, requests []protocol.QuotaRequest) ([]protocol.QuotaGrant, time.Time, error) {
		sentAt := time.Now()
		if lt.isIsolated(i) && !lt.isBehind(i) {
			<-ctx.Done()
			return nil, sentAt, fault.New(fault.QuotaUnavailable, "cut off")
		}
		return lt.grant(i, requests), sentAt, nil
	})
	h.EnableOutageFallback(15*time.Second, func(string) float64 { return lt.team.Rate / float64(lt.daemons) })
	go func() { _ = h.Run(ctx) }()
	if lt.renewals {
		go lt.renew(ctx, h, i)
	}
	return h
}

func (lt *loadTest) grant(i int, requests []protocol.QuotaRequest) []protocol.QuotaGrant {
	lt.mu.Lock()
	issuer := lt.issuer
	lt.mu.Unlock()
	name := string(rune('a'+i)) + "/1"
	var grants []protocol.QuotaGrant
	for _, request := range requests {
		if !lt.isIsolated(i) {
			grants = append(grants, issuer.Grant(time.Now(), name, request, lt.team))
		}
	}
	if lt.isBehind(i) {
		return lt.substitute.Complete(time.Now(), name, requests, grants, func(string) float64 { return lt.team.Rate / 5 })
	}
	return grants
}

// renew sends the token requests of renewals until ctx ends.
func (lt *loadTest) renew(ctx context.Context, h *Holder, i int) {
	for ctx.Err() == nil {
		sentAt := time.Now()
		requests := h.TokenRequests(sentAt)
		if !lt.isIsolated(i) || lt.isBehind(i) {
			h.ApplyGrants(sentAt, lt.grant(i, requests))
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// replaceIssuer replaces the issuer by one that knows nothing of the earlier grants.
func (lt *loadTest) replaceIssuer() {
	issuer := NewIssuer()
	issuer.Reset(time.Now())
	lt.mu.Lock()
	defer lt.mu.Unlock()
	lt.issuer = issuer
}

// limitWindow is the time over which the limit of a team is judged.
const limitWindow = 5 * time.Second

// mostInAWindow returns the highest number of requests that were admitted in any
// limitWindow.
func (lt *loadTest) mostInAWindow() int {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	most, first := 0, 0
	for i, at := range lt.admitted {
		for at.Sub(lt.admitted[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// run sends requests through each holder at perHolder requests per second for d.
// It returns how many were sent and how many were admitted.
func (lt *loadTest) run(holders []*Holder, perHolder float64, d time.Duration) (sent, admitted int) {
	end := time.Now().Add(d)
	pause := time.Duration(float64(time.Second) / perHolder)
	done := make(chan int)
	for _, h := range holders {
		go func() {
			n := 0
			for time.Now().Before(end) {
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				go func() {
					defer cancel()
					began := time.Now()
					err := h.Take(ctx, lt.team.Name)
					lt.mu.Lock()
					defer lt.mu.Unlock()
					if err == nil {
						lt.admitted = append(lt.admitted, time.Now())
					} else {
						lt.rejectedAfter = append(lt.rejectedAfter, time.Since(began))
					}
				}()
				n++
				time.Sleep(pause)
			}
			done <- n
		}()
	}
	before := lt.admittedCount()
	for range holders {
		sent += <-done
	}
	return sent, lt.admittedCount() - before
}

// TestTeamOutlastsAnOutage guards against rejecting every request of a team that
// is below its limit while no issuer replies.
func TestTeamOutlastsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		lt := &loadTest{issuer: NewIssuer(), team: version.Team{Name: "a", Rate: 80, Burst: 80}, daemons: 4}
		lt.issuer.Reset(time.Now().Add(-time.Hour))
		var holders []*Holder
		for i := range 4 {
			holders = append(holders, lt.holder(ctx, i))
		}
		lt.run(holders, 12, 5*time.Second)
		lt.isolate(0, 1, 2, 3)
		sent, admitted := lt.run(holders, 12, 5*time.Second)
		lt.stop(cancel)
		must.Greater(t, float64(sent)*outageShare*0.8, float64(admitted))
	})
}

// TestOutageKeepsTheLimit guards against spending far above the limit during an
// outage. The team sends eight times its rate while a third of the daemons have lost
// the issuer. Then the issuer replies to these daemons again, and another third lose
// it. In any window of five seconds, at most 10 % plus 20 requests above rate and
// burst may be admitted.
func TestOutageKeepsTheLimit(t *testing.T) {
	for _, rate := range []float64{20, 80, 240} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			lt := &loadTest{issuer: NewIssuer(), team: version.Team{Name: "a", Rate: rate, Burst: rate}, daemons: 6}
			lt.issuer.Reset(time.Now().Add(-time.Hour))
			var holders []*Holder
			for i := range 6 {
				holders = append(holders, lt.holder(ctx, i))
			}
			lt.run(holders, rate*0.6/6, 6*time.Second)
			lt.isolate(0, 1)
			lt.run(holders, rate*8/6, 6*time.Second)
			lt.isolate(2, 3)
			lt.run(holders, rate*8/6, 6*time.Second)
			lt.stop(cancel)
			lt.mu.Lock()
			defer lt.mu.Unlock()
			const window = 5 * time.Second
			limit := (rate*window.Seconds()+rate)*1.1 + 20
			for i := range lt.admitted {
				n := 0
				for _, at := range lt.admitted[i:] {
					if at.Sub(lt.admitted[i]) < window {
						n++
					}
				}
				must.LessEq(t, int(limit), n)
			}
		})
	}
}

// TestRestartedDaemonsWithoutAnIssuer guards against rejecting every request after
// all processes have ended at once, and the daemons are up again before an issuer.
// The holders then have no earlier spending rate.
func TestRestartedDaemonsWithoutAnIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		lt := &loadTest{issuer: NewIssuer(), team: version.Team{Name: "a", Rate: 80, Burst: 80}, daemons: 4}
		lt.isolate(0, 1, 2, 3)
		var holders []*Holder
		for i := range 4 {
			holders = append(holders, lt.holder(ctx, i))
		}
		_, admitted := lt.run(holders, 40, 5*time.Second)
		lt.stop(cancel)
		must.Greater(t, int(80*fairShare*4), admitted)
		must.Less(t, 80*5, admitted)
	})
}

// TestSubstituteGrantsNothingToAWithdrawnTeam checks that a team without a rate gets no
// tokens, however much it spent before.
func TestSubstituteGrantsNothingToAWithdrawnTeam(t *testing.T) {
	s := NewSubstitute(time.Minute)
	request := []protocol.QuotaRequest{{Team: "a", Sequence: 1, Want: 1, Waiting: 1, Immediate: 1}}
	rate := 100.0
	complete := func(grants ...protocol.QuotaGrant) protocol.QuotaGrant {
		return s.Complete(epoch, "one/1", request, grants, func(string) float64 { return rate })[0]
	}
	must.Eq(t, 50, complete(protocol.QuotaGrant{Team: "a", Tokens: 50}).Tokens)
	must.Eq(t, 1, complete().Immediate)
	rate = 0
	g := complete()
	must.Eq(t, 0, g.Immediate+g.Tokens)
	must.True(t, g.AtLimit)
}
