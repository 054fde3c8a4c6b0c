package main

import (
	"context"
	"sort"
	"time"
)

// coldBound is the number of requests in one second above which FAILBACK is broken.
const coldBound = coldPerSecond*coldOverage + coldSlack

// pause is the time from one server that turns cold to the next. It is no multiple of the
// check-in interval.
const pause = 8300 * time.Millisecond

// coldAgain lets the five servers turn cold, one after the other, at moments of steady
// traffic and without a restart. Their check-ins go on as before and say so, and so
// do the answers to health probes.
func coldAgain(c *cluster, trouble bool) (broken bool, err error) {
	view := route{"r-1", host, "/tide/", "safe", "tides", 5000, 1500, 2}
	pay := route{"r-2", host, "/pay/", "unsafe", "tides", 5000, 1500, 2}
	servers, err := deploy(c, map[string][]string{"tides": {"z-a", "z-a", "z-b", "z-b", "z-c"}},
		func(m *machine) *server { return newServer(c, m, 120*time.Millisecond, 149) },
		configuration(1, 0, []route{view, pay}, []service{{"tides", 994, coldSeconds, coldPerSecond}}, tenants))
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	all, wait := c.startClients(ctx, load{route: view, perSecond: 360, method: "GET"}, load{route: pay, perSecond: 100, method: "POST", body: make([]byte, 1200)})
	time.Sleep(5 * time.Second)
	for _, s := range servers {
		if trouble {
			s.turnCold(time.Duration(coldSeconds * float64(time.Second)))
		}
		time.Sleep(pause)
	}
	cancel()
	wait()
	c.record.answers(all)
	return judgeCold(c.record, servers, all), nil
}

// arrival is one request that was sent and reached a server while the server was cold.
type arrival struct{ sent, reached time.Time }

// judgeCold applies the rule FAILBACK to all servers. It records the second with the most
// requests for each time in which a server was cold.
func judgeCold(r *record, servers []*server, all []*clients) (broken bool) {
	sentAt := make(map[string]time.Time)
	for _, c := range all {
		for _, s := range c.sent {
			sentAt[s.id] = s.at
		}
	}
	for _, s := range servers {
		for _, cold := range s.cold {
			var in []arrival
			for _, q := range s.runs {
				if at, known := sentAt[q.id]; known && !at.Before(cold.from) && q.at.Before(cold.to) {
					in = append(in, arrival{at, q.at})
				}
			}
			if len(in) == 0 {
				continue
			}
			most, from := busiestSecond(in)
			r.event("server %s, cold from %.3f to %.3f: %d requests were sent and arrived in the second from %.3f on; the bound is %.1f",
				s.id, r.seconds(cold.from), r.seconds(cold.to), most, r.seconds(from), coldBound)
			broken = broken || float64(most) > coldBound
		}
		if s.crashes > 0 {
			r.event("server %s crashed %d times for that; it was running %d requests that may not be repeated", s.id, s.crashes, s.lostUnsafe)
		}
	}
	return broken
}

// busiestSecond returns the most requests that were sent and arrived inside one second, and
// when that began.
func busiestSecond(in []arrival) (most int, from time.Time) {
	sort.Slice(in, func(i, j int) bool { return in[i].sent.Before(in[j].sent) })
	for i := range in {
		begin, end, n := in[i].sent, in[i].sent.Add(time.Second), 0
		for _, a := range in[i:] {
			if a.reached.Before(end) {
				n++
			}
		}
		if n > most {
			most, from = n, begin
		}
	}
	return most, from
}
