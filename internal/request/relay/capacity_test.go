package relay

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/memnet"
	"github.com/teaselrack/teaselrack/internal/version"
)

// serviceTimeUnder sends requests to a target that takes 80 ms for each that it runs, and
// returns the service time that its daemon has learned. respond handles a request that the
// target does not run to its end; it reports false for all others.
func serviceTimeUnder(t *testing.T, respond func(w http.ResponseWriter) bool) (learned time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		m := newMeshOn(t, network, version.Idempotent, 0, 1)
		inst := m.instances[0]
		inst.stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
			if !respond(w) {
				time.Sleep(80 * time.Millisecond)
			}
		})
		var wg sync.WaitGroup
		for n := range 600 {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 5 * time.Millisecond)
				_, _ = m.send(inst, "GET", "/p/x", nil, "")
			})
		}
		wg.Wait()
		learned = inst.target.Bottleneck().Cost
		network.Close()
		time.Sleep(time.Minute)
	})
	return learned
}

// TestRejectionsAreNoCapacity replays a target that rejects half of its requests at once.
// What it rejects says nothing about the time that the others take, so the capacity must
// not appear to grow and the level must not fall.
func TestRejectionsAreNoCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	half := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(2) == 0
	}
	for name, respond := range map[string]func(w http.ResponseWriter) bool{
		"rejections": func(w http.ResponseWriter) bool {
			rejected := half()
			if rejected {
				w.Header().Set("Teaselrack-Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return rejected
		},
		"errors": func(w http.ResponseWriter) bool {
			failed := half()
			if failed {
				w.WriteHeader(http.StatusInternalServerError)
			}
			return failed
		},
	} {
		must.Between(t, 75*time.Millisecond, serviceTimeUnder(t, respond), 90*time.Millisecond, must.Sprint(name))
	}
}

// TestAbandonedRequestsTakeCapacity replays a target that turns so slow that its requests
// reach their time limit. They must count with at least the time that they took.
func TestAbandonedRequestsTakeCapacity(t *testing.T) {
	learned := serviceTimeUnder(t, func(http.ResponseWriter) bool {
		time.Sleep(2 * time.Second)
		return true
	})
	must.Greater(t, 300*time.Millisecond, learned, must.Sprint("the time limit is 400 ms"))
}
