package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// onceHistory records what a target would have seen of once requests.
type onceHistory struct {
	mu         sync.Mutex
	runs       map[string]int  // by key
	ran        map[string]bool // by attempt
	notRun     map[string]bool // by attempt
	violations []string
	wg         sync.WaitGroup
}

func newOnceHistory() *onceHistory {
	return &onceHistory{runs: make(map[string]int), ran: make(map[string]bool), notRun: make(map[string]bool)}
}

// attempt does what the daemon of a target does for one request: claim, run,
// complete. Some attempts, chosen at random, stop before the last step. Others are
// canceled concurrently by another daemon, as by a sender that has lost its
// connection.
func (o *onceHistory) attempt(d, sender *daemonProcess, random func(int) int, key, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request := protocol.OnceRequest{
		Operation: protocol.OnceClaim,
		Key:       protocol.OnceKey{Team: "t", Service: "blagajna", Key: key},
		Attempt:   attempt,
		Digest:    "digest",
	}
	if random(3) == 0 {
		after := time.Duration(random(20)) * time.Millisecond
		canceled := request
		o.wg.Go(func() { o.cancel(sender, canceled, after) })
	}
	reply, err := d.run.Load().ledger.Do(ctx, request)
	if err != nil {
		if fault.OutcomeOf(err) == fault.NotRun {
			o.recordNotRun(attempt)
		}
		return
	}
	if reply.State != protocol.OnceGranted {
		return
	}
	o.recordRun(key, attempt)
	if random(4) == 0 {
		return
	}
	request.Operation = protocol.OnceComplete
	request.Response = &protocol.StoredResponse{Status: 200, Body: []byte(attempt)}
	_, _ = d.run.Load().ledger.Do(ctx, request)
}

// cancel fences an attempt from another daemon. A reply with the state fenced
// guarantees that the attempt never runs.
func (o *onceHistory) cancel(sender *daemonProcess, request protocol.OnceRequest, after time.Duration) {
	time.Sleep(after)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request.Operation = protocol.OnceCancel
	reply, err := sender.run.Load().ledger.Do(ctx, request)
	if err == nil && reply.State == protocol.OnceFenced {
		o.recordNotRun(request.Attempt)
	}
}

// recordNotRun records that attempt was reported as not run.
func (o *onceHistory) recordNotRun(attempt string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notRun[attempt] = true
	if o.ran[attempt] {
		o.violations = append(o.violations, attempt+" had run before it was reported as not run")
	}
}

// recordRun records that attempt ran.
func (o *onceHistory) recordRun(key, attempt string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[key]++
	if o.runs[key] > 1 {
		o.violations = append(o.violations, key+" ran more than once")
	}
	o.ran[attempt] = true
	if o.notRun[attempt] {
		o.violations = append(o.violations, attempt+" ran after it was reported as not run")
	}
}

// TestOnceUnderFaults guards against a once request that runs twice when its
// caller repeats it through other daemons, and against an attempt that runs
// although it was reported as not run.
func TestOnceUnderFaults(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 3))
		c := newCluster(t, seed)
		_, err := c.apply(teamNote)
		must.NoError(t, err)
		o := newOnceHistory()
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for i := range c.daemons {
			wg.Go(func() { o.generateLoad(c, i, stop, seed) })
		}
		for range 4 {
			fault := injectFault(c, random)
			t.Logf("seed %d: %s %s", seed, fault.name, fault.victim)
			time.Sleep(time.Duration(500+random.IntN(3000)) * time.Millisecond)
			fault.heal()
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		}
		close(stop)
		wg.Wait()
		o.wg.Wait()
		must.Positive(t, len(o.runs))
		must.Nil(t, o.violations)
	})
}

// generateLoad sends attempts from one daemon until stop is closed. All daemons use
// the same keys.
func (o *onceHistory) generateLoad(c *cluster, index int, stop <-chan struct{}, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(index)))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
		}
		d := c.daemons[index]
		sender := c.daemons[random.IntN(len(c.daemons))]
		o.attempt(d, sender, random.IntN, fmt.Sprint("key", n/2), fmt.Sprintf("%s-%d", d.name, n))
	}
}
