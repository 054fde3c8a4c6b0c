package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// server is the server beside the process of a machine. It checks in as the pages say, and
// answers each request with handle.
type server struct {
	machine *machine
	id      string
	born    int64
	slots   int
	// coldFor is how long the server is cold after its start.
	coldFor time.Duration
	seq     atomic.Int64
	state   atomic.Value // "ready" or "draining"
	handle  func(s *server, conn net.Conn, in *bufio.Reader, r *http.Request) (keep bool)
	done    chan struct{}
}

func startServer(m *machine, id string, handle func(s *server, conn net.Conn, in *bufio.Reader, r *http.Request) bool) (*server, error) {
	s := &server{machine: m, id: id, born: time.Now().UnixMilli(), slots: 121, handle: handle, done: make(chan struct{})}
	s.state.Store("ready")
	l, err := net.Listen("tcp", m.address(portApp))
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	go s.checkIn()
	return s, nil
}

// serve serves one request at a time on a connection.
func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReaderSize(conn, 16<<10)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
			_, _ = io.Copy(io.Discard, r.Body)
			s.answer(conn, r, http.StatusMisdirectedRequest, nil, "Not-Executed: 1\r\n")
			continue
		}
		if !s.handle(s, conn, in, r) {
			return
		}
	}
}

// answer writes a whole answer.
func (s *server) answer(conn net.Conn, r *http.Request, status int, body []byte, headers string) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n", status, http.StatusText(status), r.Header.Get("Request-Id"))
	if !strings.Contains(headers, "Not-Executed") {
		fmt.Fprintf(&b, "Server-Stamp: %s\r\n", s.stamp(r))
	}
	fmt.Fprintf(&b, "%sContent-Length: %d\r\n\r\n", headers, len(body))
	b.Write(body)
	_, _ = conn.Write(b.Bytes())
}

func (s *server) stamp(r *http.Request) string { return s.id + "." + r.Header.Get("Request-Id") }

// checkIn reports the state of the server every heartbeat_ms.
func (s *server) checkIn() {
	ticker := time.NewTicker(1500 * time.Millisecond)
	defer ticker.Stop()
	for {
		if _, err := s.beat(); err != nil {
			time.Sleep(200 * time.Millisecond)
			select {
			case <-s.done:
				return
			default:
				continue
			}
		}
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
	}
}

// coldLeft returns how many milliseconds a server that was started anew stays cold.
func (s *server) coldLeft() int64 {
	if s.coldFor == 0 {
		return 0
	}
	return max(s.born+s.coldFor.Milliseconds()-time.Now().UnixMilli(), 0)
}

func (s *server) beat() (int, error) {
	body, _ := json.Marshal(map[string]any{
		"address": s.machine.address(portApp), "born": s.born,
		"info":   map[string]any{"service": s.machine.service, "version": "v1", "zone": s.machine.zone, "slots": s.slots},
		"status": map[string]any{"state": s.state.Load(), "seq": s.seq.Add(1), "cold_left_ms": s.coldLeft()},
	})
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+s.machine.address(portControl)+"/-/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}
