package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// evacuateBound is evacuate_ms of the site.
	evacuateBound = 5 * time.Second
	// frozenFor is how long one machine of the core stands still.
	frozenFor = 5 * time.Second
	// evacuateRounds is how often the sequence is played, until the rule is broken.
	evacuateRounds = 4
)

// leads reports whether the process of a machine of the core says that it leads.
func leads(m *machine) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.address(portsInternal+10) + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.TrimSpace(lines.Text()) == "teaselrack_group_leads 1" {
			return true
		}
	}
	return false
}

// evacuation is the state of the case evacuate.
type evacuation struct {
	rec        *record
	sys        *system
	o          *operator
	zone       string
	mu         sync.Mutex
	ran        map[string]string // the zone in which a request ran
	sent, good atomic.Int64
	late       atomic.Int64
	// binding is when requests no longer may reach the zone, 0 while they may.
	binding atomic.Int64
}

// evacuate empties a zone, takes it back and empties it again, while one machine of the core
// that does not lead stands still. The order to take the zone back reached that machine
// first; the operator got no answer and sent it to another one, which acknowledged it.
func evacuate(rec *record, program string, trouble bool) (bool, error) {
	sys, o, err := begin(rec, program, [][2]string{{"proofs", zones[0]}, {"proofs", zones[1]}, {"orders", zones[2]}},
		[]route{{"r-view", "hulo84.example", "/leny950/", "safe", 3000, 1500, "proofs"}}, []string{"orders", "proofs"})
	if err != nil {
		return false, err
	}
	defer sys.stop()
	e := &evacuation{rec: rec, sys: sys, o: o, zone: zones[0], ran: make(map[string]string)}
	for _, m := range sys.sidecars("") {
		if _, err := startServer(m, "i-"+m.service+"-"+m.zone, e.run); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var client sync.WaitGroup
	client.Go(func() { e.send(stop) })
	for round := 1; err == nil && round <= evacuateRounds && e.late.Load() == 0; round++ {
		rec.add("round %d", round)
		err = e.round(trouble)
	}
	close(stop)
	client.Wait()
	if err != nil {
		return false, err
	}
	rec.add("%d requests sent, %d served; %d ran in %s later than %s after the ack of its evacuation", e.sent.Load(), e.good.Load(), e.late.Load(), e.zone, evacuateBound)
	if e.good.Load() < e.sent.Load()/2 {
		return false, fmt.Errorf("only %d of %d requests were served", e.good.Load(), e.sent.Load())
	}
	return e.late.Load() > 0, nil
}

func (e *evacuation) run(s *server, conn net.Conn, _ *bufio.Reader, r *http.Request) bool {
	e.mu.Lock()
	e.ran[r.Header.Get("Request-Id")] = s.machine.zone
	e.mu.Unlock()
	s.answer(conn, r, http.StatusOK, []byte("view"), "")
	return true
}

// send sends 20 requests a second from a machine of another zone.
func (e *evacuation) send(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		binding := e.binding.Load()
		at := time.Now()
		id, status, _, _ := get(e.sys.sidecars("orders")[0], "/leny950/2f", "hulo84.example", 3000)
		e.sent.Add(1)
		if status == http.StatusOK {
			e.good.Add(1)
		}
		e.mu.Lock()
		where := e.ran[id]
		e.mu.Unlock()
		if where == e.zone && binding != 0 && at.UnixNano() > binding {
			e.late.Add(1)
			e.rec.add("request %s, sent %.1f s after zone %s was to get nothing, runs there", id, at.Sub(time.Unix(0, binding)).Seconds(), e.zone)
		}
	}
}

// round plays the sequence once.
func (e *evacuation) round(trouble bool) error {
	start, end := "/-/evacuate/"+e.zone+"/start", "/-/evacuate/"+e.zone+"/end"
	var still *machine
	var others []*machine
	for _, m := range e.sys.core {
		if still == nil && !leads(m) {
			still = m
		} else {
			others = append(others, m)
		}
	}
	if err := e.o.order(start, nil, 4*time.Second, others...); err != nil {
		return err
	}
	time.Sleep(time.Second)
	frozen := time.Now()
	if trouble {
		still.signal(syscall.SIGSTOP)
	}
	if err := e.o.order(end, nil, 4*time.Second, append([]*machine{still}, others...)...); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	if err := e.o.order(start, nil, 4*time.Second, others...); err != nil {
		return err
	}
	acked := time.Now()
	e.rec.add("the second evacuation of %s is acknowledged, and not taken back before the end of the round", e.zone)
	time.Sleep(time.Until(frozen.Add(frozenFor)))
	if trouble {
		still.signal(syscall.SIGCONT)
	}
	// All machines are in touch again contact_ms after the machine has gone on.
	from := time.Now().Add(contact)
	if bound := acked.Add(evacuateBound); bound.After(from) {
		from = bound
	}
	e.binding.Store(from.UnixNano())
	time.Sleep(time.Until(from.Add(4 * time.Second)))
	e.binding.Store(0)
	if err := e.o.order(end, nil, 4*time.Second, others...); err != nil {
		return err
	}
	time.Sleep(contact)
	return nil
}
