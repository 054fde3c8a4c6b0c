package e2e

import (
	"fmt"
	"strings"
	"sync"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/emulator/system"
)

// load sends requests from several concurrent clients, each one request after the
// other, and keeps the results.
type load struct {
	h       *harness
	done    chan struct{}
	clients sync.WaitGroup
	// noRetry sends only requests that net/http does not resend by itself, because
	// that would hide the outcome of the first attempt.
	noRetry bool

	mu      sync.Mutex
	results []result
}

// result is one request of a client and the response to it.
type result struct {
	// marker is the query of the URL. A once request also has it as its
	// Idempotency-Key.
	marker   string
	once     bool
	response system.Response
	err      error
	// duplicate is the response to the same once request, sent again to another
	// instance. It is nil if the request was not sent again, or if the second
	// attempt got no response. In the latter case duplicateErr is set, and it is
	// unknown whether that attempt ran.
	duplicate    *system.Response
	duplicateErr error
}

// loadClients is the number of concurrent clients of a load.
const loadClients = 4

// services is the number of services in a call chain.
const services = 3

// startLoad sends requests to the given instances until finish is called. Every
// second request of a client is a once request and is sent twice.
func (h *harness) startLoad(instances ...string) *load {
	l := &load{h: h, done: make(chan struct{})}
	l.start(instances)
	return l
}

func (l *load) start(instances []string) {
	for c := range loadClients {
		l.clients.Go(func() { l.run(c, instances) })
	}
}

func (l *load) run(c int, instances []string) {
	client := system.NewClient()
	defer client.Close()
	for n := 0; ; n++ {
		select {
		case <-l.done:
			return
		default:
		}
		r := result{marker: fmt.Sprintf("load-%d-%d-x", c, n), once: n%2 == 1}
		request := system.Request{Ingress: l.h.Instance(instances[(c+n)%len(instances)]).Ingress, Method: "GET", Path: "/slots?" + r.marker, Key: l.h.Keys["A"].Secret}
		if r.once {
			request.Method, request.Path, request.OnceKey = "POST", "/book?"+r.marker, r.marker
		}
		if l.noRetry {
			request.Method, request.Body, request.NoRetry = "POST", "x", true
		}
		r.response, r.err = client.Do(request)
		if r.once {
			request.Ingress = l.h.Instance(instances[(c+n+1)%len(instances)]).Ingress
			again, err := client.Do(request)
			if r.duplicateErr = err; err == nil {
				r.duplicate = &again
			}
		}
		l.mu.Lock()
		l.results = append(l.results, r)
		l.mu.Unlock()
	}
}

// countSuccesses returns the number of requests so far that got a complete
// response with status 200.
func (l *load) countSuccesses() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	successes := 0
	for _, r := range l.results {
		if r.err == nil && r.response.Status == 200 {
			successes++
		}
	}
	return successes
}

// finish stops the load and compares the results with the records of the targets.
func (l *load) finish() {
	t := l.h.t
	t.Helper()
	close(l.done)
	l.clients.Wait()
	runs := l.h.runs()
	outcomes := make(map[string]int)
	for _, r := range l.results {
		if r.err != nil {
			outcomes["no response"]++
		} else {
			outcomes[fmt.Sprintf("%d %s %s", r.response.Status, r.response.Outcome, r.response.Kind)]++
		}
		l.check(r, runs[r.marker])
	}
	t.Logf("%d requests: %v", len(l.results), outcomes)
}

// check compares the responses to one request with its runs, counted by service. A
// once request must run at most once at each service. If both of its responses have
// status 200, their bodies must be equal. A request must not have run if all its
// attempts got the outcome not-run. It must have run at each service if its first
// response has status 200.
func (l *load) check(r result, ran map[string]int) {
	t := l.h.t
	t.Helper()
	if r.once {
		for service, count := range ran {
			must.LessEq(t, 1, count, must.Sprintf("%s ran %d times at %s", r.marker, count, service))
		}
	}
	if r.err != nil {
		return
	}
	if r.duplicate != nil && r.response.Status == 200 && r.duplicate.Status == 200 {
		must.Eq(t, string(r.response.Body), string(r.duplicate.Body), must.Sprint(r.marker))
	}
	switch {
	case r.response.Outcome == "not-run" && r.duplicateErr == nil && (r.duplicate == nil || r.duplicate.Outcome == "not-run"):
		must.MapEmpty(t, ran, must.Sprintf("%s ran, but got the response %s", r.marker, r.response))
	case r.response.Status == 200:
		must.Eq(t, "tides blagajna oprema", strings.Join(r.response.Target.Chain(), " "))
		must.Eq(t, services, len(ran), must.Sprint(r.marker))
	}
}

// runs returns how often each request ran at each service, by marker and service.
func (h *harness) runs() map[string]map[string]int {
	h.t.Helper()
	all := make(map[string]map[string]int)
	for _, i := range h.Instances {
		records, err := i.Records()
		must.NoError(h.t, err)
		for _, r := range records {
			_, marker, _ := strings.Cut(r.URL, "?")
			if all[marker] == nil {
				all[marker] = make(map[string]int)
			}
			all[marker][i.Service]++
		}
	}
	return all
}

// awaitSuccesses waits until n more requests have got a complete response with
// status 200.
func (l *load) awaitSuccesses(n int) {
	l.h.t.Helper()
	want := l.countSuccesses() + n
	must.NoError(l.h.t, system.Await(settleTimeout, func() error {
		if have := l.countSuccesses(); have < want {
			return fmt.Errorf("%d of %d requests succeeded", have, want)
		}
		return nil
	}))
}
