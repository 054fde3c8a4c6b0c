package quota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/version"
)

// renewingLoad returns a loadTest of a team whose holders renew, and its holders.
func renewingLoad(ctx context.Context, rate float64, daemons int) (*loadTest, []*Holder) {
	lt := &loadTest{issuer: NewIssuer(), team: version.Team{Name: "a", Rate: rate, Burst: rate}, daemons: daemons, renewals: true}
	lt.issuer.Reset(time.Now().Add(-time.Hour))
	var holders []*Holder
	for i := range daemons {
		holders = append(holders, lt.holder(ctx, i))
	}
	return lt, holders
}

// all returns the numbers of all daemons of a loadTest.
func (lt *loadTest) all() []int {
	numbers := make([]int, lt.daemons)
	for i := range numbers {
		numbers[i] = i
	}
	return numbers
}

// TestTeamWithinItsRateLosesNothingWithoutAnIssuer replays a surge while no issuer
// replies: the team spends six tenths of its rate, then all daemons lose the issuer, and
// the team sends half as much again for as long as standing rates apply.
func TestTeamWithinItsRateLosesNothingWithoutAnIssuer(t *testing.T) {
	for _, rate := range []float64{40, 80, 240} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			lt, holders := renewingLoad(ctx, rate, 8)
			lt.run(holders, rate*0.6/8, 6*time.Second)
			lt.isolate(lt.all()...)
			sent, admitted := lt.run(holders, rate*0.9/8, maxStandingOutage)
			lt.stop(cancel)
			must.Greater(t, 0.95*float64(sent), float64(admitted))
		})
	}
}

// TestLimitHoldsBesideStandingRates sends eight times the rate of a team while some of its
// daemons spend at their standing rates and an issuer serves the others: the same issuer,
// a new one, and one that also replaces another while more daemons are cut off. In any
// window of five seconds, at most a tenth and 20 above rate and burst may be admitted.
func TestLimitHoldsBesideStandingRates(t *testing.T) {
	for _, rate := range []float64{20, 80, 240} {
		for name, replace := range map[string]bool{"same issuer": false, "new issuer": true} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				lt, holders := renewingLoad(ctx, rate, 6)
				lt.run(holders, rate*0.6/6, 6*time.Second)
				lt.isolate(0, 1)
				if replace {
					lt.replaceIssuer()
				}
				lt.run(holders, rate*8/6, 6*time.Second)
				lt.isolate(2, 3)
				if replace {
					lt.replaceIssuer()
				}
				lt.run(holders, rate*8/6, 6*time.Second)
				lt.isolate()
				lt.run(holders, rate*8/6, 6*time.Second)
				lt.stop(cancel)
				limit := (rate*5+rate)*1.1 + 20
				must.LessEq(t, int(limit), lt.mostInAWindow(), must.Sprintf("%s, rate %g", name, rate))
			})
		}
	}
}

// TestLimitHoldsForATeamAtItsLimit replays a team that sends eight times its rate before and
// while some of its daemons are cut off, in turn and for a short time each.
func TestLimitHoldsForATeamAtItsLimit(t *testing.T) {
	for _, rate := range []float64{20, 80, 240} {
		for _, daemons := range []int{6, 16} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				lt, holders := renewingLoad(ctx, rate, daemons)
				each := rate * 8 / float64(daemons)
				lt.run(holders, each, 6*time.Second)
				for n := range 3 {
					cut := lt.all()[n*daemons/3 : (n+1)*daemons/3]
					lt.isolate(cut...)
					lt.run(holders, each, 5*time.Second)
					lt.isolate()
					lt.run(holders, each, time.Second)
				}
				lt.stop(cancel)
				limit := (rate*5+rate)*1.1 + 20
				must.LessEq(t, int(limit), lt.mostInAWindow(), must.Sprintf("rate %g, %d daemons", rate, daemons))
			})
		}
	}
}

// TestLimitHoldsBehindAReplicaThatIsCutOff replays a team that sends eight times its rate
// while a replica, and the daemons that use it, are cut off from the issuer.
func TestLimitHoldsBehindAReplicaThatIsCutOff(t *testing.T) {
	const daemons = 20
	for _, rate := range []float64{40, 230} {
		for _, behind := range []int{4, 8, 10} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				lt, holders := renewingLoad(ctx, rate, daemons)
				lt.putBehind(NewSubstitute(15*time.Second), behind)
				lt.run(holders, rate*0.7/daemons, 6*time.Second)
				lt.run(holders, rate*8/daemons, time.Second)
				lt.isolate(lt.all()[:behind]...)
				lt.run(holders, rate*8/daemons, 5*time.Second)
				lt.isolate()
				lt.run(holders, rate*8/daemons, 2*time.Second)
				lt.stop(cancel)
				limit := (rate*5+rate)*1.1 + 20
				t.Logf("rate %g, %d behind: at most %d, %d allowed", rate, behind, lt.mostInAWindow(), int(limit))
				must.LessEq(t, int(limit), lt.mostInAWindow())
			})
		}
	}
}

// TestEndedDaemonsTakeLittleOfTheRate replays daemons that end: what the issuer keeps for
// them, in case that they are cut off, must not be missing once they are back.
func TestEndedDaemonsTakeLittleOfTheRate(t *testing.T) {
	b := newBucket(epoch, version.Team{Name: "a", Rate: 100, Burst: 100})
	now := epoch
	team := version.Team{Name: "a", Rate: 100, Burst: 100}
	renew := func(holder string, sequence, spent uint64) float64 {
		request := protocol.QuotaRequest{Team: "a", Sequence: sequence, Spent: spent, Renewal: true}
		b.advance(now, team)
		must.True(t, b.reconcile(now, holder, request))
		var g protocol.QuotaGrant
		b.grant(holder, request, TokenTTL, &g)
		return g.Standing
	}
	for n := range uint64(20) {
		now = now.Add(500 * time.Millisecond)
		renew("one/a", n+1, 20*n)
		renew("two/a", n+1, 20*n)
	}
	must.Between(t, 45, renew("one/a", 21, 400), 55)
	for n := range uint64(4) {
		now = now.Add(500 * time.Millisecond)
		renew("one/a", 22+n, 400)
	}
	must.Between(t, 25, b.silentRate(now), 40, must.Sprint("the other one may be spending 50, less what it may spend anyway"))
	now = now.Add(time.Second)
	renew("two/b", 1, 0)
	must.Eq(t, 0, b.silentRate(now.Add(unfilledTTL)), must.Sprint("it has restarted"))
}
