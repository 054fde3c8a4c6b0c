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

var errTooFewRuns = errors.New("too few requests ran")

// TestQuotaOverAllInstances guards against a team that exceeds its quota by sending
// to many instances at once. The team sends as fast as it can to every instance
// but the leader's. Meanwhile the leader, which issues the tokens, is killed. The
// number of requests that run must not exceed the burst plus the rate times the
// elapsed time.
func TestQuotaOverAllInstances(t *testing.T) {
	h := start(t, nil)
	leader := h.leader()
	began := time.Now()
	var done atomic.Bool
	var successCounts []chan int
	for _, name := range h.otherInstances(leader) {
		successCount := make(chan int, 1)
		successCounts = append(successCounts, successCount)
		go func() { successCount <- h.flood(h.Instance(name).Ingress, &done) }()
	}
	awaitRuns := func(more int) {
		t.Helper()
		want := h.floodRuns() + more
		must.NoError(t, system.Await(settleTimeout, func() error {
			if have := h.floodRuns(); have < want {
				return errTooFewRuns
			}
			return nil
		}))
	}
	awaitRuns(system.SidroBurst)
	h.kill(leader)
	awaitRuns(system.SidroBurst)
	done.Store(true)
	succeeded := 0
	for _, successCount := range successCounts {
		succeeded += <-successCount
	}
	took := time.Since(began)
	runs := h.floodRuns()
	allowed := system.SidroBurst + int(system.SidroRate*took.Seconds())
	t.Logf("%d requests ran and %d got a complete response in %v; the quota allows %d", runs, succeeded, took, allowed)
	must.LessEq(t, allowed, runs)
	must.LessEq(t, runs, succeeded)
}

// flood sends requests of team sidro until done is set, and returns how many got
// a complete response with status 200.
func (h *harness) flood(ingress string, done *atomic.Bool) int {
	client := system.NewClient()
	defer client.Close()
	successes := 0
	for !done.Load() {
		response, err := client.Do(system.Request{Ingress: ingress, Method: "GET", Path: "/slots?flood", Key: h.Keys["B"].Secret})
		if err == nil && response.Status == 200 {
			successes++
		}
	}
	return successes
}

// floodRuns returns the number of requests of flood that reached the first
// service. Several attempts of one request count as one.
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
