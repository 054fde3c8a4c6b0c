package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// keysApply is apply_ms.
	keysApply    = 2 * time.Second
	keysRequests = 10
	neverHeld    = "n3verh3ldn3verh3ld00"
)

// withoutKeys gives the only tenant up: the next configuration has the table of tenants, and no
// row in it. Without trouble, the tenant stays and only its key is taken away.
func withoutKeys(r *record, trouble bool) (verdict, error) {
	c, err := newCluster(r, []string{"pay", "pay", "front"})
	if err != nil {
		return notRun, err
	}
	defer c.stop()
	if err := c.startAll(); err != nil {
		return notRun, err
	}
	var ran sync.Map
	handle := func(s *server, w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("Request-Id")
		ran.Store(id, true)
		r.add("server %s: runs request %s, Tenant %q", s.id, id, req.Header.Get("Tenant"))
		_, _ = w.Write([]byte("done"))
	}
	for _, m := range c.sidecars {
		s, err := c.startServer(m, 149, handle)
		if err != nil {
			return notRun, err
		}
		defer s.close()
	}
	routes := []route{{name: "pay", prefix: "/pay/", kind: "unsafe", service: "pay", timeoutMS: 5000, goalMS: 1500, attempts: 2}}
	services := []string{"pay", "front"}
	if err := c.order("/-/config/put", configuration(1, 0, routes, services), 20*time.Second); err != nil {
		return notRun, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	n := 0
	// send sends requests with a key to each machine. It returns how many servers ran.
	send := func(when, key string) (run int) {
		for _, m := range c.sidecars {
			cl := &client{address: c.address(m, c.ports.outbound), key: key}
			for range keysRequests {
				n++
				id := fmt.Sprintf("%08x%08x", 0x6e75, n)
				a, err := cl.do("POST", "/pay/x", id, 5000, []byte("a payment"))
				_, served := ran.Load(id)
				r.add("client at %s, %s: request %s with key %s: status %d, error %v, run %t", m.name, when, id, key, a.status, err, served)
				if served {
					run++
				}
			}
			cl.close()
		}
		return run
	}
	before := send("before the change", apiKey)
	wrong := send("before the change", neverHeld)
	next := configuration(2, 1, routes, services)
	if trouble {
		next = replace(next, fmt.Sprintf(`"rows":[["%s",["%s"],0,0,0]]`, tenant, apiKey), `"rows":[]`)
	} else {
		next = replace(next, fmt.Sprintf(`["%s"]`, apiKey), `[]`)
	}
	r.add("operator: sends %s", next)
	if err := c.order("/-/config/put", next, 20*time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(keysApply + time.Second)
	dropped := send("later than apply_ms after the ack", apiKey)
	never := send("later than apply_ms after the ack", neverHeld)
	total := keysRequests * len(c.sidecars)
	r.say("before: %d of %d run with the key, %d with one that no config ever held; after: %d of %d run with the key that was dropped, %d with one that no config ever held", before, total, wrong, dropped, total, never)
	switch {
	case before == 0:
		return notRun, fmt.Errorf("no request was run")
	case wrong > 0 || dropped > 0 || never > 0:
		return broken, nil
	}
	return held, nil
}

// replace replaces a part of a body, which must be there.
func replace(body []byte, old, with string) []byte {
	if !bytes.Contains(body, []byte(old)) {
		panic("the body has no " + old)
	}
	return bytes.Replace(body, []byte(old), []byte(with), 1)
}
