package hop

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/version"
)

var chain = []string{"tides", "oprema", "raspored"}

func TestChainOfThreeHops(t *testing.T) {
	runMesh(t, chain, func(t *testing.T, m *testMesh) {
		var handles []string
		m.serveTargets(0, func(w http.ResponseWriter, r *http.Request) {
			handles = append(handles, r.Header.Get(HeaderHandle))
			seen := fmt.Sprintf("%s %s %s %s;", r.URL.RequestURI(), r.Header.Get(HeaderTeam),
				r.Header.Get(HeaderImportance), r.Header.Get(HeaderRequest))
			switch r.URL.Path {
			case "/look/slots":
				seen += m.callEgress(r.Context(), r, http.MethodGet, "/deep/a").body
			case "/deep/a":
				seen += m.callEgress(r.Context(), r, http.MethodPost, "/hold/b", withOnceKey("k")).body
			}
			_, _ = w.Write([]byte(seen))
		})
		res := m.call(http.MethodGet, "/look/slots?day=1", "")
		must.NoError(t, res.err)
		id := res.header.Get(HeaderRequest)
		must.True(t, envelope.ValidID(id))
		must.Eq(t, fmt.Sprintf("/look/slots?day=1 obala high %[1]s;/deep/a obala high %[1]s;/hold/b obala high %[1]s;", id), res.body)
		must.Eq(t, "ran", res.header.Get(HeaderOutcome))

		for i, calls := range []int64{1, 1, 0} {
			must.Eq(t, calls, m.nodes[i].admission.totalCalls.Load())
		}

		for i, handle := range handles {
			late := &http.Request{Host: m.nodes[i].target(), Header: http.Header{HeaderHandle: {handle}}}
			res := m.callEgress(t.Context(), late, http.MethodGet, "/look")
			must.Eq(t, fault.HandleUnknown, res.errorBody.Kind, must.Sprint("a handle must be invalid after its request"))
		}
	})
}

// TestDeepLevelsReachTheRoot checks that the first daemon reports the strictest
// level of the whole call chain to the root, so that requests are shed at the root
// before any part of them has run.
func TestDeepLevelsReachTheRoot(t *testing.T) {
	runMesh(t, chain, func(t *testing.T, m *testMesh) {
		m.serveTargets(0, func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/look":
				m.callEgress(r.Context(), r, http.MethodGet, "/deep/a")
			case "/deep/a":
				m.callEgress(r.Context(), r, http.MethodPost, "/hold/b", withOnceKey("k"))
			}
			_, _ = w.Write([]byte("whole"))
		})
		deepest := Level{Importance: version.High, Cohort: 40}
		m.nodes[2].admission.level = deepest
		must.NoError(t, m.call(http.MethodGet, "/look", "").err)
		must.Eq(t, deepest, m.router.levels["i1"])
		m.nodes[2].admission.level = Level{}
		must.NoError(t, m.call(http.MethodGet, "/look", "").err)
		must.NotEq(t, deepest, m.router.levels["i1"])
	})
}

// TestKeyIsSeenNowhere puts the API key into each part of a request that could leak
// it to a target, an event or the response.
func TestKeyIsSeenNowhere(t *testing.T) {
	places := map[string]func(r *http.Request){
		"authorization only": func(*http.Request) {},
		"two authorizations": func(r *http.Request) { r.Header.Add("Authorization", "Bearer "+secret) },
		"proxy":              func(r *http.Request) { r.Header.Set("Proxy-Authorization", secret) },
		"other header":       func(r *http.Request) { r.Header.Set("X-Api-Key", "v1:"+strings.ToUpper(secret)) },
		"header name":        func(r *http.Request) { r.Header.Set("X-"+secret, "1") },
		"referer":            func(r *http.Request) { r.Header.Set("Referer", "http://a/?k="+secret) },
		"encoded header":     func(r *http.Request) { r.Header.Set("X-A", strings.ReplaceAll(secret, "-", "%2D")) },
		"cookie":             func(r *http.Request) { r.AddCookie(&http.Cookie{Name: "k", Value: secret}) },
		"query":              func(r *http.Request) { r.URL.RawQuery = "a=1&key=" + secret + "&b=2" },
		"encoded query":      func(r *http.Request) { r.URL.RawQuery = "a=1&k=%53" + secret[1:] },
		"query name":         func(r *http.Request) { r.URL.RawQuery = secret },
		"trailer":            func(r *http.Request) { r.Trailer = http.Header{"X-Trail": {secret}} },
		"host":               func(r *http.Request) { r.Host = secret + ".example" },
		"user info":          func(r *http.Request) { r.Header.Set("From", secret+"@example") },
	}
	for name, place := range places {
		t.Run(name, func(t *testing.T) {
			runMesh(t, []string{"tides"}, func(t *testing.T, m *testMesh) {
				var seen atomic.Value
				m.serveTargets(0, func(_ http.ResponseWriter, r *http.Request) {
					body := make([]byte, 100)
					_, _ = r.Body.Read(body)
					seen.Store(fmt.Sprint(r.Method, r.URL, r.Host, r.Header, r.Trailer, r.RemoteAddr))
				})
				res := m.call(http.MethodPost, "/look", "content", func(r *http.Request) {
					r.AddCookie(&http.Cookie{Name: "kept", Value: "1"})
					place(r)
					if r.Trailer != nil {
						r.ContentLength = -1
					}
				})
				must.NoError(t, res.err)
				must.Eq(t, http.StatusOK, res.status, must.Sprint(res.body))
				text := strings.ToLower(fmt.Sprint(seen.Load(), m.events.events, res.header, res.body))
				must.StrContains(t, text, "kept=1")
				must.StrNotContains(t, text, strings.ToLower(secret[1:]))
				must.StrNotContains(t, text, "%2d")
				must.StrNotContains(t, text, "authorization")
			})
		})
	}
}

