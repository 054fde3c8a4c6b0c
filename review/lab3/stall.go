package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	stalledClients  = 2000
	ordinaryClients = 10
	stallTime       = 20 * time.Second
	// stallContact is contact_ms.
	stallContact = 3 * time.Second
)

// stalledBodies lets clients begin bodies that they do not go on with, while ordinary clients
// open new connections.
func stalledBodies(r *record, trouble bool) (verdict, error) {
	c, err := newCluster(r, []string{"view", "view", "front"})
	if err != nil {
		return notRun, err
	}
	defer c.stop()
	if err := c.startAll(); err != nil {
		return notRun, err
	}
	handle := func(s *server, w http.ResponseWriter, req *http.Request) { _, _ = w.Write([]byte("done")) }
	for _, m := range c.sidecars {
		s, err := c.startServer(m, 149, handle)
		if err != nil {
			return notRun, err
		}
		defer s.close()
	}
	routes := []route{{name: "view", prefix: "/view/", kind: "safe", service: "view", timeoutMS: 5000, goalMS: 1500, attempts: 2}}
	if err := c.order("/-/config/put", configuration(1, 0, routes, []string{"view", "front"}), 20*time.Second); err != nil {
		return notRun, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	front := c.sidecars[2]
	address := c.address(front, c.ports.outbound)
	end := time.Now().Add(stallTime)
	var clients sync.WaitGroup
	var open atomic.Int64
	if trouble {
		for i := range stalledClients {
			clients.Go(func() {
				for time.Now().Before(end) {
					conn, err := net.DialTimeout("tcp", address, time.Second)
					if err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					open.Add(1)
					_, _ = fmt.Fprintf(conn, "POST /view/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %016x\r\nDeadline-Ms: 30000\r\nX-Api-Key: %s\r\nContent-Length: 1000\r\n\r\nbegin", host, 0x5a11<<32|i, apiKey)
					_ = conn.SetReadDeadline(end)
					_, _ = conn.Read(make([]byte, 1000))
					_ = conn.Close()
					open.Add(-1)
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		time.Sleep(2 * time.Second)
	}
	var mu sync.Mutex
	lastServed := time.Now()
	var longest time.Duration
	var answered, refused, ready atomic.Int64
	for i := range ordinaryClients {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				cl := &client{address: address}
				a, err := cl.do("GET", "/view/x", fmt.Sprintf("%08x%08x", 0x0d1a, i<<16|n), 5000, nil)
				cl.close()
				if err != nil || a.status != http.StatusOK {
					refused.Add(1)
					r.add("client %d: request %d: status %d, error %v", i, n, a.status, err)
				} else {
					answered.Add(1)
					mu.Lock()
					longest = max(longest, time.Since(lastServed))
					lastServed = time.Now()
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Go(func() {
		for time.Now().Before(end) {
			status, _, err := c.call("GET", c.address(front, c.ports.ready), "/-/ready", nil)
			r.add("platform: ready: status %d, error %v; %d stalled connections", status, err, open.Load())
			if status == http.StatusOK {
				ready.Add(1)
			}
			time.Sleep(time.Second)
		}
	})
	clients.Wait()
	longest = max(longest, time.Since(lastServed))
	r.say("%d new connections of ordinary clients served, %d not; longest time without one %.1f s; ready %d times", answered.Load(), refused.Load(), longest.Seconds(), ready.Load())
	if longest >= stallContact {
		return broken, nil
	}
	return held, nil
}
