package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// releaseGap is the pause between two servers that are replaced.
	releaseGap = time.Second
	// leaveAfter is how long a server serves after its departure is acknowledged: drain_ms and
	// a little more.
	leaveAfter = 2200 * time.Millisecond
	// knownPhase is how long the request comes before the release, and crashPhase after it.
	knownPhase = 10 * time.Second
	crashPhase = 16 * time.Second
)

// release replaces the servers of a service one after the other, in two halves. The servers of
// the new version crash when they begin to run a request that the old ones have served.
func release(rec *record, program string, trouble bool) (bool, error) {
	var sidecars [][2]string
	for i := range 10 {
		sidecars = append(sidecars, [2]string{"orders", zones[i%len(zones)]})
	}
	sidecars = append(sidecars, [2]string{"proofs", zones[0]}, [2]string{"proofs", zones[1]})
	sys, _, err := begin(rec, program, sidecars, []route{{"r-order", "hulo84.example", "/leny950/", "unsafe", 3000, 1500, "orders"}}, []string{"orders", "proofs"})
	if err != nil {
		return false, err
	}
	defer sys.stop()
	d := &deadly{rec: rec, sentAt: make(map[string]time.Time)}
	var servers []*crasher
	for _, m := range sys.sidecars("orders") {
		c := &crasher{d: d, m: m}
		if err := c.start(); err != nil {
			return false, err
		}
		servers = append(servers, c)
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var others sync.WaitGroup
	var sent, served atomic.Int64
	for _, m := range sys.sidecars("proofs") {
		others.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				_, status, _, _ := get(m, fmt.Sprintf("/leny950/order-%d", n), "hulo84.example", 3000)
				sent.Add(1)
				if status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	d.phase(sys.sidecars("proofs"), false, knownPhase)
	for half := range 2 {
		rec.add("release of one half of the servers")
		for i := half; i < len(servers); i += 2 {
			servers[i].replace()
			time.Sleep(releaseGap)
		}
	}
	// Until the last new server is warm.
	time.Sleep(2 * downFor)
	d.mu.Lock()
	d.trouble = trouble
	d.mu.Unlock()
	d.phase(sys.sidecars("proofs"), false, crashPhase)
	close(stop)
	others.Wait()
	return d.verdict(sent.Load(), served.Load())
}

// replace ends the server as planned and starts one of the next version in its place.
func (c *crasher) replace() {
	c.mu.Lock()
	s := c.s
	c.mu.Unlock()
	s.state.Store("draining")
	status, err := s.beat()
	c.d.rec.add("server %s says that it leaves: %d (%v)", s.id, status, err)
	time.Sleep(leaveAfter)
	c.mu.Lock()
	c.s = nil
	close(s.done)
	_ = c.l.Close()
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": s.born})
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Post("http://"+c.m.address(portControl)+"/-/instances/"+s.id+"/leave", "application/json", bytes.NewReader(body)); err == nil {
		_ = resp.Body.Close()
	}
	if err := c.start(); err != nil {
		c.d.rec.add("the server of %s can't start again: %v", c.m.name, err)
	}
}
