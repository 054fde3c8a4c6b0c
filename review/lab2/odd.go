package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// oddSettle is how long nothing is judged after the last odd check-in, and oddJudged how
	// long the requests are judged then.
	oddSettle = 10 * time.Second
	oddJudged = 20 * time.Second
)

// odd sends one check-in of another writer to the daemon beside each server of a service. It
// has the address, the id and the start of the server, but fields are missing, so that it
// names no server.
func odd(rec *record, program string, trouble bool) (bool, error) {
	first := route{"r-first", "hulo84.example", "/orders/", "safe", 3000, 1500, "orders"}
	later := route{"r-later", "hulo84.example", "/proofs/", "safe", 3000, 1500, "proofs"}
	services := []string{"orders", "proofs"}
	sys, o, err := begin(rec, program, [][2]string{{"orders", zones[0]}, {"orders", zones[1]}, {"orders", zones[2]}, {"orders", zones[3]},
		{"proofs", zones[0]}, {"proofs", zones[1]}, {"proofs", zones[2]}, {"proofs", zones[3]}}, []route{first}, services)
	if err != nil {
		return false, err
	}
	defer sys.stop()
	var servers []*server
	for i, m := range sys.sidecars("") {
		s, err := startServer(m, fmt.Sprintf("i-%s-%d", m.service, i), func(s *server, conn net.Conn, _ *bufio.Reader, r *http.Request) bool {
			time.Sleep(20 * time.Millisecond)
			s.answer(conn, r, http.StatusOK, []byte(s.machine.service), "")
			return true
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	time.Sleep(3 * time.Second)
	if err := o.order("/-/config/put", configuration(5, 3, []route{first, later}, services), 4*time.Second, sys.core...); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for _, s := range servers {
			if s.machine.service == "proofs" {
				sendOdd(rec, s)
			}
		}
	}
	time.Sleep(oddSettle)
	var sent, served [2]atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(oddJudged)
	for i, m := range sys.sidecars("") {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				which := (n + i) % 2
				id, status, _, _ := get(m, []string{"/orders/2f", "/proofs/2f"}[which], "hulo84.example", 3000)
				sent[which].Add(1)
				if status == http.StatusOK {
					served[which].Add(1)
				}
				rec.add("request %s on %s at %s: %d", id, []string{"r-first", "r-later"}[which], m.name, status)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	for i, name := range []string{"r-first", "r-later"} {
		rec.add("%s: %d of %d requests served", name, served[i].Load(), sent[i].Load())
	}
	if served[0].Load() < sent[0].Load()/2 || sent[1].Load() < 20 {
		return false, fmt.Errorf("the first route was hardly served")
	}
	firstShare := float64(served[0].Load()) / float64(sent[0].Load())
	laterShare := float64(served[1].Load()) / float64(sent[1].Load())
	return laterShare < firstShare/4, nil
}

// sendOdd sends the check-in.
func sendOdd(rec *record, s *server) {
	body := map[string]any{
		"address": s.machine.address(portApp), "born": s.born,
		"info":   map[string]any{"service": s.machine.service, "slots": s.slots},
		"status": map[string]any{"state": "draining", "seq": s.seq.Load() + 1},
	}
	text, _ := json.Marshal(body)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rec.add("another writer sends to %s a check-in for %s: %s", s.machine.name, s.id, text)
	resp, err := client.Post("http://"+s.machine.address(portControl)+"/-/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(text))
	if err != nil {
		rec.add("no answer: %v", err)
		return
	}
	_ = resp.Body.Close()
	rec.add("the answer is %d", resp.StatusCode)
}
