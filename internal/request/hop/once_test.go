package hop

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/version"
)

// TestChecksAgainBeforeDispatch invalidates the request while its attempt waits for
// a slot or for its claim. The request must not be dispatched, and the idempotency
// key must be released.
func TestChecksAgainBeforeDispatch(t *testing.T) {
	changes := map[fault.Kind]func(m *testMesh){
		fault.Unauthenticated: func(m *testMesh) {
			m.config.apply(func(n *version.Note) { n.Withdrawn.Keys = []string{version.HashKey(secret)} })
		},
		fault.OutOfService: func(m *testMesh) {
			m.config.apply(func(n *version.Note) { n.Added.FailureDomains = []version.FailureDomain{{Name: "split-a"}} })
		},
		fault.LeaseExpired:  func(m *testMesh) { m.config.expire() },
		fault.TargetLeaving: func(m *testMesh) { m.nodes[0].localTargets.err = fault.New(fault.TargetLeaving, "leaving") },
		fault.DeadlineNotRun: func(*testMesh) {
			time.Sleep(time.Minute)
		},
	}
	for kind, change := range changes {
		// slot and claim are what a once request waits for when the change occurs.
		// idempotent is an idempotent request that waits for a slot.
		for _, moment := range []string{"slot", "claim", "idempotent"} {
			t.Run(string(kind)+"/"+moment, func(t *testing.T) {
				runMesh(t, []string{"blagajna"}, func(t *testing.T, m *testMesh) {
					var ran atomic.Int64
					m.serveTargets(0, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
					if moment != "claim" {
						m.nodes[0].admission.beforeAdmit = func(*envelope.Envelope) error { change(m); return nil }
					} else {
						m.ledger.beforeCommand = func(r protocol.OnceRequest) {
							if r.Operation == protocol.OnceClaim {
								change(m)
							}
						}
					}
					m.config.apply(func(n *version.Note) {
						n.Changed.Routes = []version.Route{{Name: "pay", Path: "/pay", Service: "blagajna",
							Importance: version.Critical, Mode: version.Once, Access: version.Keyed, Timeout: time.Second}}
					})
					if moment == "idempotent" {
						m.router.targets[0].Service = "tides"
					}
					path := map[bool]string{true: "/look", false: "/pay"}[moment == "idempotent"]
					res := m.call(http.MethodPost, path, "5 EUR", withOnceKey("k"))
					time.Sleep(2 * time.Minute)
					must.Eq(t, 0, ran.Load(), must.Sprint("the request must not be dispatched"))
					if kind == fault.DeadlineNotRun {
						return // the caller's own deadline has passed as well
					}
					must.Eq(t, kind, res.errorBody.Kind, must.Sprint(res.body))
					must.MapLen(t, 0, m.ledger.claims, must.Sprint("the key must be released"))
				})
			})
		}
	}
}

func TestOnceIsReplayed(t *testing.T) {
	runMesh(t, []string{"blagajna"}, func(t *testing.T, m *testMesh) {
		var ran atomic.Int64
		m.serveTargets(0, func(w http.ResponseWriter, _ *http.Request) {
			ran.Add(1)
			w.Header().Set("X-Receipt", "7")
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write([]byte("paid"))
		})
		first := m.call(http.MethodPost, "/pay", "5 EUR", withOnceKey("k"))
		must.Eq(t, "", first.header.Get(HeaderReplayed))
		for _, res := range []result{first, m.call(http.MethodPost, "/pay", "5 EUR", withOnceKey("k"))} {
			must.Eq(t, http.StatusCreated, res.status)
			must.Eq(t, "paid", res.body)
			must.Eq(t, "7", res.header.Get("X-Receipt"))
			must.Eq(t, "ran", res.header.Get(HeaderOutcome))
		}
		other := m.call(http.MethodPost, "/pay", "9 EUR", withOnceKey("k"))
		must.Eq(t, fault.OnceConflict, other.errorBody.Kind)
		must.Eq(t, 1, ran.Load())
	})
}

// TestConcurrentOnceRequests sends the same once request concurrently, as mobile clients
// do when they retry after a connection loss. Half of the callers cancel early.
func TestConcurrentOnceRequests(t *testing.T) {
	runMesh(t, []string{"tides", "blagajna", "blagajna"}, func(t *testing.T, m *testMesh) {
		var ran atomic.Int64
		m.serveTargets(0, func(w http.ResponseWriter, _ *http.Request) {
			ran.Add(1)
			time.Sleep(300 * time.Millisecond)
			_, _ = w.Write([]byte("paid"))
		})
		abandoned, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		var wg sync.WaitGroup
		for n := range 20 {
			wg.Go(func() {
				res := m.call(http.MethodPost, "/pay", "5 EUR", withOnceKey("k"), func(r *http.Request) {
					if n < 10 {
						*r = *r.WithContext(abandoned)
					}
				})
				if n >= 10 {
					must.Eq(t, "paid", res.body)
				}
			})
		}
		wg.Wait()
		must.Eq(t, 1, ran.Load())
	})
}

// TestOnceWithLostLink makes the peer links between the root and the daemons of the
// targets drop all data, at different moments of a once request.
func TestOnceWithLostLink(t *testing.T) {
	cases := map[string]struct {
		moment  protocol.OnceOperation // the links are lost just before this ledger command, or at admission if it is empty
		takes   time.Duration          // service time of the target
		kind    fault.Kind             // of the error, empty if the caller gets the target's response
		permits int                    // retry permits granted
	}{
		"before the claim":                {"", 100 * time.Millisecond, "", 1},
		"while it runs":                   {protocol.OnceClaim, 100 * time.Millisecond, "", 0},
		"while it runs for 1.5 s":         {protocol.OnceClaim, 1500 * time.Millisecond, "", 0},
		"while it runs past the deadline": {protocol.OnceClaim, time.Minute, fault.OnceUnknown, 0},
		"before the response is stored":   {protocol.OnceComplete, 100 * time.Millisecond, "", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runMesh(t, []string{"tides", "blagajna", "blagajna"}, func(t *testing.T, m *testMesh) {
				var ran atomic.Int64
				m.serveTargets(0, func(w http.ResponseWriter, _ *http.Request) {
					ran.Add(1)
					time.Sleep(c.takes)
					_, _ = w.Write([]byte("paid"))
				})
				var once sync.Once
				loseLinks := func() { m.network.Blackhole(m.nodes[1].peer(), m.nodes[2].peer()) }
				m.nodes[1].admission.beforeAdmit = func(*envelope.Envelope) error {
					if c.moment == "" {
						once.Do(loseLinks)
						time.Sleep(time.Second)
					}
					return nil
				}
				m.ledger.beforeCommand = func(r protocol.OnceRequest) {
					if r.Operation == c.moment {
						once.Do(loseLinks)
					}
				}
				start := time.Now()
				res := m.call(http.MethodPost, "/pay", "5 EUR", withOnceKey("k"))
				must.Less(t, 2*time.Second+ledgerGrace, time.Since(start))
				must.NoError(t, res.err)
				must.Eq(t, c.kind, res.errorBody.Kind, must.Sprint(res.body))
				must.Eq(t, c.permits, m.permits.granted)
				must.Eq(t, 1, ran.Load())
				if c.kind == "" {
					must.Eq(t, "paid", res.body)
					return
				}
				must.Eq(t, "unknown", res.header.Get(HeaderOutcome))
				again := m.call(http.MethodPost, "/pay", "5 EUR", withOnceKey("k"))
				must.Eq(t, fault.OnceUnknown, again.errorBody.Kind)
				must.Eq(t, 1, ran.Load())
			})
		})
	}
}

