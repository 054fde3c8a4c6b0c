package control_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// teamNote adds team t. teamRate (tokens per second) and teamBurst (tokens) are
	// the limit in it.
	teamNote  = "number: 1\nadded:\n  teams: [{name: t, rate: 50, burst: 20}]\n"
	teamRate  = 50.0
	teamBurst = 20.0
	// takesPerSecond is the load of one daemon. All daemons together exceed
	// teamRate.
	takesPerSecond = 30
)

// takenTokens records when each token was taken.
type takenTokens struct {
	mu    sync.Mutex
	times []time.Time
}

func (taken *takenTokens) add(at time.Time) {
	taken.mu.Lock()
	defer taken.mu.Unlock()
	taken.times = append(taken.times, at)
}

// generateLoad takes tokens at a daemon until ctx ends. A restarted daemon
// has another quota holder, so the holder is read again before each take.
func (taken *takenTokens) generateLoad(ctx context.Context, d *daemonProcess, team string) {
	for ctx.Err() == nil {
		if d.run.Load().quota.Take(ctx, team) == nil {
			taken.add(time.Now())
		}
		time.Sleep(time.Second / takesPerSecond)
	}
}

// excess returns the largest number of tokens by which any window exceeds
// rate * window + burst, or 0.
func (taken *takenTokens) excess() float64 {
	taken.mu.Lock()
	defer taken.mu.Unlock()
	worst := 0.0
	for i, first := range taken.times {
		for j := i; j < len(taken.times); j++ {
			window := taken.times[j].Sub(first).Seconds()
			worst = max(worst, float64(j-i+1)-teamRate*window-teamBurst)
		}
	}
	return worst
}

// TestQuotaUnderFaults guards against tokens beyond a team's limit. All daemons
// together may take at most rate * window + burst tokens in any window of time,
// also across leader changes, lost replies, frozen replicas and restarts.
func TestQuotaUnderFaults(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 2))
		c := newCluster(t, seed)
		_, err := c.apply(teamNote)
		must.NoError(t, err)
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		var taken takenTokens
		var wg sync.WaitGroup
		for _, d := range c.daemons {
			wg.Go(func() { taken.generateLoad(ctx, d, "t") })
		}
		for range 4 {
			fault := injectFault(c, random)
			t.Logf("seed %d: %s %s", seed, fault.name, fault.victim)
			time.Sleep(time.Duration(500+random.IntN(3000)) * time.Millisecond)
			fault.heal()
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		}
		cancel()
		wg.Wait()
		must.Positive(t, len(taken.times))
		must.LessEq(t, 0.0, taken.excess())
	})
}
