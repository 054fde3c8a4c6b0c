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

// recoveryTime is the longest time allowed after the end of an overload.
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
