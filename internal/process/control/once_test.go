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
	runs     map[string]int
	released map[string]bool
	problems []string
}

// attempt does what the daemon beside a target does for one request: claim,
// run, complete. Now and then it dies between two steps, or was fenced by a
// sender that lost sight of it.
func (o *onceRuns) attempt(d *daemonProcess, random func(int) int, key, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request := protocol.OnceRequest{
		Operation: protocol.OnceClaim,
		Key:       protocol.OnceKey{Team: "t", Service: "blagajna", Key: key},
		Attempt:   attempt,
		Digest:    "digest",
	}
	reply, err := d.ledger.Do(ctx, request)
	if err != nil {
		o.fence(d, request, err)
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
	_, _ = d.ledger.Do(ctx, request)
}

// fence cancels an attempt whose claim was not answered. An answer that says
// fenced, or an error that says not run, promises that it never runs.
func (o *onceRuns) fence(d *daemonProcess, request protocol.OnceRequest, err error) {
	if fault.OutcomeOf(err) == fault.NotRun {
		o.promise(request.Attempt)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request.Operation = protocol.OnceCancel
	reply, err := d.ledger.Do(ctx, request)
	if err == nil && reply.State == protocol.OnceFenced {
		o.promise(request.Attempt)
	}
}

func (o *onceRuns) promise(attempt string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.released[attempt] = true
}

func (o *onceRuns) run(key, attempt string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[key]++
	if o.runs[key] > 1 {
		o.problems = append(o.problems, key+" ran more than once")
	}
	if o.released[attempt] {
		o.problems = append(o.problems, attempt+" ran after it was said not to")
	}
}

// TestOnceUnderFaults checks that a once request runs at most once when its
// caller sends it again at other daemons, and that what was said not to run
// never does.
func TestOnceUnderFaults(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 3))
		c := newCluster(t, seed, 3, 4)
		_, err := c.apply(teamNote)
		must.NoError(t, err)
		o := &onceRuns{runs: make(map[string]int), released: make(map[string]bool)}
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for i, d := range c.daemons {
			wg.Go(func() { o.load(d, uint64(i)+seed<<8, stop) })
		}
		for range 4 {
			name, heal := upset(c, random)
			t.Logf("seed %d: %s", seed, name)
			time.Sleep(time.Duration(500+random.IntN(3000)) * time.Millisecond)
			heal()
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		}
		close(stop)
		wg.Wait()
		must.Positive(t, len(o.runs))
		must.Nil(t, o.problems)
		c.close()
	})
}

// load sends attempts for keys that all daemons share.
func (o *onceRuns) load(d *daemonProcess, seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 4))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
		}
		key := fmt.Sprint("key", n/2)
		o.attempt(d, random.IntN, key, fmt.Sprintf("%s-%d", d.name, n))
	}
}
