package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	drainTime = 2 * time.Second
	// contact is contact_ms: for so long after its start a machine is not in touch.
	contact = 3 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// late is how late the last check-in of a server arrives.
	late = 4500 * time.Millisecond
	// stay is how long a server goes on serving after it has said that it leaves.
	stay = 8 * time.Second
	// rounds is how often servers leave, together the number that do each time: an eighth of
	// all.
	rounds, together = 7, 2
	paidServers      = 16
)

// departure is that of one server.
type departure struct {
	server *server
	// acknowledged is when the daemon acknowledged it, judged when the machine of the server is
	// in touch again and drainTime has passed.
	acknowledged, judged, exited time.Time
}

// leaveAndKill lets servers leave, two at a time. The process beside each is killed right
// after it has acknowledged that, and a check-in that the server sent before arrives late.
func leaveAndKill(c *cluster, trouble bool) (broken bool, err error) {
	pay := route{"r-1", host, "/pay/", "unsafe", "blagajna", 5000, 1500, 2}
	var zones []string
	for i := range paidServers {
		zones = append(zones, coreZones[i%3])
	}
	servers, err := deploy(c, map[string][]string{"blagajna": zones},
		func(m *machine) *server { return newServer(c, m, 160*time.Millisecond, 186) },
		configuration(1, 0, []route{pay}, []service{{"blagajna", 1216, coldSeconds, coldPerSecond}}, tenants))
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	all, wait := c.startClients(ctx, load{route: pay, perSecond: 125, method: "POST", body: make([]byte, 1200)})
	time.Sleep(3 * time.Second)
	departures := make([]departure, rounds*together)
	for round := range rounds {
		var group sync.WaitGroup
		errs := make([]error, together)
		for i := range together {
			at := round*together + i
			group.Go(func() { departures[at], errs[i] = servers[at].leave(trouble) })
		}
		group.Wait()
		if err := errors.Join(errs...); err != nil {
			return false, err
		}
	}
	cancel()
	wait()
	c.record.answers(all)
	return judgeDrain(c.record, departures, all), nil
}

// leave sends the message that the server leaves, and returns after its exit.
func (s *server) leave(trouble bool) (departure, error) {
	d, last, err := s.announceExit()
	if err != nil {
		return d, err
	}
	if trouble {
		_ = s.machine.process.command.Process.Signal(syscall.SIGKILL)
	}
	s.record.event("server %s leaves, which its daemon has acknowledged; the daemon is killed: %t", s.id, trouble)
	if trouble {
		<-s.machine.process.done
		time.Sleep(restartDelay)
		if err := s.cluster.start(s.machine); err != nil {
			return d, err
		}
		d.judged = time.Now().Add(contact + 100*time.Millisecond)
	}
	s.checkInLate(&d, last)
	s.exit(&d, stay)
	return d, s.start(time.Duration(coldSeconds * float64(time.Second)))
}

// announceExit ends the check-ins and sends the message that the server leaves. last is a
// check-in that was sent before and is still on its way.
func (s *server) announceExit() (d departure, last []byte, err error) {
	d.server = s
	s.mu.Lock()
	close(s.beating)
	s.seq++
	last = s.heartbeat()
	bye := fmt.Sprintf(`{"born":%d}`, s.born)
	s.mu.Unlock()
	resp, err := http.Post(s.url("leave"), "application/json", strings.NewReader(bye))
	if err != nil {
		return d, nil, err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return d, nil, fmt.Errorf("the leave of %s was answered %d", s.id, resp.StatusCode)
	}
	d.acknowledged = time.Now()
	d.judged = d.acknowledged.Add(drainTime)
	return d, last, nil
}

// checkInLate delivers the last check-in.
func (s *server) checkInLate(d *departure, last []byte) {
	time.Sleep(time.Until(d.acknowledged.Add(late)))
	resp, err := http.Post(s.url("heartbeat"), "application/json", bytes.NewReader(last))
	if err != nil {
		s.record.event("the late check-in of %s is lost: %v", s.id, err)
		return
	}
	_ = resp.Body.Close()
	s.record.event("a check-in of %s from before that arrives: %d", s.id, resp.StatusCode)
}

// exit ends the server so long after its departure was acknowledged.
func (s *server) exit(d *departure, after time.Duration) {
	time.Sleep(time.Until(d.acknowledged.Add(after)))
	s.mu.Lock()
	close(s.stopped)
	s.mu.Unlock()
	_ = s.http.Close()
	d.exited = time.Now()
	s.record.event("server %s exits", s.id)
}

// judgeDrain applies the rule DRAIN to the departures.
func judgeDrain(r *record, departures []departure, all []*clients) (broken bool) {
	requests := make(map[string]*sent)
	for _, c := range all {
		for _, s := range c.sent {
			requests[s.id] = s
		}
	}
	for _, d := range departures {
		reached, lost := 0, 0
		for _, q := range d.server.runs {
			request := requests[q.id]
			if request == nil || request.at.Before(d.judged) || q.at.After(d.exited) {
				continue
			}
			reached++
			if request.status/100 != 2 {
				lost++
			}
		}
		r.event("server %s, left at %.3f: %d requests that were sent from %.3f on reached it before its exit at %.3f; %d of them, which may not be repeated, were lost",
			d.server.id, r.seconds(d.acknowledged), reached, r.seconds(d.judged), r.seconds(d.exited), lost)
		broken = broken || reached > 0
	}
	return broken
}
