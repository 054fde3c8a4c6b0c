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
	lostClients   = 4
	lostUploads   = 3
	lostBodyBytes = 2 << 20
	// lostPieceBytes are sent every lostPause.
	lostPieceBytes = 64 << 10
	lostPause      = 50 * time.Millisecond
	lostReadBytes  = 128 << 10
	lostAllowed    = 3
)

// lostAnswers sends requests with long bodies, on kept connections, to servers that answer before
// they have read them. The clients read the answer once they have sent the whole request.
func lostAnswers(r *record, trouble bool) (verdict, error) {
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
		controller := http.NewResponseController(w)
		if err := controller.EnableFullDuplex(); err != nil {
			panic(err)
		}
		n, err := io.CopyN(io.Discard, req.Body, lostReadBytes)
		write := func() {
			w.Header().Set("Content-Length", "4")
			_, _ = w.Write([]byte("done"))
			_ = controller.Flush()
			r.add("server %s: request %s: answered 200 after %d bytes of the body", s.id, id, n)
		}
		if trouble {
			write()
		}
		if err == nil {
			var rest int64
			rest, err = io.Copy(io.Discard, req.Body)
			n += rest
		}
		r.add("server %s: request %s: %d bytes of the body received, error %v", s.id, id, n, err)
		if !trouble {
			write()
		}
	}
	for _, m := range c.sidecars {
		s, err := c.startServer(m, 149, handle)
		if err != nil {
			return notRun, err
		}
		defer s.close()
	}
	routes := []route{{name: "upload", prefix: "/upload/", kind: "unsafe", service: "uploads", timeoutMS: 10000, goalMS: 5000, attempts: 2}}
	if err := c.order("/-/config/put", configuration(1, 0, routes, []string{"uploads", "front"}), 20*time.Second); err != nil {
		return notRun, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	var answered, lost, others atomic.Int64
	var clients sync.WaitGroup
	for i := range lostClients {
		clients.Go(func() {
			cl := &client{address: c.address(c.sidecars[i%len(c.sidecars)], c.ports.outbound), piece: lostPieceBytes, pause: lostPause}
			defer cl.close()
			for n := range 2 * lostUploads {
				body := make([]byte, 10)
				if n%2 == 1 {
					body = make([]byte, lostBodyBytes)
				}
				id := fmt.Sprintf("%08x%08x", 0x105700, i<<16|n)
				a, err := cl.do("POST", "/upload/x", id, 10000, body)
				_, passedOn := begun.Load(id)
				r.add("client %d: request %s of %d bytes, kept connection %t: status %d, error %v, passed on to a server %t", i, id, len(body), a.kept, a.status, err, passedOn)
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
	r.say("%d requests answered, %d passed on from kept connections that were then closed without an answer, %d others failed", answered.Load(), lost.Load(), others.Load())
	switch {
	case lost.Load() > lostAllowed:
		return broken, nil
	case answered.Load() == 0:
		return notRun, fmt.Errorf("no request was answered")
	}
	return held, nil
}
