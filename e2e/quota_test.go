package e2e

import (
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/emulator/system"
)

var errFewRuns = errors.New("too few requests ran")

// TestQuotaOverAllInstances has a team that sends as fast as it can to every
// instance, also while the leader, which issues the tokens, is killed. No more
// may run than rate and burst allow over the whole time.
func TestQuotaOverAllInstances(t *testing.T) {
	h := start(t, nil)
	leader := h.leader()
	began := time.Now()
	var done atomic.Bool
	var senders []chan int
	for _, name := range h.others(leader) {
		sender := make(chan int, 1)
		senders = append(senders, sender)
		go func() { sender <- h.flood(h.Instance(name).Ingress, &done) }()
	}
	running := func(more int) {
		t.Helper()
		want := h.floodRuns() + more
		must.NoError(t, system.Await(settleLimit, func() error {
			if have := h.floodRuns(); have < want {
				return errFewRuns
			}
			return nil
		}))
	}
	running(system.SidroBurst)
	h.kill(leader)
	running(system.SidroBurst)
	done.Store(true)
	answered := 0
	for _, sender := range senders {
		answered += <-sender
	}
	took := time.Since(began)
	runs := h.floodRuns()
	allowed := system.SidroBurst + int(system.SidroRate*took.Seconds())
	t.Logf("%d runs and %d whole answers in %v, %d allowed", runs, answered, took, allowed)
	must.LessEq(t, allowed, runs)
	must.LessEq(t, runs, answered)
}

// flood sends requests of team sidro until done, and returns how many had a
// whole answer.
func (h *harness) flood(ingress string, done *atomic.Bool) int {
	caller := system.NewCaller()
	defer caller.Close()
	whole := 0
	for !done.Load() {
		answer, err := caller.Do(system.Call{Ingress: ingress, Method: "GET", Path: "/slots?flood", Key: h.Keys["B"].Secret})
		if err == nil && answer.Status == 200 {
			whole++
		}
	}
	return whole
}

// floodRuns counts the requests of flood that reached the first service; the
// attempts of one request count once.
func (h *harness) floodRuns() int {
	requests := make(map[string]bool)
	for _, i := range h.Instances {
		if i.Service != "tides" {
			continue
		}
		records, err := i.Records()
		must.NoError(h.t, err)
		for _, r := range records {
			if strings.HasSuffix(r.URL, "?flood") {
				requests[r.Request] = true
			}
		}
	}
	return len(requests)
}