func TestRejectionResponses(t *testing.T) {
	cases := []struct {
		name   string
		kind   fault.Kind
		method string
		path   string
		edit   func(m *testMesh, r *http.Request)
	}{
		{"no route", fault.UnknownRoute, "GET", "/other", nil},
		{"internal route", fault.UnknownRoute, "GET", "/deep", nil},
		{"no key", fault.Unauthenticated, "GET", "/look", func(_ *testMesh, r *http.Request) { r.Header.Del("Authorization") }},
		{"wrong key", fault.Unauthenticated, "GET", "/look", func(_ *testMesh, r *http.Request) { r.Header.Set("Authorization", "Bearer x") }},
		{"not bearer", fault.Unauthenticated, "GET", "/look", func(_ *testMesh, r *http.Request) { r.Header.Set("Authorization", "Basic "+secret) }},
		{"context", fault.Forbidden, "GET", "/look", func(_ *testMesh, r *http.Request) { r.Header.Set(envelope.Header, "x") }},
		{"key in path", fault.BadRequest, "GET", "/look/" + secret, nil},
		{"path not clean", fault.BadRequest, "GET", "/look/../deep", nil},
		{"encoded dot segments", fault.BadRequest, "GET", "/look%2f..%2fdeep", nil},
		{"method", fault.BadRequest, "BREW", "/look", nil},
		{"timeout", fault.BadRequest, "GET", "/look", func(_ *testMesh, r *http.Request) { r.Header.Set(HeaderTimeout, "-1") }},
		{"large header", fault.TooLarge, "GET", "/look", func(_ *testMesh, r *http.Request) { r.Header.Set("X-A", strings.Repeat("a", DefaultHeaderLimit)) }},
		{"no once key", fault.OnceKeyMissing, "POST", "/pay", nil},
		{"bad once key", fault.BadRequest, "POST", "/pay", func(_ *testMesh, r *http.Request) { r.Header.Set(headerOnceKey, strings.Repeat("k", 300)) }},
		{"lease", fault.LeaseExpired, "GET", "/look", func(m *testMesh, _ *http.Request) { m.config.expire() }},
		{"quota", fault.QuotaExceeded, "GET", "/look", func(m *testMesh, _ *http.Request) { m.quota.err = fault.New(fault.QuotaExceeded, "over") }},
		{"no target", fault.NoTarget, "POST", "/pay", func(_ *testMesh, r *http.Request) { r.Header.Set(headerOnceKey, "k") }},
		{"large Content-Length", fault.TooLarge, "POST", "/look", func(_ *testMesh, r *http.Request) {
			r.Body = oversizedBody()
			r.ContentLength = DefaultBodyLimit + 1
		}},
		{"large", fault.TooLarge, "POST", "/look", func(_ *testMesh, r *http.Request) {
			r.Body = oversizedBody()
			r.ContentLength = -1
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runMesh(t, []string{"tides"}, func(t *testing.T, m *testMesh) {
				var ran atomic.Int64
				m.serveTargets(0, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
				res := m.call(c.method, c.path, "", func(r *http.Request) {
					if c.edit != nil {
						c.edit(m, r)
					}
				})
				must.NoError(t, res.err)
				must.Eq(t, c.kind, res.errorBody.Kind, must.Sprint(res.body))
				properties := fault.ResponseFor(c.kind)
				must.Eq(t, properties.Status, res.status)
				must.Eq(t, "not-run", res.header.Get(HeaderOutcome))
				must.Eq(t, properties.RetryAfter > 0, res.header.Get("Retry-After") != "")
				must.Eq(t, res.header.Get(HeaderRequest), res.errorBody.RequestID)
				must.Eq(t, 0, ran.Load())
			})
		})
	}
}

// oversizedBody returns a body that exceeds DefaultBodyLimit by one byte.
func oversizedBody() io.ReadCloser {
	return io.NopCloser(strings.NewReader(strings.Repeat("x", DefaultBodyLimit+1)))
}

// TestMisplacedKeyIsSeenNowhere sends requests on an open route that do not present
// a valid key as bearer token but contain one in another place.
func TestMisplacedKeyIsSeenNowhere(t *testing.T) {
	places := map[string]func(r *http.Request){
		"header":  func(r *http.Request) { r.Header.Set("X-Api-Key", secret) },
		"scheme":  func(r *http.Request) { r.Header.Set("Authorization", "Key "+secret) },
		"cookie":  func(r *http.Request) { r.AddCookie(&http.Cookie{Name: "k", Value: secret}) },
		"query":   func(r *http.Request) { r.URL.RawQuery = "a=1&key=" + secret },
		"encoded": func(r *http.Request) { r.URL.RawQuery = "a=1&key=%53" + secret[1:] },
		"path":    func(r *http.Request) { r.URL.Path += "/" + secret },
	}
	for name, place := range places {
		t.Run(name, func(t *testing.T) {
			runMesh(t, []string{"tides"}, func(t *testing.T, m *testMesh) {
				var seen atomic.Value
				seen.Store("")
				m.serveTargets(0, func(_ http.ResponseWriter, r *http.Request) { seen.Store(fmt.Sprint(r.URL, r.Header)) })
				res := m.call(http.MethodGet, "/open", "", func(r *http.Request) {
					r.Header.Del("Authorization")
					place(r)
				})
				must.Eq(t, name == "path", res.errorBody.Kind == fault.BadRequest)
				must.StrNotContains(t, fmt.Sprint(seen.Load(), m.events.events, res.body), secret[1:])
			})
		})
	}
}

func TestOpenRouteNeedsNoKey(t *testing.T) {
	runMesh(t, []string{"tides"}, func(t *testing.T, m *testMesh) {
		m.serveTargets(0, func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte(r.Header.Get(HeaderTeam))) })
		for _, authorization := range []string{"", "Bearer o", "Bearer " + secret} {
			res := m.call(http.MethodGet, "/open", "", func(r *http.Request) { r.Header.Set("Authorization", authorization) })
			must.Eq(t, "open", res.body)
		}
	})
}

