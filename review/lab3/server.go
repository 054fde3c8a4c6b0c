package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// server is a stand-in of a target: it listens at the address of the application of its machine,
// sends check-ins, and serves requests as the protocol page says. A case supplies what it does
// with a request.
type server struct {
	cluster *cluster
	machine *machine
	id      string
	born    int64
	slots   int
	seq     atomic.Int64
	stamps  atomic.Int64
	http    *http.Server
	stop    context.CancelFunc
	// handle serves one request that this server runs.
	handle func(s *server, w http.ResponseWriter, r *http.Request)
}

// startServer starts the server of a machine.
func (c *cluster) startServer(m *machine, slots int, handle func(*server, http.ResponseWriter, *http.Request)) (*server, error) {
	ln, err := net.Listen("tcp", c.address(m, c.ports.app))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &server{cluster: c, machine: m, id: "i-" + m.name, born: time.Now().UnixMilli(), slots: slots, stop: stop, handle: handle}
	s.http = &http.Server{Handler: s, IdleTimeout: 60 * time.Second}
	go func() { _ = s.http.Serve(ln) }()
	go s.beat(ctx)
	return s, nil
}

// close ends the server.
func (s *server) close() {
	s.stop()
	_ = s.http.Close()
}

// beat sends a check-in every 1.5 s, and again after 0.2 s if it was not acknowledged.
func (s *server) beat(ctx context.Context) {
	for {
		body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","seq":%d,"cold_left_ms":0}}`,
			s.cluster.address(s.machine, s.cluster.ports.app), s.born, s.machine.service, s.machine.zone, s.slots, s.seq.Add(1))
		pause := 1500 * time.Millisecond
		status, _, err := s.cluster.call("POST", s.cluster.address(s.machine, s.cluster.ports.control), "/-/instances/"+s.id+"/heartbeat", []byte(body))
		if err != nil || status/100 != 2 {
			pause = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	expected := r.Header.Get("Expect-Instance")
	switch {
	case expected != "" && expected != s.id:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%d", s.id, s.stamps.Add(1)))
	s.handle(s, w, r)
}

// deadline returns when the server stops work on a request.
func deadline(r *http.Request) time.Time {
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		ms = 30000
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}

// readAll reads a body to its end.
func readAll(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(r)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return b, err
}
