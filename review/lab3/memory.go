package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryClients = 24
	memoryTime    = 95 * time.Second
	// memoryIDBytes is the length of the part of each ID that is always the same.
	memoryIDBytes = 60000
	// memoryEnds is the number of ends by themselves on each of two machines that break the rule.
	memoryEnds = 3
)

// residentMB returns the resident memory of a process.
func (m *machine) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}

// guardMemory does what the platform does with a process that uses more memory than its machine
// has: it is killed, and starts again. It returns the number of such ends by machine.
func (c *cluster) guardMemory(until time.Time, enough func(ends map[string]int) bool) (map[string]int, error) {
	ends, most := map[string]int{}, map[string]int{}
	next := time.Now()
	for time.Now().Before(until) && !enough(ends) {
		for _, m := range c.machines() {
			limit := sidecarMemoryMB
			if m.core {
				limit = coreMemoryMB
			}
			mb := m.residentMB()
			most[m.name] = max(most[m.name], mb)
			if mb <= limit && !m.hasEnded() {
				continue
			}
			ends[m.name]++
			c.record.say("platform: the process of %s ends: it uses %d of %d MB; end number %d", m.name, mb, limit, ends[m.name])
			m.kill()
			time.Sleep(restartDelay)
			if err := c.start(m); err != nil {
				return ends, err
			}
		}
		if time.Now().After(next) {
			next = time.Now().Add(5 * time.Second)
			text := ""
			for _, m := range c.sidecars {
				text += fmt.Sprintf(" %s %d MB", m.name, m.residentMB())
			}
			c.record.add("platform:%s", text)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.record.say("most memory of each process, in MB: %v", most)
	return ends, nil
}

// longNames sends requests whose IDs are long and have a tab in them.
func longNames(r *record, trouble bool) (verdict, error) {
	c, err := newCluster(r, []string{"view", "view", "front", "front"})
	if err != nil {
		return notRun, err
	}
	defer c.stop()
	if err := c.startAll(); err != nil {
		return notRun, err
	}
	handle := func(s *server, w http.ResponseWriter, req *http.Request) { _, _ = w.Write([]byte("done")) }
	for _, m := range c.sidecars {
		s, err := c.startServer(m, 149, handle)
		if err != nil {
			return notRun, err
		}
		defer s.close()
	}
	routes := []route{{name: "view", prefix: "/view/", kind: "safe", service: "view", timeoutMS: 5000, goalMS: 1500, attempts: 2}}
	if err := c.order("/-/config/put", configuration(1, 0, routes, []string{"view", "front"}), 20*time.Second); err != nil {
		return notRun, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	separator := "-"
	if trouble {
		separator = "\t"
	}
	end := time.Now().Add(memoryTime)
	var answered, failed atomic.Int64
	var stopped atomic.Bool
	var clients sync.WaitGroup
	for i := range memoryClients {
		clients.Go(func() {
			cl := &client{address: c.address(c.sidecars[2+i%2], c.ports.outbound)}
			defer cl.close()
			long := strings.Repeat("x", memoryIDBytes)
			for n := 0; !stopped.Load(); n++ {
				id := fmt.Sprintf("%08x%s%08x%08x%s", i, separator, i, n, long)
				a, err := cl.do("GET", "/view/x", id, 5000, nil)
				r.add("client %d: request %.20q... of %d bytes: status %d, error %v", i, id, len(id), a.status, err)
				if err == nil && a.status == http.StatusOK {
					answered.Add(1)
					continue
				}
				failed.Add(1)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	broke := func(ends map[string]int) bool {
		machines := 0
		for _, n := range ends {
			if n >= memoryEnds {
				machines++
			}
		}
		return machines >= 2
	}
	ends, err := c.guardMemory(end, broke)
	stopped.Store(true)
	clients.Wait()
	if err != nil {
		return notRun, err
	}
	r.say("%d requests answered with 200, %d others; processes that ended because of their memory: %v", answered.Load(), failed.Load(), ends)
	switch {
	case broke(ends):
		return broken, nil
	case answered.Load() == 0:
		return notRun, fmt.Errorf("no request was answered")
	}
	return held, nil
}
