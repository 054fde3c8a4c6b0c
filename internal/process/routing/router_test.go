package routing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/hop"
	"github.com/teaselrack/teaselrack/internal/version"
)

// recoveryTime is the longest time that recovery may take after the end of an
// overload.
const recoveryTime = 2 * time.Second

var _ hop.Router = (*Router)(nil)

func record(instance, domain string) protocol.TargetRecord {
	return protocol.TargetRecord{Service: "tides", Instance: instance, FailureDomain: domain, State: protocol.Warm, Slots: 10}
}

func TestRouterPicksUsableTargets(t *testing.T) {
	now := time.Unix(0, 0)
	records := []protocol.TargetRecord{record("a", "x"), record("b", "x"), record("c", "y")}
	r := New(Options{
		Clock:         func() time.Time { return now },
		FailureDomain: "x",
		Targets:       func(string) []protocol.TargetRecord { return records },
		InService:     func(r protocol.TargetRecord) bool { return r.Instance != "b" },
	})
	e := &envelope.Envelope{Service: "tides", Team: "obala", Importance: version.Normal, Depth: 1}
	c, err := r.Pick(e, nil)
	must.NoError(t, err)
	must.Eq(t, "a", c.Target.Instance)
	c.Done(time.Millisecond, nil, nil)
	c, err = r.Pick(e, []string{"a"})
	must.NoError(t, err)
	must.Eq(t, "c", c.Target.Instance)
	c.Done(time.Millisecond, nil, nil)
	must.Eq(t, 1, r.Requests("tides"))

	records[0].State = protocol.Leaving
	records[2].DaemonLeaving = true
	now = now.Add(refreshInterval)
	_, err = r.Pick(e, nil)
	must.Eq(t, fault.NoTarget, fault.KindOf(err))
}

func TestRouterShedsBelowLevelAndRecovers(t *testing.T) {
	now := time.Unix(0, 0)
	r := New(Options{
		Clock:   func() time.Time { return now },
		Targets: func(string) []protocol.TargetRecord { return []protocol.TargetRecord{record("a", "x")} },
		Rand:    func() uint64 { return 7 },
	})
	send := func(i version.Importance, l *hop.Level) int {
		passed := 0
		for n := range envelope.CohortCount {
			e := &envelope.Envelope{Service: "tides", Team: "obala", Importance: i, Cohort: uint8(n), Depth: 1}
			c, err := r.Pick(e, nil)
			if err != nil {
				must.Eq(t, fault.Overloaded, fault.KindOf(err))
				continue
			}
			passed++
			c.Done(time.Millisecond, nil, l)
		}
		now = now.Add(refreshInterval)
		return passed
	}
	level := hop.Level{Importance: version.Normal, Cohort: 32}
	for range 8 {
		send(version.Critical, &level)
		send(version.Normal, &level)
		send(version.Low, &level)
	}
	must.Eq(t, envelope.CohortCount, send(version.Critical, &level))
	must.Between(t, 28, send(version.Normal, &level), 36)
	must.Between(t, 0, send(version.Low, &level), 4)
	now = now.Add(recoveryTime)
	must.Eq(t, envelope.CohortCount, send(version.Low, nil))
}

// batch is the number of requests that sendRequests sends concurrently.
const batch = 30

// sendRequests sends n requests and ends each with the error that end returns
// for its target. It returns the number of requests by target.
func sendRequests(t *testing.T, r *Router, n int, end func(instance string) error) map[string]int {
	t.Helper()
	got := make(map[string]int)
	for range n / batch {
		var choices []hop.Choice
		for range batch {
			c, err := r.Pick(&envelope.Envelope{Service: "tides", Team: "obala", Importance: version.Normal, Depth: 1}, nil)
			must.NoError(t, err)
			got[c.Target.Instance]++
			choices = append(choices, c)
		}
		for _, c := range choices {
			c.Done(time.Millisecond, end(c.Target.Instance), nil)
		}
	}
	return got
}

