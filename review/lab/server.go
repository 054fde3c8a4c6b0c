package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// heartbeatRetry is the pause after a check-in that was not acknowledged.
	heartbeatRetry = 250 * time.Millisecond
	heartbeatLimit = time.Second
	// returnDelay is the time from the crash of an overrun server to its next start.
	returnDelay = 3 * time.Second
	// poisonPath is the end of the path of a request that crashes each server that runs it.
	poisonPath  = "poison"
	coldOverage = 1.5
	coldSlack   = 5.0
)

// run is one request that reached a server.
type run struct {
	id, server, tenant, caller string
	at                         time.Time
	executed                   bool
}

// span is a time in which a server was cold.
type span struct{ from, to time.Time }

// server is a stand-in for one application server.
type server struct {
	record  *record
	cluster *cluster
	machine *machine
	id      string
	work    time.Duration
	slots   int
	http    *http.Server
	// stopped is closed at the end of a lifetime, beating when its check-ins end.
	stopped, beating chan struct{}

	mu        sync.Mutex
	born      int64
	seq       int
	down      bool
	running   int
	coldUntil time.Time
	cold      []span
	runs      []run
	// crashes counts the crashes of a cold server that got too much, lostUnsafe the requests
	// with a body that the server was running when it crashed.
	crashes, lostUnsafe int
	unsafeRunning       int
	// poisoned are the times at which a request crashed the server.
	poisoned []time.Time
}

func newServer(c *cluster, m *machine, work time.Duration, slots int) *server {
	return &server{record: c.record, cluster: c, machine: m, id: "i-" + m.name, work: work, slots: slots}
}

// start starts one lifetime of the server; it is cold for coldFor.
func (s *server) start(coldFor time.Duration) error {
	ln, err := net.Listen("tcp", s.cluster.address(s.machine, portApp))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.born, s.seq = time.Now().UnixMilli(), 0
	s.down = false
	s.stopped, s.beating = make(chan struct{}), make(chan struct{})
	s.mu.Unlock()
	if coldFor > 0 {
		s.turnCold(coldFor)
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(ln) }()
	go s.beat(s.stopped, s.beating)
	return nil
}

// crash ends the lifetime of servers at the same moment, without a word.
func crash(servers ...*server) {
	for _, s := range servers {
		s.mu.Lock()
		close(s.stopped)
		s.mu.Unlock()
	}
	for _, s := range servers {
		_ = s.http.Close()
		s.record.event("server %s has crashed", s.id)
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// turnCold makes the server cold from now on.
func (s *server) turnCold(d time.Duration) {
	now := time.Now()
	s.mu.Lock()
	s.coldUntil = now.Add(d)
	s.cold = append(s.cold, span{now, now.Add(d)})
	s.mu.Unlock()
	s.record.event("server %s is cold for %s", s.id, d)
}

func (s *server) coldLeft() time.Duration { return max(time.Until(s.coldUntil), 0) }

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		s.mu.Lock()
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Cold-Ms", strconv.FormatInt(s.coldLeft().Milliseconds(), 10))
		s.mu.Unlock()
		return
	}
	now := time.Now()
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	full := s.running >= s.slots
	s.runs = append(s.runs, run{id: id, server: s.id, tenant: r.Header.Get("Tenant"), caller: r.Header.Get("Caller"), at: now, executed: !full})
	if !full {
		s.running++
	}
	if len(body) > 0 {
		s.unsafeRunning++
	}
	overrun, stopped := s.overrun(now), s.stopped
	poison := strings.HasSuffix(r.URL.Path, "/"+poisonPath) && !s.down
	if poison {
		s.down = true
		s.poisoned = append(s.poisoned, now)
		s.lostUnsafe += s.unsafeRunning - 1
	}
	s.mu.Unlock()
	s.record.line(now, "request %s reaches server %s, executed %t", id, s.id, !full)
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if overrun || poison {
		go s.crashAndReturn()
	}
	defer func() {
		s.mu.Lock()
		s.running--
		if len(body) > 0 {
			s.unsafeRunning--
		}
		s.mu.Unlock()
	}()
	t := time.NewTimer(s.work)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
		return
	case <-stopped:
	}
	if isClosed(stopped) {
		panic(http.ErrAbortHandler)
	}
	text := answerText(s.id, id, len(body))
	w.Header().Set("Server-Stamp", s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// beat sends the check-ins of one lifetime.
func (s *server) beat(stopped, beating chan struct{}) {
	client := &http.Client{Timeout: heartbeatLimit}
	for {
		pause := heartbeatInterval
		if !s.checkIn(client) {
			pause = heartbeatRetry
		}
		select {
		case <-stopped:
			return
		case <-beating:
			return
		case <-time.After(pause):
		}
	}
}

// heartbeat returns the body of a check-in. It is called with the lock held.
func (s *server) heartbeat() []byte {
	body, _ := json.Marshal(map[string]any{
		"address": s.cluster.address(s.machine, portApp), "born": s.born,
		"info":   map[string]any{"service": s.machine.service, "version": "v1", "zone": s.machine.zone, "slots": s.slots},
		"status": map[string]any{"state": "ready", "seq": s.seq, "cold_left_ms": s.coldLeft().Milliseconds()},
	})
	return body
}

// url returns the address of a call of the server to the daemon beside it.
func (s *server) url(call string) string {
	return "http://" + s.cluster.address(s.machine, portControl) + "/-/instances/" + s.id + "/" + call
}

func (s *server) checkIn(client *http.Client) bool {
	s.mu.Lock()
	s.seq++
	body := s.heartbeat()
	s.mu.Unlock()
	resp, err := client.Post(s.url("heartbeat"), "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	s.record.line(time.Now(), "check-in of %s, %s: %d", s.id, body, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

// overrun reports whether a cold server has got well above what it bears: twice its rate in
// one second. It is called with the lock held.
func (s *server) overrun(now time.Time) bool {
	if s.coldLeft() == 0 || s.down {
		return false
	}
	n := 0
	for i := len(s.runs) - 1; i >= 0 && now.Sub(s.runs[i].at) < time.Second; i-- {
		if s.runs[i].at.After(s.cold[len(s.cold)-1].from) {
			n++
		}
	}
	if n <= 2*coldPerSecond {
		return false
	}
	s.down = true
	s.crashes++
	s.lostUnsafe += s.unsafeRunning
	return true
}

// crashAndReturn ends the lifetime; the next one begins after returnDelay.
func (s *server) crashAndReturn() {
	crash(s)
	time.Sleep(returnDelay)
	if err := s.start(time.Duration(coldSeconds * float64(time.Second))); err != nil {
		s.record.event("server %s does not start: %v", s.id, err)
	}
}
