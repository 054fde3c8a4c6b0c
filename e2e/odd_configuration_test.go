package e2e

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/emulator/system"
)

// neverHeld is a key that no configuration has.
const neverHeld = "n3verh3ld"

// meshText returns a configuration with the given rows of routes. more is put before its
// end and begins with a comma, or is empty.
func meshText(revision, base int, routes, more string) string {
	return fmt.Sprintf(`{"version":"r%d","base_version":"r%d","routes":{"columns":["name","host","prefix","kind","timeout_ms","public","service"],"rows":[%s]},`+
		`"services":{"columns":["name"],"rows":[["s"],["t"]]},"limits":{"max_body_bytes":1048576}%s}`, revision, base, routes, more)
}

// status returns the status of a request with an API key, or with none if key is empty.
// It is 0 if there is no response.
func (p *meshProcess) status(path, key string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+p.address(entryPort)+path, nil)
	must.NoError(p.mesh.t, err)
	request.Host = "h.example"
	if key != "" {
		request.Header.Set("X-Api-Key", key)
	}
	response, err := p.mesh.client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// awaitStatus waits until all daemons respond with the status, and fails after formTimeout.
// Without targets, a request that is let through gets the status 503.
func (m *mesh) awaitStatus(want int, path, key string) {
	m.t.Helper()
	must.NoError(m.t, system.Await(formTimeout, func() error {
		for _, d := range m.daemons {
			if got := d.status(path, key); got != want {
				return fmt.Errorf("%s responds to %s with key %q with the status %d, want %d", d.name, path, key, got, want)
			}
		}
		return nil
	}))
}

// restart kills all processes at the same moment and starts them again.
func (m *mesh) restart() {
	for _, p := range m.processes() {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range m.processes() {
		<-p.finished
		p.start()
	}
}

// checkReadBack waits until a replica returns the text of the configuration.
func (m *mesh) checkReadBack(want string) {
	m.t.Helper()
	must.NoError(m.t, system.Await(formTimeout, func() error {
		response, err := m.client.Get("http://" + m.replicas[0].address(controlPort) + "/-/config/get")
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		got, err := io.ReadAll(response.Body)
		if err == nil && string(got) != want {
			err = fmt.Errorf("read %s", got)
		}
		return err
	}))
}

// TestTableOfTeamsWithoutRows guards against requests that run with any key once the
// configuration has a table of teams without rows.
func TestTableOfTeamsWithoutRows(t *testing.T) {
	const (
		routes = `["keyed","h.example","/keyed/","safe",1000,false,"s"],["public","h.example","/public/","safe",1000,true,"s"]`
		empty  = `,"tenants":{"columns":["name","api_keys"],"rows":[]}`
		one    = `,"tenants":{"columns":["name","api_keys"],"rows":[["team",["key-1"]]]}`
	)
	m := startMesh(t, 2)
	revision := 0
	put := func(more string) string {
		revision++
		text := meshText(revision, revision-1, routes, more)
		m.put(revision, []byte(text))
		return text
	}
	checkClosed := func(key string) {
		t.Helper()
		m.awaitStatus(http.StatusUnauthorized, "/keyed/x", key)
		m.awaitStatus(http.StatusUnauthorized, "/keyed/x", "")
		m.awaitStatus(http.StatusServiceUnavailable, "/public/x", "")
	}
	first := put(empty)
	checkClosed(neverHeld)
	m.restart()
	checkClosed(neverHeld)
	m.checkReadBack(first)

	put("")
	m.awaitStatus(http.StatusServiceUnavailable, "/keyed/x", neverHeld)
	put(empty)
	checkClosed(neverHeld)

	put(one)
	m.awaitStatus(http.StatusServiceUnavailable, "/keyed/x", "key-1")
	last := put(strings.Replace(empty, `,"rows":[]`, "", 1))
	checkClosed("key-1")
	m.restart()
	checkClosed("key-1")
	m.checkReadBack(last)
	// What a restarted system rejects until it has a configuration is no sign of one.
	time.Sleep(inForceLimit)
	checkClosed("key-1")
}

// TestRoutesThatShareAName guards against routes that get 404 because another one has their
// name.
func TestRoutesThatShareAName(t *testing.T) {
	const (
		orders = `["r","h.example","/orders/","unsafe",1000,true,"s"]`
		stock  = `["r","h.example","/stock/","safe",2000,true,"t"]`
		none   = `[null,"h.example","/none/","safe",2000,true,"t"]`
		nobody = `[null,"h.example","/nobody/","safe",2000,true,"s"]`
	)
	m := startMesh(t, 2)
	revision := 0
	put := func(rows ...string) {
		revision++
		text := meshText(revision, revision-1, strings.Join(rows, ","), "")
		m.put(revision, []byte(text))
		m.checkReadBack(text)
	}
	checkRoutes := func(paths ...string) {
		t.Helper()
		for _, path := range []string{"/orders/", "/stock/", "/none/", "/nobody/"} {
			want := http.StatusNotFound
			if slices.Contains(paths, path) {
				want = http.StatusServiceUnavailable
			}
			m.awaitStatus(want, path, "")
		}
	}
	put(orders, stock, none, nobody)
	checkRoutes("/orders/", "/stock/", "/none/", "/nobody/")
	m.restart()
	checkRoutes("/orders/", "/stock/", "/none/", "/nobody/")
	put(stock, none)
	checkRoutes("/stock/", "/none/")
	put(orders, stock, strings.Replace(none, "none", "nobody", 1))
	checkRoutes("/orders/", "/stock/", "/nobody/")
	m.restart()
	checkRoutes("/orders/", "/stock/", "/nobody/")
	put(orders)
	checkRoutes("/orders/")
}

// TestTeamsThatShareAName guards against requests that are rejected because another team with
// the same name is over its rate, and against public ones that pay for a team without a name.
func TestTeamsThatShareAName(t *testing.T) {
	const (
		routes   = `["keyed","h.example","/keyed/","safe",1000,false,"s"],["public","h.example","/public/","safe",1000,true,"s"]`
		teams    = `,"tenants":{"columns":["name","api_keys","rate_per_s","burst"],"rows":[["team",["free"],0,0],["team",["slow"],0.5,1],[null,["slower"],0.5,1]]}`
		requests = 40
	)
	m := startMesh(t, 2)
	m.put(1, []byte(meshText(1, 0, routes, teams)))
	m.awaitStatus(http.StatusUnauthorized, "/keyed/x", neverHeld)
	for _, c := range []struct {
		path, key string
		limited   bool
	}{{"/keyed/x", "slow", true}, {"/keyed/x", "slower", true}, {"/keyed/x", "free", false}, {"/public/x", "", false}} {
		rejected := 0
		for i := range requests {
			if m.daemons[i%2].status(c.path, c.key) == http.StatusTooManyRequests {
				rejected++
			}
		}
		must.Eq(t, c.limited, rejected > 0, must.Sprintf("%s with key %q: %d of %d rejected", c.path, c.key, rejected, requests))
	}
}
