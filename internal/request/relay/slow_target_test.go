package relay

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/memnet"
	"github.com/teaselrack/teaselrack/internal/version"
)

// TestTargetThatReachesTheDeadlineIsAvoided replays a target that turns twelve times as
// slow as the one beside it, with so many slots that it is never full: it takes 1.2 s for
// a request whose time limit is 400 ms. Few requests may be sent to it.
func TestTargetThatReachesTheDeadlineIsAvoided(t *testing.T) {
	const requests = 1000
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		m := newMeshOn(t, network, version.Idempotent, 0, 2)
		m.instances[0].stub.serveWith(func(http.ResponseWriter, *http.Request) { time.Sleep(1200 * time.Millisecond) })
		m.instances[1].stub.serveWith(func(http.ResponseWriter, *http.Request) { time.Sleep(100 * time.Millisecond) })
		m.instances[1].record.FailureDomain = "other"
		from := m.addRemote()
		var failed atomic.Int64
		var wg sync.WaitGroup
		for n := range requests {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 10 * time.Millisecond)
				if resp, _ := m.send(from, "GET", "/p/x", nil, ""); resp.StatusCode != http.StatusOK {
					failed.Add(1)
				}
			})
		}
		wg.Wait()
		must.Less(t, requests/5, failed.Load(), must.Sprint("all of them would be sent to the slow target of the own failure domain"))
		network.Close()
		time.Sleep(time.Minute)
	})
}
