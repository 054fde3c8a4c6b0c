package hop

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/request/envelope"
)

// faultSource is a source of random faults. It is safe for concurrent use.
type faultSource struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (f *faultSource) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// oneIn returns true with probability 1/n.
func (f *faultSource) oneIn(n int) bool { return f.intN(n) == 0 }

func (f *faultSource) sleep(longest time.Duration) {
	time.Sleep(time.Duration(f.intN(int(longest))))
}

// TestOutcomesAreTrue checks that the reported outcomes are true: a once request
// runs at most once, and a request reported as not-run did not run. It sends once
// and idempotent requests while peer links and target connections drop all data,
// targets abort before and during their responses, and replies of the ledger are
// lost. Each caller sends a once request up to three times with the same key, until
// it gets the response of a target. Half of the callers use a route without retries.
func TestOutcomesAreTrue(t *testing.T) {
	const callers = 40
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runMesh(t, []string{"tides", "blagajna", "blagajna", "tides"}, func(t *testing.T, m *testMesh) {
				f := &faultSource{rng: rand.New(rand.NewPCG(seed, seed))}
				runs := &counter{counts: make(map[string]int)}
				m.serveTargets(0, unreliableTarget(f, runs))
				m.ledger.loseReply = func() bool { return f.oneIn(10) }
				for _, n := range m.nodes {
					n.admission.beforeAdmit = func(*envelope.Envelope) error { f.sleep(50 * time.Millisecond); return nil }
				}
				stop := make(chan struct{})
				go silenceConnections(m, f, stop)
				var wg sync.WaitGroup
				tally := &counter{counts: make(map[string]int)}
				for n := range callers {
					wg.Go(func() {
						f.sleep(2 * time.Second)
						path := []string{"/pay", "/charge"}[n%2]
						m.callOnce(t, path, fmt.Sprintf("once-%d", n), runs, tally)
						m.callIdempotent(t, fmt.Sprintf("look-%d", n), tally)
					})
				}
				wg.Wait()
				close(stop)
				time.Sleep(time.Minute)
				for n := range callers {
					must.LessEq(t, 1, runs.get(fmt.Sprintf("once-%d", n)), must.Sprint("a once request must run at most once"))
				}
				t.Log(tally.counts)
			})
		})
	}
}

// callOnce sends a once request up to three times and checks that each response is
// consistent with the number of runs.
func (m *testMesh) callOnce(t *testing.T, path, key string, runs, tally *counter) {
	for attempt := range 3 {
		before := runs.get(key)
		res := m.call(http.MethodPost, path+"?token="+key, "5 EUR", withOnceKey(key))
		if res.err != nil {
			t.Errorf("%s: %v", key, res.err)
			return
		}
		outcome := res.header.Get(HeaderOutcome)
		tally.add("once " + outcome)
		switch {
		case outcome == "ran" && res.errorBody.Kind == "":
			must.Eq(t, key, res.body)
			must.Eq(t, 1, runs.get(key))
			return
		case outcome == "not-run" && attempt == 0:
			must.Eq(t, 0, before+runs.get(key), must.Sprintf("%s was reported as not-run: %s", key, res.body))
		}
	}
}

func (m *testMesh) callIdempotent(t *testing.T, token string, tally *counter) {
	res := m.call(http.MethodGet, "/look?token="+token, "")
	if res.err != nil || res.status != http.StatusOK {
		tally.add("idempotent failed")
		return
	}
	tally.add("idempotent ran")
	must.Eq(t, token, res.body)
}

// unreliableTarget returns a target that responds with the token of the request, but
// aborts some responses before or after the first byte.
func unreliableTarget(f *faultSource, runs *counter) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token := r.URL.Query().Get("token")
		runs.add(token)
		f.sleep(300 * time.Millisecond)
		if f.oneIn(12) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(token)))
		_, _ = io.WriteString(w, token[:1])
		_ = http.NewResponseController(w).Flush()
		if f.oneIn(12) {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, token[1:])
	}
}

// silenceConnections repeatedly makes random peer links and target connections drop
// all data, until stop is closed.
func silenceConnections(m *testMesh, f *faultSource, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+f.intN(500)) * time.Millisecond):
		}
		n := m.nodes[f.intN(len(m.nodes))]
		if f.oneIn(2) {
			m.network.Blackhole(n.peer())
		} else {
			m.network.Blackhole(n.target())
		}
	}
}

// counter counts events by name. It is safe for concurrent use.
type counter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *counter) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

func (c *counter) get(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}
