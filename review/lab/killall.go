package main

import (
	"context"
	"sync"
	"syscall"
	"time"
)

const (
	// killedAfter is the time from the departures to the moment at which all processes are
	// killed, down how long they are.
	killedAfter = time.Second
	down        = time.Second
	// longStay is how long the servers go on serving after they have said that they leave.
	longStay = 12 * time.Second
	// killAllServers is the number of servers, killAllLeavers that of those that leave.
	killAllServers, killAllLeavers = 16, 2
)

// killAll lets two servers leave. A second later all processes of the system are killed, and
// a check-in that each server sent before it left arrives late.
func killAll(c *cluster, trouble bool) (broken bool, err error) {
	pay := route{"r-1", host, "/pay/", "unsafe", "blagajna", 5000, 1500, 2}
	var zones []string
	for i := range killAllServers {
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
	departures := make([]departure, killAllLeavers)
	last := make([][]byte, killAllLeavers)
	for i, s := range servers[:killAllLeavers] {
		if departures[i], last[i], err = s.announceExit(); err != nil {
			return false, err
		}
		c.record.event("server %s leaves, which its daemon has acknowledged", s.id)
	}
	time.Sleep(killedAfter)
	if trouble {
		if err := c.killAndStart(down); err != nil {
			return false, err
		}
		// The core is stable contact after its start, and machines are in touch contact later.
		for i := range departures {
			departures[i].judged = time.Now().Add(2*contact + 100*time.Millisecond)
		}
	}
	var group sync.WaitGroup
	for i, s := range servers[:killAllLeavers] {
		group.Go(func() {
			s.checkInLate(&departures[i], last[i])
			s.exit(&departures[i], longStay)
		})
	}
	group.Wait()
	cancel()
	wait()
	c.record.answers(all)
	return judgeDrain(c.record, departures, all), nil
}

// killAndStart kills all processes at the same moment and starts them again after a time.
func (c *cluster) killAndStart(after time.Duration) error {
	for _, m := range c.machines {
		_ = m.process.command.Process.Signal(syscall.SIGKILL)
	}
	c.record.event("all processes are killed")
	for _, m := range c.machines {
		<-m.process.done
	}
	time.Sleep(after)
	for _, m := range c.machines {
		if err := c.start(m); err != nil {
			return err
		}
	}
	c.record.event("all processes are started again")
	return nil
}
