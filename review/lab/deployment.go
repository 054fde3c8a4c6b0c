package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	host          = "h.example"
	key           = "key-of-team"
	coldSeconds   = 3.0
	coldPerSecond = 33.0
	// orderLimit is how long the first orders may take, while the core forms.
	orderLimit = 20 * time.Second
)

var (
	coreZones = []string{"z-a", "z-b", "z-c", "z-a", "z-b"}
	tenants   = []tenant{{"team", key, 2000, 2000}}
)

// deploy starts five core machines and one sidecar machine with a server for each zone that
// is named for a service, and sends the configurations in order.
func deploy(c *cluster, zones map[string][]string, newOne func(m *machine) *server, configurations ...[]byte) ([]*server, error) {
	for i, zone := range coreZones {
		c.add(fmt.Sprintf("core-%d", i+1), zone, "")
	}
	for _, service := range sortedKeys(zones) {
		for i, zone := range zones[service] {
			c.add(fmt.Sprintf("%s-%d", service, i+1), zone, service)
		}
	}
	if err := c.choosePorts(); err != nil {
		return nil, err
	}
	var servers []*server
	for _, m := range c.machines {
		if err := c.start(m); err != nil {
			return nil, err
		}
		if m.service == "" {
			continue
		}
		s := newOne(m)
		if err := s.start(0); err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	for i, body := range configurations {
		if err := c.order("/-/config/put", body, orderLimit); err != nil {
			return nil, err
		}
		if i == 0 {
			if err := c.awaitReady(orderLimit); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(3 * time.Second)
	return servers, nil
}

// load is what clients send on every sidecar machine.
type load struct {
	route route
	// perSecond is the rate of all machines together.
	perSecond float64
	method    string
	body      []byte
	// same makes all requests ask for the same path.
	same bool
}

// startClients starts the clients of all loads on all sidecar machines. wait returns once
// ctx has ended and all requests have.
func (c *cluster) startClients(ctx context.Context, loads ...load) (all []*clients, wait func()) {
	var wg sync.WaitGroup
	var sidecars []*machine
	for _, m := range c.machines {
		if m.service != "" {
			sidecars = append(sidecars, m)
		}
	}
	for _, m := range sidecars {
		for i, l := range loads {
			one := &clients{
				cluster: c, machine: m, name: fmt.Sprintf("%s-%d", m.name, i), method: l.method, path: l.route.prefix, body: l.body, same: l.same,
				timeout: time.Duration(l.route.timeoutMS) * time.Millisecond, rate: l.perSecond / float64(len(sidecars)),
			}
			all = append(all, one)
			wg.Go(func() { one.run(ctx) })
		}
	}
	return all, wg.Wait
}

// answers records how the requests were answered.
func (r *record) answers(all []*clients) {
	counts := make(map[string]map[int]int)
	for _, c := range all {
		if counts[c.path] == nil {
			counts[c.path] = make(map[int]int)
		}
		for _, s := range c.sent {
			counts[c.path][s.status]++
		}
	}
	for _, path := range sortedKeys(counts) {
		r.event("answers to %s by status (0: none): %v", path, counts[path])
	}
}

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
