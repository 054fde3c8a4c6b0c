package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// deadlyBody is the length of the body of the request that crashes servers.
	deadlyBody  = 100_000
	deadlyPath  = "/leny950/deadly"
	deadlyEvery = 400 * time.Millisecond
	// deadlyPhase is how long the request comes in each of the two framings.
	deadlyPhase = 10 * time.Second
	// downFor is how long a crashed server is away.
	downFor = 3 * time.Second
	// allowedRetries is how often the request may reach servers later than contact_ms after
	// the third crash.
	allowedRetries = 3
)

// crasher is the server of one machine, which a request may crash.
type crasher struct {
	d *deadly
	m *machine

	mu      sync.Mutex
	started bool
	l       net.Listener
	conns   map[net.Conn]bool
	s       *server
}

// deadly is the state of the case framing.
type deadly struct {
	rec     *record
	trouble bool
	mu      sync.Mutex
	crashes []time.Time
	// reached are the times at which the request was sent that reached a server.
	reached []time.Time
	sentAt  map[string]time.Time
}

// framing sends a request that crashes each server which begins to run it, first with a length
// and then, with the same path and body and from the same machine, in chunks.
func framing(rec *record, program string, trouble bool) (bool, error) {
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
	d := &deadly{rec: rec, trouble: trouble, sentAt: make(map[string]time.Time)}
	for _, m := range sys.sidecars("orders") {
		c := &crasher{d: d, m: m}
		if err := c.start(); err != nil {
			return false, err
		}
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
	entry := sys.sidecars("proofs")[:1]
	d.phase(entry, false, deadlyPhase)
	// With SAME_FRAMING=1 the request has a length all the time, which shows what the framing
	// changes.
	d.phase(entry, os.Getenv("SAME_FRAMING") == "", deadlyPhase)
	close(stop)
	others.Wait()
	return d.verdict(sent.Load(), served.Load())
}

func (d *deadly) verdict(sent, served int64) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rec.add("%d other requests sent, %d served; the request crashed %d servers", sent, served, len(d.crashes))
	if served < sent/2 {
		return false, fmt.Errorf("only %d of %d other requests were served", served, sent)
	}
	if !d.trouble {
		return false, nil
	}
	if len(d.crashes) < 3 {
		return false, fmt.Errorf("the request crashed %d servers only", len(d.crashes))
	}
	from := d.crashes[2].Add(contact)
	late := 0
	for _, at := range d.reached {
		if at.After(from) {
			late++
		}
	}
	d.rec.add("%d times it was sent later than %s after the third crash and reached a server; %d may", late, contact, allowedRetries)
	return late > allowedRetries, nil
}

// phase sends the request again and again, at each of the machines in turn.
func (d *deadly) phase(at []*machine, chunked bool, length time.Duration) {
	d.rec.add("the request comes every %s, in chunks: %v", deadlyEvery, chunked)
	body := numbered(deadlyBody)
	n := 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(deadlyEvery) {
		m := at[n%len(at)]
		n++
		id := newID()
		d.mu.Lock()
		d.sentAt[id] = time.Now()
		d.mu.Unlock()
		status := d.send(m, id, body, chunked)
		d.rec.add("request %s: %d", id, status)
	}
}

func (d *deadly) send(m *machine, id string, body []byte, chunked bool) int {
	conn, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	var b bytes.Buffer
	if chunked {
		b.WriteString(head("POST", deadlyPath, "hulo84.example", id, 3000, "Transfer-Encoding: chunked"))
		for at := 0; at < len(body); at += 8000 {
			piece := body[at:min(at+8000, len(body))]
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(piece), piece)
		}
		b.WriteString("0\r\n\r\n")
	} else {
		b.WriteString(head("POST", deadlyPath, "hulo84.example", id, 3000, fmt.Sprintf("Content-Length: %d", len(body))))
		b.Write(body)
	}
	go func() { _, _ = conn.Write(b.Bytes()) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// start starts the server anew: another lifetime, which is cold at first.
func (c *crasher) start() error {
	l, err := net.Listen("tcp", c.m.address(portApp))
	if err != nil {
		return err
	}
	s := &server{machine: c.m, id: "i-" + newID(), born: time.Now().UnixMilli(), slots: 121, handle: c.run, done: make(chan struct{})}
	s.state.Store("ready")
	c.mu.Lock()
	if c.started {
		s.coldFor = downFor
	}
	c.started = true
	c.l, c.s, c.conns = l, s, make(map[net.Conn]bool)
	c.mu.Unlock()
	go s.checkIn()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			alive := c.s == s
			if alive {
				c.conns[conn] = true
			}
			c.mu.Unlock()
			if !alive {
				_ = conn.Close()
				continue
			}
			go func() {
				s.serve(conn)
				c.mu.Lock()
				delete(c.conns, conn)
				c.mu.Unlock()
			}()
		}
	}()
	return nil
}

func (c *crasher) run(s *server, conn net.Conn, _ *bufio.Reader, r *http.Request) bool {
	c.d.mu.Lock()
	trouble := c.d.trouble
	c.d.mu.Unlock()
	if r.URL.Path == deadlyPath && trouble {
		id := r.Header.Get("Request-Id")
		c.d.mu.Lock()
		c.d.crashes = append(c.d.crashes, time.Now())
		c.d.reached = append(c.d.reached, c.d.sentAt[id])
		n := len(c.d.crashes)
		c.d.mu.Unlock()
		c.d.rec.add("server %s begins to run %s and crashes (crash %d)", s.id, id, n)
		c.crash(s)
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	time.Sleep(20 * time.Millisecond)
	s.answer(conn, r, http.StatusOK, []byte("ordered"), "")
	return true
}

// crash ends the server at once and starts it again later.
func (c *crasher) crash(s *server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.s != s {
		return
	}
	c.s = nil
	close(s.done)
	_ = c.l.Close()
	for conn := range c.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	time.AfterFunc(downFor, func() {
		if err := c.start(); err != nil {
			c.d.rec.add("the server of %s can't start again: %v", c.m.name, err)
		}
	})
}
