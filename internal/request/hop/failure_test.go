package hop

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/peer"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/version"
)

// TestRetriesAreBoundedOverTheChain makes every attempt of the last hop fail, in
// call chains of several depths. Without a limit for the whole chain, retries at
// each hop would multiply.
func TestRetriesAreBoundedOverTheChain(t *testing.T) {
	for _, hops := range []int{1, 3, 27} {
		t.Run(strconv.Itoa(hops), func(t *testing.T) {
			runMesh(t, []string{"tides", "tides", "oprema", "oprema", "oprema"}, func(t *testing.T, m *testMesh) {
				var attempts atomic.Int64
				m.serveTargets(0, func(w http.ResponseWriter, r *http.Request) {
					attempts.Add(1)
					depth, _ := strconv.Atoi(r.URL.Query().Get("depth"))
					if depth == hops {
						panic(http.ErrAbortHandler)
					}
					if res := m.callEgress(r.Context(), r, http.MethodGet, fmt.Sprintf("/deep?depth=%d", depth+1)); res.status != http.StatusOK {
						panic(http.ErrAbortHandler) // propagate the failure to every hop
					}
				})
				m.call(http.MethodGet, "/look?depth=1", "")
				must.Eq(t, 2, m.permits.granted)
				must.Eq(t, int64(hops+2), attempts.Load(), must.Sprint("attempts of the whole call chain"))
			})
		})
	}
}

// TestDepthIsBounded lets a target call itself recursively without limit.
func TestDepthIsBounded(t *testing.T) {
	runMesh(t, []string{"tides", "oprema"}, func(t *testing.T, m *testMesh) {
		var attempts atomic.Int64
		m.serveTargets(0, func(w http.ResponseWriter, r *http.Request) {
			attempts.Add(1)
			res := m.callEgress(r.Context(), r, http.MethodGet, "/deep")
			_, _ = w.Write([]byte(res.body))
		})
		res := m.call(http.MethodGet, "/look", "")
		must.StrContains(t, res.body, string(fault.DepthExceeded))
		must.Eq(t, envelope.MaxDepth, attempts.Load())
	})
}

// TestTruncatedResponses lets the target abort its first responses. A truncated response
// is retried if it fits into the response buffer. Otherwise the connection to the
// caller must break, so that the response does not look complete.
func TestTruncatedResponses(t *testing.T) {
	cases := map[string]struct {
		size    int   // of the complete response body, in bytes
		breaks  int64 // number of responses that the target aborts
		status  int
		broken  bool // whether the connection to the caller breaks
		permits int  // retry permits granted
	}{
		"small, one aborted":  {1000, 1, http.StatusOK, false, 1},
		"small, all aborted":  {1000, 100, http.StatusBadGateway, false, 2},
		"large":               {3 * responseBufferLimit, 1, http.StatusOK, true, 0},
		"large, none aborted": {3 * responseBufferLimit, 0, http.StatusOK, false, 0},
	}
	for name, c := range cases {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %v", name, chunked), func(t *testing.T) {
				runMesh(t, []string{"tides", "tides"}, func(t *testing.T, m *testMesh) {
					content := strings.Repeat("0123456789abcdef", c.size/16)
					var attempts atomic.Int64
					m.serveTargets(0, func(w http.ResponseWriter, _ *http.Request) {
						n := attempts.Add(1)
						if !chunked {
							w.Header().Set("Content-Length", strconv.Itoa(len(content)))
						}
						_, _ = io.WriteString(w, content[:len(content)-16])
						_ = http.NewResponseController(w).Flush()
						if n <= c.breaks {
							panic(http.ErrAbortHandler)
						}
						_, _ = io.WriteString(w, content[len(content)-16:])
					})
					res := m.call(http.MethodGet, "/look", "")
					must.Eq(t, c.permits, m.permits.granted)
					must.Eq(t, c.broken, res.err != nil, must.Sprint(res.err))
					must.Eq(t, c.status, res.status)
					if c.status == http.StatusOK && !c.broken {
						must.Eq(t, content, res.body)
					}
				})
			})
		}
	}
}

