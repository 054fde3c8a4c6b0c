package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	limitClients = 18
	limitRounds  = 4
	// limitBodyBytes are sent in pieces of limitPieceBytes every limitPause: in four seconds.
	limitBodyBytes  = 400 << 10
	limitPieceBytes = 5 << 10
	limitPause      = 50 * time.Millisecond
	// limitMS is the time limit of the route at first, limitLowMS the one that it is changed to.
	limitMS    = 6000
	limitLowMS = 1200
	// limitAllowed is the number of requests that may be lost.
	limitAllowed = 3
)

// timeLimit lowers the time limit of a route below the time that the bodies of its requests take.
func timeLimit(r *record, trouble bool) (verdict, error) {
	c, err := newCluster(r, []string{"uploads", "uploads", "front"})
	if err != nil {
		return notRun, err
	}
	defer c.stop()
	if err := c.startAll(); err != nil {
		return notRun, err
	}
	var begun sync.Map
	handle := func(s *server, w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("Request-Id")
		begun.Store(id, true)
		if err := http.NewResponseController(w).SetReadDeadline(deadline(req)); err != nil {
			panic(err)
		}
		body, err := readAll(req.Body)
		r.add("server %s: request %s, Deadline-Ms %s: %d bytes of the body received, error %v", s.id, id, req.Header.Get("Deadline-Ms"), len(body), err)
		if err != nil {
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		_, _ = w.Write([]byte("done"))
	}
	for _, m := range c.sidecars {
		s, err := c.startServer(m, 149, handle)
		if err != nil {
			return notRun, err
		}
		defer s.close()
	}
	upload := route{name: "upload", prefix: "/upload/", kind: "unsafe", service: "uploads", timeoutMS: limitMS, goalMS: 1000, attempts: 2}
	services := []string{"uploads", "front"}
	if err := c.order("/-/config/put", configuration(1, 0, []route{upload}, services), 20*time.Second); err != nil {
		return notRun, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		upload.timeoutMS = limitLowMS
	}
	if err := c.order("/-/config/put", configuration(2, 1, []route{upload}, services), 20*time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(3 * time.Second)
	var answered, lost, others atomic.Int64
	var clients sync.WaitGroup
	for i := range limitClients {
		clients.Go(func() {
			m := c.sidecars[i%len(c.sidecars)]
			cl := &client{address: c.address(m, c.ports.outbound), piece: limitPieceBytes, pause: limitPause, readMeanwhile: true}
			defer cl.close()
			for n := range 2 * limitRounds {
				body := make([]byte, 10) // a short request, so that the long one comes on a kept connection
				if n%2 == 1 {
					body = make([]byte, limitBodyBytes)
				}
				id := fmt.Sprintf("%08x%08x", 0x11417, i<<16|n)
				began := time.Now()
				a, err := cl.do("POST", "/upload/x", id, 8000, body)
				_, passedOn := begun.Load(id)
				r.add("client %d at %s: request %s of %d bytes, kept connection %t: status %d, error %v after %.3f s, passed on to a server %t", i, m.name, id, len(body), a.kept, a.status, err, time.Since(began).Seconds(), passedOn)
				switch {
				case err == nil:
					answered.Add(1)
				case passedOn && a.kept:
					lost.Add(1)
				default:
					others.Add(1)
				}
			}
		})
	}
	clients.Wait()
	r.say("%d requests answered, %d passed on from kept connections that were then closed without an answer, %d others", answered.Load(), lost.Load(), others.Load())
	switch {
	case lost.Load() > limitAllowed:
		return broken, nil
	case answered.Load() == 0:
		return notRun, fmt.Errorf("no request was answered")
	}
	return held, nil
}
