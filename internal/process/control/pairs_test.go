package control_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

var pairCount = flag.Int("pairs", 12, "number of seeds of the schedules with two faults at once")

// injectFaultPair injects two faults on different processes, the second while the
// first is active. The data directories of two replicas are never lost at once.
func injectFaultPair(c *cluster, random *rand.Rand) [2]activeFault {
	v := drawVictims(c, random)
	other := victims{v.other, v.replica, c.daemons[0]}
	if other.daemon == v.daemon {
		other.daemon = c.daemons[1]
	}
	kind := random.IntN(len(faults))
	first := faults[kind](c, v)
	time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	kinds := len(faults)
	if first.losesData {
		kinds--
	}
	return [2]activeFault{first, faults[random.IntN(kinds)](c, other)}
}

// healBoth heals two faults. A lost data directory is healed last, since the
// admission of its replacement needs a quorum.
func healBoth(pair [2]activeFault) {
	if pair[0].losesData {
		pair[0], pair[1] = pair[1], pair[0]
	}
	pair[0].heal()
	pair[1].heal()
}

// TestTwoFailuresAtOnce guards against errors that appear only while two faults
// overlap. Operators race, teams use up their quota and callers repeat once
// requests meanwhile. It checks the invariants of the configuration, quota and once
// tests.
func TestTwoFailuresAtOnce(t *testing.T) {
	for i := range *pairCount {
		seed := uint64(i + 1)
		if *oneSeed != 0 && seed != *oneSeed {
			continue
		}
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { twoFailures(t, seed) })
		})
	}
}

func twoFailures(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 6))
	c := newCluster(t, seed)
	f, o, taken := newFreshnessChecker(c), newOnceHistory(), new(takenTokens)
	_, err := c.apply(pairsNote)
	must.NoError(t, err)
	time.Sleep(3 * time.Second)

	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.run(ctx.Done()) })
	var digests map[uint64]string
	wg.Go(func() { digests = runOperators(c, f, 2, ctx.Done()) })
	for i, d := range c.daemons {
		wg.Go(func() { taken.generateLoad(ctx, d, "q") })
		wg.Go(func() { o.generateLoad(c, i, ctx.Done(), seed) })
	}
	pair := injectFaultPair(c, random)
	t.Logf("seed %d: %s %s, %s %s", seed, pair[0].name, pair[0].victim, pair[1].name, pair[1].victim)
	time.Sleep(time.Duration(1000+random.IntN(3500)) * time.Millisecond)
	healBoth(pair)
	time.Sleep(3 * time.Second)
	cancel()
	wg.Wait()
	o.wg.Wait()
	checkConverged(t, c, digests)
	must.Nil(t, f.violations)
	must.Nil(t, o.violations)
	must.LessEq(t, 0.0, taken.excess())
}

// pairsNote adds team q, whose quota is used, and team t, which the following
// notes change.
const pairsNote = "number: 1\nadded:\n  teams: [{name: q, rate: 50, burst: 20}, {name: t, rate: 50, burst: 20}]\n"
