package main

import (
	"context"
	"slices"
	"time"
)

const (
	// outage is how long the crashed servers are down.
	outage = 4500 * time.Millisecond
	// settle is the time from their return to the time that is judged.
	settle = 20 * time.Second
	judged = 20 * time.Second
)

// crashAll lets all servers of one service crash at the same moment, once. They are back
// after the outage. All clients of the service ask for the same page.
func crashAll(c *cluster, trouble bool) (broken bool, err error) {
	first := route{"r-1", host, "/draft/", "safe", "brouillon", 1200, 300, 2}
	later := route{"r-2", host, "/archive/", "safe", "archives", 6000, 2000, 2}
	services := []service{{"archives", 532, 3, 12}, {"brouillon", 238, 3, 12}}
	zones := []string{"z-a", "z-b", "z-c", "z-a"}
	servers, err := deploy(c, map[string][]string{"archives": zones, "brouillon": zones},
		func(m *machine) *server {
			if m.service == later.service {
				return newServer(c, m, 220*time.Millisecond, 72)
			}
			return newServer(c, m, 88*time.Millisecond, 23)
		},
		configuration(1, 0, []route{first}, services, tenants), configuration(2, 1, []route{first, later}, services, tenants))
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	all, wait := c.startClients(ctx, load{route: first, perSecond: 28, method: "GET", same: true}, load{route: later, perSecond: 95, method: "GET", same: true},
		load{route: later, perSecond: 1, method: "GET"})
	time.Sleep(5 * time.Second)
	if trouble {
		all := slices.DeleteFunc(slices.Clone(servers), func(s *server) bool { return s.machine.service != later.service })
		crash(all...)
		time.Sleep(outage)
		for _, s := range all {
			if err := s.start(time.Duration(coldSeconds * float64(time.Second))); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(settle)
	from := time.Now()
	time.Sleep(judged)
	to := time.Now()
	cancel()
	wait()
	c.record.answers(all)
	return judgeLaterRoute(c.record, all, servers, first, later, from, to), nil
}

// judgeLaterRoute applies the rule CONFIG to the requests of a time: those on a route that
// was added later must be served at least a quarter as often as those on the first routes.
func judgeLaterRoute(r *record, all []*clients, servers []*server, first, later route, from, to time.Time) (broken bool) {
	asked, served := make(map[string]int), make(map[string]int)
	others, othersServed := 0, 0
	for _, c := range all {
		for _, s := range c.sent {
			if s.at.Before(from) || s.at.After(to) {
				continue
			}
			asked[c.path]++
			ok := s.status/100 == 2 && s.wrong == ""
			if ok {
				served[c.path]++
			}
			if c.path == later.prefix && !c.same {
				others++
				if ok {
					othersServed++
				}
			}
		}
	}
	reached := 0
	for _, s := range servers {
		for _, q := range s.runs {
			if s.machine.service == later.service && q.at.After(from) && q.at.Before(to) {
				reached++
			}
		}
	}
	r.event("steady state from %.3f to %.3f, %s after the servers were back", r.seconds(from), r.seconds(to), settle)
	r.event("route %s, there from the first: %d of %d requests served", first.prefix, served[first.prefix], asked[first.prefix])
	r.event("route %s, added later: %d of %d requests served; %d requests reached the servers of %s", later.prefix, served[later.prefix], asked[later.prefix], reached, later.service)
	r.event("of these, for other pages than the common one: %d of %d served", othersServed, others)
	shareFirst := float64(served[first.prefix]) / float64(max(asked[first.prefix], 1))
	shareLater := float64(served[later.prefix]) / float64(max(asked[later.prefix], 1))
	return asked[later.prefix] >= 20 && shareLater < shareFirst/4
}
