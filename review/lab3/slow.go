package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slowUploads   = 4
	slowBodyBytes = 24 << 20
	// slowPieceBytes are sent every slowPause: 24 MB in about a second.
	slowPieceBytes = 256 << 10
	slowPause      = 10 * time.Millisecond
	// slowReadBytes is what a server reads of a body before it stops for slowStop.
	slowReadBytes = 128 << 10
	slowStop      = 2500 * time.Millisecond
	// slowAllowed is the number of requests that may be lost.
	slowAllowed = 3
)

// slowReading sends requests with long bodies, on kept connections, to servers that stop reading
// for a while.
func slowReading(r *record, trouble bool) (verdict, error) {
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
		n, err := io.CopyN(io.Discard, req.Body, slowReadBytes)
		if err == nil {
			if trouble {
				time.Sleep(slowStop)
			}
			var rest int64
			rest, err = io.Copy(io.Discard, req.Body)
			n += rest
		}
		r.add("server %s: request %s: %d bytes of the body received, error %v", s.id, id, n, err)
		_, _ = w.Write([]byte("done"))
	}
	for _, m := range c.sidecars {
		s, err := c.startServer(m, 149, handle)
		if err != nil {
			return notRun, err
		}
		defer s.close()
	}
	routes := []route{{name: "upload", prefix: "/upload/", kind: "unsafe", service: "uploads", timeoutMS: 5000, goalMS: 1500, attempts: 2}}
	if err := c.order("/-/config/put", configuration(1, 0, routes, []string{"uploads", "front"}), 20*time.Second); err != nil {
		return notRun, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	var answered, lost, others atomic.Int64
	var clients sync.WaitGroup
	for i, m := range c.sidecars {
		clients.Go(func() {
			cl := &client{address: c.address(m, c.ports.outbound), piece: slowPieceBytes, pause: slowPause}
			defer cl.close()
			for n := range 2 * slowUploads {
				body := make([]byte, 10) // a short request, so that the long one comes on a kept connection
				if n%2 == 1 {
					body = make([]byte, slowBodyBytes)
				}
				id := fmt.Sprintf("%08x%08x", 0x510f, i<<16|n)
				began := time.Now()
				a, err := cl.do("POST", "/upload/x", id, 6000, body)
				_, passedOn := begun.Load(id)
				r.add("client at %s: request %s of %d bytes, kept connection %t: status %d, error %v after %.1f s, passed on to a server %t", m.name, id, len(body), a.kept, a.status, err, time.Since(began).Seconds(), passedOn)
				switch {
				case err == nil && a.status == http.StatusOK:
					answered.Add(1)
				case err != nil && passedOn && a.kept:
					lost.Add(1)
				default:
					others.Add(1)
				}
			}
		})
	}
	clients.Wait()
	r.say("%d requests answered with 200, %d passed on from kept connections that were then closed without an answer, %d others", answered.Load(), lost.Load(), others.Load())
	switch {
	case lost.Load() > slowAllowed:
		return broken, nil
	case answered.Load() == 0:
		return notRun, fmt.Errorf("no request was answered")
	}
	return held, nil
}