func TestRouterEjectsFailingTargetsUpToACap(t *testing.T) {
	now := time.Unix(0, 0)
	var records []protocol.TargetRecord
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		records = append(records, record(name, "x"))
	}
	r := New(Options{
		Clock:         func() time.Time { return now },
		FailureDomain: "x",
		Targets:       func(string) []protocol.TargetRecord { return records },
		Rand:          func() uint64 { return 7 },
	})
	succeed := func(string) error { return nil }
	sendRequests(t, r, 600, succeed)
	now = now.Add(rampTime)
	failA := func(instance string) error {
		if instance == "a" {
			return fault.New(fault.ConnectionLost, "broken")
		}
		return nil
	}
	failed, ejected := 0, false
	for range 100 {
		failed += sendRequests(t, r, 60, failA)["a"]
		now = now.Add(100 * time.Millisecond)
		ejected = ejected || r.service("tides").targets["a"].ejection.active(now)
	}
	must.True(t, ejected)
	must.LessEq(t, 60, failed)
	now = now.Add(ejectTimeMax)
	for range 100 {
		sendRequests(t, r, 60, succeed)
		now = now.Add(100 * time.Millisecond)
	}
	must.GreaterEq(t, 60, sendRequests(t, r, 600, succeed)["a"])

	failHalf := func(instance string) error {
		if instance < "d" {
			return fault.New(fault.ConnectionLost, "broken")
		}
		return nil
	}
	sendRequests(t, r, 600, failHalf)
	active := 0
	for _, target := range r.service("tides").sorted {
		if target.ejection.active(now) {
			active++
		}
	}
	must.Eq(t, len(records)/ejectDivisor, active)
}

func TestRouterSpillsOnlyWhenTheOwnDomainIsSlow(t *testing.T) {
	now := time.Unix(0, 0)
	records := []protocol.TargetRecord{record("near", "x"), record("far", "y")}
	slow := time.Millisecond
	r := New(Options{
		Clock:         func() time.Time { return now },
		FailureDomain: "x",
		Targets:       func(string) []protocol.TargetRecord { return records },
	})
	count := func() map[string]int {
		got := make(map[string]int)
		for range 200 {
			c, err := r.Pick(&envelope.Envelope{Service: "tides", Importance: version.Normal, Depth: 1}, nil)
			must.NoError(t, err)
			got[c.Target.Instance]++
			latency := time.Millisecond
			if c.Target.Instance == "near" {
				latency = slow
			}
			c.Done(latency, nil, nil)
		}
		return got
	}
	must.GreaterEq(t, 190, count()["near"])
	slow = 20 * time.Millisecond
	must.GreaterEq(t, 150, count()["far"])
}

func TestRouterGivesEachTeamItsShareAtTheRoot(t *testing.T) {
	now := time.Unix(0, 0)
	r := New(Options{
		Clock:   func() time.Time { return now },
		Targets: func(string) []protocol.TargetRecord { return []protocol.TargetRecord{record("a", "x")} },
		Rand:    func() uint64 { return 7 },
	})
	level := hop.Level{Importance: version.Normal, Cohort: envelope.CohortCount / 2}
	passed := make(map[string]int)
	for round := range 40 {
		for n := range 600 {
			team := "large"
			if n%6 == 0 {
				team = "small"
			}
			e := &envelope.Envelope{Service: "tides", Team: team, Importance: version.Normal, Cohort: uint8((7*n + round) % envelope.CohortCount), Depth: 1}
			c, err := r.Pick(e, nil)
			if err != nil {
				continue
			}
			c.Done(time.Millisecond, nil, &level)
			if round >= 20 {
				passed[team]++
			}
		}
		now = now.Add(refreshInterval)
	}
	must.GreaterEq(t, 95*20, passed["small"])
	must.Between(t, 4*20*45, passed["small"]+passed["large"], 20*330)
}