// TestResponsesReachTheirOwnRequest guards against responses that are mixed up
// between requests. It sends many concurrent requests over one peer link. The
// targets respond after random delays, out of order, and abort some responses. Each
// response repeats the token of its request.
func TestResponsesReachTheirOwnRequest(t *testing.T) {
	const requests, seed = 200, 7
	t.Logf("seed %d", seed)
	runMesh(t, []string{"oprema", "tides"}, func(t *testing.T, m *testMesh) {
		var broken atomic.Int64
		m.serveTargets(0, func(w http.ResponseWriter, r *http.Request) {
			token := r.URL.Query().Get("token")
			h := fnv.New64a()
			_, _ = io.WriteString(h, token)
			rng := rand.New(rand.NewPCG(seed, h.Sum64()))
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			for range 1 + rng.IntN(25) {
				_, _ = io.WriteString(w, strings.Repeat(token, 500))
				_ = http.NewResponseController(w).Flush()
			}
			if rng.IntN(4) == 0 {
				broken.Add(1)
				panic(http.ErrAbortHandler)
			}
		})
		var wg sync.WaitGroup
		var complete, foreign, failed atomic.Int64
		for n := range requests {
			wg.Go(func() {
				token := fmt.Sprintf("<%08d>", n)
				res := m.call(http.MethodGet, "/look?token="+token, "")
				rest := strings.ReplaceAll(res.body, token, "")
				switch {
				case res.err == nil && res.status == http.StatusOK && rest == "":
					complete.Add(1)
				case res.status == http.StatusOK && strings.Contains(rest, ">") && strings.Contains(rest, "<"):
					foreign.Add(1)
				default:
					failed.Add(1)
				}
			})
		}
		wg.Wait()
		t.Logf("complete %d, failed %d, aborted responses %d", complete.Load(), failed.Load(), broken.Load())
		must.Eq(t, 0, foreign.Load(), must.Sprint("responses with the token of another request"))
		must.Positive(t, broken.Load())
		must.Positive(t, failed.Load(), must.Sprint("an aborted response must never look complete"))
		must.Eq(t, requests, complete.Load()+failed.Load())
		must.Greater(t, requests/2, complete.Load())
	})
}

// TestTargetsThatShed uses targets that shed load themselves with status 503. The
// request is retried at other targets, and the last 503 response is forwarded if
// all of them shed it.
func TestTargetsThatShed(t *testing.T) {
	for _, shedding := range []int{1, 3} {
		runMesh(t, []string{"tides", "tides", "tides"}, func(t *testing.T, m *testMesh) {
			m.serveTargets(shedding, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
			for _, n := range m.nodes[:shedding] {
				m.serve(n.target(), &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					http.Error(w, "busy", http.StatusServiceUnavailable)
				})})
			}
			res := m.call(http.MethodGet, "/look", "")
			if shedding == 1 {
				must.Eq(t, "ok", res.body)
				must.Eq(t, 1, m.permits.granted)
				return
			}
			must.Eq(t, "busy\n", res.body)
			must.Eq(t, "ran", res.header.Get(HeaderOutcome))
			must.Eq(t, 2, m.permits.granted)
		})
	}
}

// TestSilentConnections makes idle peer links or idle target connections drop all
// data without closing. The next request must succeed within a second, and the
// target must not be reported as reset.
func TestSilentConnections(t *testing.T) {
	for _, silenced := range []string{"links", "targets"} {
		for _, gap := range []time.Duration{0, 100 * time.Millisecond, 600 * time.Millisecond} {
			t.Run(fmt.Sprint(silenced, " ", gap), func(t *testing.T) {
				runMesh(t, []string{"tides"}, func(t *testing.T, m *testMesh) {
					m.serveTargets(0, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
					must.Eq(t, "ok", m.call(http.MethodGet, "/look", "").body)
					time.Sleep(10 * time.Millisecond)
					if silenced == "links" {
						m.network.Blackhole(m.nodes[0].peer())
					} else {
						m.network.Blackhole(m.nodes[0].target())
					}
					time.Sleep(gap)
					start := time.Now()
					must.Eq(t, "ok", m.call(http.MethodGet, "/look", "").body)
					must.Less(t, time.Second, time.Since(start))
					start = time.Now()
					must.Eq(t, "ok", m.call(http.MethodGet, "/look", "").body)
					must.Less(t, 50*time.Millisecond, time.Since(start), must.Sprint("later requests must use the new connection"))
					must.Eq(t, 0, m.nodes[0].admission.resets.Load(), must.Sprint("a silent connection must not count as a reset by the target"))
				})
			})
		}
	}
}

// TestOnlyDaemonsAndReplicasSendEnvelopes sends request envelopes to the peer listener
// with certificates of each role. Only daemons and replicas are allowed.
func TestOnlyDaemonsAndReplicasSendEnvelopes(t *testing.T) {
	runMesh(t, []string{"tides"}, func(t *testing.T, m *testMesh) {
		var ran atomic.Int64
		m.serveTargets(0, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
		value, err := envelope.Encode(&envelope.Envelope{
			RequestID: envelope.NewID(), AttemptID: envelope.NewID(), Team: "obala", Importance: version.Critical,
			Depth: 2, Remaining: time.Second, Root: "127.0.0.1:7000", Service: "tides", Mode: version.Idempotent,
		})
		must.NoError(t, err)
		for role, kind := range map[mesh.Role]fault.Kind{mesh.Operator: fault.Forbidden, mesh.Daemon: "", mesh.Replica: ""} {
			client := peer.NewClient(m.identity("x", role, "127.0.0.9"), peer.Options{Dial: m.network.Dial})
			for _, text := range []string{value, "junk"} {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://x/look", nil)
				must.NoError(t, err)
				r.Header.Set(envelope.Header, text)
				resp, err := client.RoundTrip(m.nodes[0].peer(), r)
				must.NoError(t, err)
				want := kind
				if kind == "" && text == "junk" {
					want = fault.BadRequest
				}
				must.Eq(t, string(want), resp.Header.Get(HeaderKind))
				must.NoError(t, resp.Body.Close())
			}
			client.Close()
		}
		must.Eq(t, 2, ran.Load())
	})
}
