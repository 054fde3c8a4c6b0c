package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	startTime = 30 * time.Second
	// earlyBody is the length of a request body, earlyRead what the server has read of it
	// when it answers, and earlyAnswer the length of the answer.
	earlyBody   = 1 << 20
	earlyRead   = 96 << 10
	earlyAnswer = 400 << 10
	earlyPieces = 25
	earlyRuns   = 5
)

// numbered returns bytes of which each group of eight is its number.
func numbered(n int) []byte {
	b := make([]byte, n)
	for i := 0; i+8 <= n; i += 8 {
		binary.BigEndian.PutUint64(b[i:], uint64(i/8))
	}
	return b
}

// early sends long bodies to a server that answers before it has read them, keeps the
// connection and reads on. The bytes that it reads must be those that the client sent.
func early(rec *record, program string, trouble bool) (bool, error) {
	var wrong, runs, answered atomic.Int64
	body := numbered(earlyBody)
	handle := func(s *server, conn net.Conn, _ *bufio.Reader, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		runs.Add(1)
		rec.add("server %s runs %s, body of %d bytes", s.id, id, r.ContentLength)
		before := earlyBody
		if trouble {
			before = earlyRead
		}
		got, differs := 0, -1
		read := func(limit int) error {
			buf := make([]byte, 16<<10)
			for got < limit {
				n, err := r.Body.Read(buf[:min(len(buf), limit-got)])
				for i := range n {
					if differs < 0 && buf[i] != body[got+i] {
						differs = got + i
						at := differs &^ 7
						rec.add("server %s reads other bytes in the body of %s from byte %d on", s.id, id, at)
					}
				}
				got += n
				if err != nil {
					return err
				}
			}
			return nil
		}
		if err := read(before); err != nil && err != io.EOF {
			rec.add("server %s: the body of %s breaks off after %d bytes", s.id, id, got)
			return false
		}
		rec.add("server %s answers %s after it has read %d bytes", s.id, id, got)
		written := make(chan error, 1)
		go func() {
			_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n", id, s.stamp(r), earlyAnswer)
			for range earlyPieces {
				if err == nil {
					_, err = conn.Write(make([]byte, earlyAnswer/earlyPieces))
				}
				time.Sleep(10 * time.Millisecond)
			}
			written <- err
		}()
		err := read(earlyBody)
		rec.add("server %s has read %d bytes of the body of %s (%v)", s.id, got, id, err)
		if differs >= 0 {
			wrong.Add(1)
		}
		return <-written == nil && err == nil
	}
	sys, _, err := begin(rec, program, [][2]string{{"orders", zones[0]}, {"proofs", zones[1]}},
		[]route{{"r-upload", "hulo84.example", "/leny950/", "unsafe", 5000, 1500, "orders"}}, []string{"orders", "proofs"})
	if err != nil {
		return false, err
	}
	defer sys.stop()
	for _, m := range sys.sidecars("") {
		if _, err := startServer(m, "i-"+m.service, handle); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	for range earlyRuns {
		status, err := upload(rec, sys.sidecars("proofs")[0], body)
		if err == nil && status == http.StatusOK {
			answered.Add(1)
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(time.Second)
	rec.add("%d requests sent, %d run, %d answered whole; in %d the server got other bytes", earlyRuns, runs.Load(), answered.Load(), wrong.Load())
	if runs.Load() < earlyRuns/2 {
		return false, fmt.Errorf("only %d requests were run", runs.Load())
	}
	return wrong.Load() > 0, nil
}

// upload sends a body in pieces and reads the answer meanwhile.
func upload(rec *record, m *machine, body []byte) (int, error) {
	conn, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	id := newID()
	rec.add("client sends %s to %s, body of %d bytes", id, m.name, len(body))
	if _, err := io.WriteString(conn, head("POST", "/leny950/2f", "hulo84.example", id, 5000, fmt.Sprintf("Content-Length: %d", len(body)))); err != nil {
		return 0, err
	}
	go func() {
		const piece = 8 << 10
		for at := 0; at < len(body); at += piece {
			if _, err := conn.Write(body[at:min(at+piece, len(body))]); err != nil {
				rec.add("client can send no more of %s after %d bytes", id, at)
				return
			}
			time.Sleep(4 * time.Millisecond)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
	if err != nil {
		rec.add("client gets no answer to %s: %v", id, err)
		return 0, err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	rec.add("client gets %d to %s, %d bytes (%v)", resp.StatusCode, id, n, err)
	return resp.StatusCode, err
}
