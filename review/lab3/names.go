package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	namesRequests = 20
	// namesDenied is the number of requests that may be refused.
	namesDenied = 10
)

// sameName adds a route to a configuration. Without trouble, it has a name of its own.
func sameName(r *record, trouble bool) (verdict, error) {
	c, err := newCluster(r, []string{"orders", "stock", "front"})
	if err != nil {
		return notRun, err
	}
	defer c.stop()
	if err := c.startAll(); err != nil {
		return notRun, err
	}
	var run atomic.Int64
	handle := func(s *server, w http.ResponseWriter, req *http.Request) {
		run.Add(1)
		r.add("server %s: runs request %s", s.id, req.Header.Get("Request-Id"))
		_, _ = w.Write([]byte("done"))
	}
	for _, m := range c.sidecars {
		s, err := c.startServer(m, 149, handle)
		if err != nil {
			return notRun, err
		}
		defer s.close()
	}
	services := []string{"orders", "stock", "front"}
	orders := route{name: "r-e9itfrz", prefix: "/orders/", kind: "unsafe", service: "orders", timeoutMS: 5000, goalMS: 1500, attempts: 2}
	stock := route{name: "r-m2d54xb", prefix: "/stock/", kind: "safe", service: "stock", timeoutMS: 5000, goalMS: 1500, attempts: 2}
	if trouble {
		stock.name = orders.name
	}
	if err := c.order("/-/config/put", configuration(1, 0, []route{orders}, services), 20*time.Second); err != nil {
		return notRun, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	n := 0
	send := func(path string) (served, denied int) {
		for _, m := range c.sidecars {
			cl := &client{address: c.address(m, c.ports.outbound)}
			for range namesRequests {
				n++
				id := fmt.Sprintf("%08x%08x", 0x6e61, n)
				a, err := cl.do("POST", path, id, 5000, []byte("an order"))
				r.add("client at %s: request %s for %s: status %d, error %v", m.name, id, path, a.status, err)
				switch {
				case err == nil && a.status == http.StatusOK:
					served++
				case err == nil && a.status == http.StatusNotFound:
					denied++
				}
			}
			cl.close()
		}
		return served, denied
	}
	before, _ := send("/orders/x")
	next := configuration(2, 1, []route{orders, stock}, services)
	r.add("operator: sends %s", next)
	if err := c.order("/-/config/put", next, 10*time.Second); err != nil {
		if trouble {
			// To refuse the change is sound too: nothing else is in force then.
			r.say("the change was not acknowledged: %v", err)
			return held, nil
		}
		return notRun, err
	}
	time.Sleep(3 * time.Second)
	for _, m := range c.cores {
		status, text, err := c.call("GET", c.address(m, c.ports.control), "/-/config/get", nil)
		r.add("operator: read of the config at %s: status %d, error %v, the same as sent %t", m.name, status, err, text == string(next))
	}
	after, denied := send("/orders/x")
	added, deniedAdded := send("/stock/x")
	r.say("before the change %d of %d served on the first route; after its ack %d served and %d refused with 404 on the first route, %d and %d on the one that was added", before, namesRequests*len(c.sidecars), after, denied, added, deniedAdded)
	switch {
	case before == 0:
		return notRun, fmt.Errorf("no request was served")
	case denied > namesDenied || deniedAdded > namesDenied:
		return broken, nil
	}
	return held, nil
}
