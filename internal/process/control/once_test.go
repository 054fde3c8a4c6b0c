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

// onceRuns counts what a target would have seen.
type onceRuns struct {
	mu       sync.Mutex
	runs     map[string]int  // by key
	ran      map[string]bool // by attempt
	notRun   map[string]bool // by attempt
	problems []string
	wg       sync.WaitGroup
}

func newOnceRuns() *onceRuns {
	return &onceRuns{runs: make(map[string]int), ran: make(map[string]bool), notRun: make(map[string]bool)}
}

// attempt does what the daemon beside a target does for one request: claim,
// run, complete. Now and then it dies between two steps, or a sender that lost
// sight of it cancels it meanwhile.
func (o *onceRuns) attempt(d, sender *daemonProcess, random func(int) int, key, attempt string) {
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
	reply, err := d.life.Load().ledger.Do(ctx, request)
	if err != nil {
		if fault.OutcomeOf(err) == fault.NotRun {
			o.promise(attempt)
		}
		return
	}
	if reply.State != protocol.OnceGranted {
		return
	}
	o.run(key, attempt)
	if random(4) == 0 {
		return
	}
	request.Operation = protocol.OnceComplete
	request.Answer = &protocol.StoredAnswer{Status: 200, Body: []byte(attempt)}
	_, _ = d.life.Load().ledger.Do(ctx, request)
}

// cancel fences an attempt from another daemon. An answer that says fenced
// promises that the attempt never runs.
func (o *onceRuns) cancel(sender *daemonProcess, request protocol.OnceRequest, after time.Duration) {
	time.Sleep(after)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request.Operation = protocol.OnceCancel
	reply, err := sender.life.Load().ledger.Do(ctx, request)
	if err == nil && reply.State == protocol.OnceFenced {
		o.promise(request.Attempt)
	}
}

func (o *onceRuns) promise(attempt string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notRun[attempt] = true
	if o.ran[attempt] {
		o.problems = append(o.problems, attempt+" had run when it was said not to")
	}
}

func (o *onceRuns) run(key, attempt string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[key]++
	if o.runs[key] > 1 {
		o.problems = append(o.problems, key+" ran more than once")
	}
	o.ran[attempt] = true
	if o.notRun[attempt] {
		o.problems = append(o.problems, attempt+" ran after it was said not to")
	}
}

// TestOnceUnderFaults checks that a once request runs at most once when its
// caller sends it again at other daemons, and that what was said not to run
// never does.
func TestOnceUnderFaults(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 3))
		c := newCluster(t, seed)
		_, err := c.apply(teamNote)
		must.NoError(t, err)
		o := newOnceRuns()
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for i := range c.daemons {
			wg.Go(func() { o.load(c, i, stop, seed) })
		}
		for range 4 {
			fault := upset(c, random)
			t.Logf("seed %d: %s %s", seed, fault.name, fault.victim)
			time.Sleep(time.Duration(500+random.IntN(3000)) * time.Millisecond)
			fault.heal()
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		}
		close(stop)
		wg.Wait()
		o.wg.Wait()
		must.Positive(t, len(o.runs))
		must.Nil(t, o.problems)
	})
}

// load sends attempts for keys that all daemons share.
func (o *onceRuns) load(c *cluster, index int, stop <-chan struct{}, seed uint64) {
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