// TestKeyedRouteWithoutTeams checks that a keyed route still requires a key after the last
// team was withdrawn, and that an open route does not.
func TestKeyedRouteWithoutTeams(t *testing.T) {
	runMesh(t, []string{"tides"}, func(t *testing.T, m *testMesh) {
		m.serveTargets(0, func(http.ResponseWriter, *http.Request) {})
		m.config.apply(func(n *version.Note) {
			for _, team := range m.config.state.Entries().Teams {
				n.Withdrawn.Teams = append(n.Withdrawn.Teams, team.Name)
			}
			for _, key := range m.config.state.Entries().Keys {
				n.Withdrawn.Keys = append(n.Withdrawn.Keys, key.Hash)
			}
		})
		for _, authorization := range []string{"", "Bearer o", "Bearer " + secret} {
			set := func(r *http.Request) { r.Header.Set("Authorization", authorization) }
			must.Eq(t, fault.Unauthenticated, m.call(http.MethodGet, "/look", "", set).errorBody.Kind)
			must.Eq(t, http.StatusOK, m.call(http.MethodGet, "/open", "", set).status)
		}
	})
}

// TestCancellationReachesEveryHop checks that a request is canceled at all hops when
// the caller cancels it, or its deadline passes, while the third hop runs.
func TestCancellationReachesEveryHop(t *testing.T) {
	for _, way := range []string{"caller disconnects", "deadline"} {
		t.Run(way, func(t *testing.T) {
			runMesh(t, []string{"tides", "oprema"}, func(t *testing.T, m *testMesh) {
				var canceled atomic.Int64
				m.serveTargets(0, func(_ http.ResponseWriter, r *http.Request) {
					if r.URL.Path != "/deep/3" {
						path := map[string]string{"/look": "/deep/2", "/deep/2": "/deep/3"}[r.URL.Path]
						m.callEgress(context.WithoutCancel(r.Context()), r, http.MethodGet, path)
						return
					}
					<-r.Context().Done()
					canceled.Add(1)
				})
				ctx, cancel := context.WithCancel(t.Context())
				start := time.Now()
				if way == "caller disconnects" {
					time.AfterFunc(100*time.Millisecond, cancel)
				}
				res := m.call(http.MethodGet, "/look", "", func(r *http.Request) {
					*r = *r.WithContext(ctx)
					if way == "deadline" {
						r.Header.Set(HeaderTimeout, "100")
					}
				})
				if way == "deadline" {
					must.Eq(t, fault.DeadlineUnknown, res.errorBody.Kind)
				}
				cancel()
				time.Sleep(20 * time.Millisecond)
				must.Eq(t, 1, canceled.Load(), must.Sprint("the third hop must be canceled"))
				must.Less(t, 130*time.Millisecond, time.Since(start))
			})
		})
	}
}