// TestOnceAtAFailingTarget lets the target close its connection after it started to
// process the request. The outcome is unknown, so there must be no retry.
func TestOnceAtAFailingTarget(t *testing.T) {
	runMesh(t, []string{"blagajna", "blagajna"}, func(t *testing.T, m *testMesh) {
		var ran atomic.Int64
		m.serveTargets(0, func(http.ResponseWriter, *http.Request) {
			ran.Add(1)
			panic(http.ErrAbortHandler)
		})
		first := m.call(http.MethodPost, "/pay", "5 EUR", withOnceKey("k"))
		must.Eq(t, "unknown", first.header.Get(HeaderOutcome), must.Sprint(first.body))
		must.Eq(t, 0, m.permits.granted, must.Sprint("a request that may have run must not be retried"))
		again := m.call(http.MethodPost, "/pay", "5 EUR", withOnceKey("k"))
		must.Eq(t, fault.OnceUnknown, again.errorBody.Kind)
		must.Eq(t, 1, ran.Load())
		must.Eq(t, 1, m.nodes[0].admission.resets.Load()+m.nodes[1].admission.resets.Load())
	})
}

func TestOnceWithoutATarget(t *testing.T) {
	runMesh(t, []string{"blagajna", "blagajna"}, func(t *testing.T, m *testMesh) {
		// No target listens at the first daemon.
		m.serveTargets(1, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("paid")) })
		for range 2 {
			res := m.call(http.MethodPost, "/pay", "5 EUR", withOnceKey(envelope.NewID()))
			must.Eq(t, "paid", res.body)
		}
		must.Positive(t, m.permits.granted)
	})
}

func TestOnceWithoutALedger(t *testing.T) {
	for _, kind := range []fault.Kind{fault.LedgerUnavailable, fault.LedgerUnknown} {
		runMesh(t, []string{"blagajna"}, func(t *testing.T, m *testMesh) {
			var ran atomic.Int64
			m.serveTargets(0, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
			m.ledger.err = fault.New(kind, "down")
			res := m.call(http.MethodPost, "/pay", "5 EUR", withOnceKey("k"))
			must.Eq(t, kind, res.errorBody.Kind)
			must.Eq(t, 0, ran.Load())
		})
	}
}

func TestOnceWithALargeResponse(t *testing.T) {
	runMesh(t, []string{"blagajna"}, func(t *testing.T, m *testMesh) {
		var ran atomic.Int64
		m.serveTargets(0, func(w http.ResponseWriter, _ *http.Request) {
			ran.Add(1)
			_, _ = w.Write(make([]byte, protocol.MaxStoredResponse+1))
		})
		for range 2 {
			res := m.call(http.MethodPost, "/pay", "5 EUR", withOnceKey("k"))
			must.Eq(t, http.StatusBadGateway, res.status)
			must.StrContains(t, res.body, string(fault.AnswerTooLarge))
			must.Eq(t, "ran", res.header.Get(HeaderOutcome))
		}
		must.Eq(t, 1, ran.Load())
	})
}
