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
	teamNote  = "number: 1\nadded:\n  teams: [{name: t, rate: 50, burst: 20}]\n"
	teamRate  = 50.0
	teamBurst = 20.0
	// callsPerDaemon is the load of one daemon in requests a second; all
	// together ask for more than the rate.
	callsPerDaemon = 30
)

// takes records when a token was taken.
type takes struct {
	mu    sync.Mutex
	times []time.Time
}

func (r *takes) add(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times = append(r.times, at)
}

// load takes tokens at a daemon until ctx ends. A restarted daemon has another
// holder, so it is read anew each time.
func (r *takes) load(ctx context.Context, d *daemonProcess, team string) {
	for ctx.Err() == nil {
		if d.life.Load().quota.Take(ctx, team) == nil {
			r.add(time.Now())
		}
		time.Sleep(time.Second / callsPerDaemon)
	}
}

// excess returns by how much the fullest window exceeds rate * window + burst.
func (r *takes) excess() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	worst := 0.0
	for i, first := range r.times {
		for j := i; j < len(r.times); j++ {
			window := r.times[j].Sub(first).Seconds()
			worst = max(worst, float64(j-i+1)-teamRate*window-teamBurst)
		}
	}
	return worst
}

// TestQuotaUnderFaults checks that no window sees more than rate * window +
// burst over all daemons, through changes of the issuer, lost answers, freezes
// and restarts.
func TestQuotaUnderFaults(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 2))
		c := newCluster(t, seed)
		_, err := c.apply(teamNote)
		must.NoError(t, err)
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		var record takes
		var wg sync.WaitGroup
		for _, d := range c.daemons {
			wg.Go(func() { record.load(ctx, d, "t") })
		}
		for range 4 {
			fault := upset(c, random)
			t.Logf("seed %d: %s %s", seed, fault.name, fault.victim)
			time.Sleep(time.Duration(500+random.IntN(3000)) * time.Millisecond)
			fault.heal()
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		}
		cancel()
		wg.Wait()
		must.Positive(t, len(record.times))
		must.LessEq(t, 0.0, record.excess())
	})
}
