package main

import (
	"context"
	"slices"
	"time"
)

const (
	// poisonInterval is the time between two requests that crash the server that runs them,
	// poisonTime how long they come each time.
	poisonInterval = 400 * time.Millisecond
	poisonTime     = 10 * time.Second
	// maxLate is the number of them that may reach servers later than contact after the third
	// crash.
	maxLate = 3
)

// forgetPoison lets a client send a request that crashes each server that runs it, until it
// is refused everywhere. Then all processes of the system are killed, and the client comes
// again once the machines are in touch.
func forgetPoison(c *cluster, trouble bool) (broken bool, err error) {
	pay := route{"r-1", host, "/pay/", "unsafe", "blagajna", 5000, 1500, 2}
	zones := []string{"z-a", "z-a", "z-a", "z-b", "z-b", "z-b", "z-c", "z-c", "z-c", "z-a"}
	servers, err := deploy(c, map[string][]string{"blagajna": zones},
		func(m *machine) *server { return newServer(c, m, 160*time.Millisecond, 186) },
		configuration(1, 0, []route{pay}, []service{{"blagajna", 1216, coldSeconds, coldPerSecond}}, tenants))
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	all, wait := c.startClients(ctx, load{route: pay, perSecond: 125, method: "POST", body: make([]byte, 1200)})
	time.Sleep(2 * time.Second)
	poison := &clients{
		cluster: c, machine: servers[0].machine, name: "poison", method: "POST", path: pay.prefix + poisonPath, body: make([]byte, 600), same: true,
		timeout: 5 * time.Second, rate: 1 / poisonInterval.Seconds(), steady: true,
	}
	poison.sendFor(poisonTime)
	if trouble {
		if err := c.killAndStart(down); err != nil {
			return false, err
		}
	}
	// The core is stable contact after its start, and machines are in touch contact later.
	time.Sleep(2*contact + 100*time.Millisecond)
	again := time.Now()
	poison.name = "poison-again"
	poison.sendFor(poisonTime)
	cancel()
	wait()
	c.record.answers(all)
	return judgePoison(c.record, servers, poison, again), nil
}

// sendFor sends requests for a time.
func (c *clients) sendFor(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	c.run(ctx)
}

// judgePoison applies the rule BUDGET. Of the requests after the kill, only those count that
// came again when the machines were in touch.
func judgePoison(r *record, servers []*server, poison *clients, again time.Time) (broken bool) {
	sentAt := make(map[string]time.Time)
	for _, s := range poison.sent {
		sentAt[s.id] = s.at
	}
	var crashes []time.Time
	lost := 0
	for _, s := range servers {
		crashes = append(crashes, s.poisoned...)
		lost += s.lostUnsafe
	}
	if len(crashes) < 3 {
		r.event("%d crashes", len(crashes))
		return false
	}
	slices.SortFunc(crashes, time.Time.Compare)
	from := crashes[2].Add(contact)
	before, after := 0, 0
	for _, s := range servers {
		for _, q := range s.runs {
			at, ok := sentAt[q.id]
			switch {
			case !ok || at.Before(from):
			case at.Before(again):
				before++
			default:
				after++
			}
		}
	}
	r.event("%d crashes, the third at %.3f; of the requests that were sent after %.3f, %d and, from %.3f on, %d more reached servers; %d may",
		len(crashes), r.seconds(crashes[2]), r.seconds(from), before, r.seconds(again), after, maxLate)
	r.event("the servers were running %d other requests that may not be repeated when they crashed", lost)
	return before+after > maxLate
}
