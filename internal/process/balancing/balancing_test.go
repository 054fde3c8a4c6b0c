package balancing

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

func excludeNone(int) bool { return false }

// seededDraw returns a reproducible source of random numbers for Choose.
func seededDraw() func(int) int { return rand.New(rand.NewPCG(1, 1)).IntN }

func TestOwnFailureDomainFirst(t *testing.T) {
	now := time.Unix(1, 0)
	targets := []*Target{{SameDomain: true, Slots: 10}, {Slots: 10}}
	for range 100 {
		must.Eq(t, 0, Choose(now, targets, excludeNone, seededDraw()))
	}
	targets[0].RecordLoad(now, 2, 0)
	must.Eq(t, 1, Choose(now, targets, excludeNone, seededDraw()))
	targets[1].RecordLoad(now, 1.8, 0)
	must.Eq(t, 0, Choose(now, targets, excludeNone, seededDraw()), must.Sprint("a small difference in load does not justify leaving the failure domain"))
}

// TestSlowTargetIsAvoidedBeforeWorkIsShed guards against shedding while other
// targets have capacity: the target in the local failure domain is slow, and
// shedding half of its work keeps its slots just full.
func TestSlowTargetIsAvoidedBeforeWorkIsShed(t *testing.T) {
	now := time.Unix(1, 0)
	targets := []*Target{{SameDomain: true, Slots: 10}, {Slots: 10}}
	targets[0].RecordLoad(now, 0.95, 0.5)
	targets[1].RecordLoad(now, 0.9, 0)
	must.Eq(t, 1, Choose(now, targets, excludeNone, seededDraw()))
	targets[1].RecordLoad(now, 0.95, 0.5)
	must.Eq(t, 0, Choose(now, targets, excludeNone, seededDraw()), must.Sprint("requests stay in the failure domain if all targets are full"))
}

func TestNoUsableTarget(t *testing.T) {
	now := time.Unix(1, 0)
	must.Eq(t, -1, Choose(now, nil, excludeNone, seededDraw()))
	must.Eq(t, -1, Choose(now, []*Target{{SameDomain: true}}, func(int) bool { return true }, seededDraw()))
}

// TestFailingTargetIsAvoided checks that a target that fails half of its requests
// is avoided while the others succeed, and is used again when all targets fail
// alike.
func TestFailingTargetIsAvoided(t *testing.T) {
	now := time.Unix(1, 0)
	targets := []*Target{{SameDomain: true, Slots: 10}, {Slots: 10}, {Slots: 10}}
	for i := range 30 {
		targets[0].RecordResult(now, i%2 == 0)
		targets[1].RecordResult(now, false)
		targets[2].RecordResult(now, false)
	}
	must.NotEq(t, 0, Choose(now, targets, excludeNone, seededDraw()))
	for i := range 100 {
		targets[0].RecordResult(now, i%2 == 0)
		targets[1].RecordResult(now, i%2 == 0)
		targets[2].RecordResult(now, i%2 == 0)
	}
	must.Eq(t, 0, Choose(now, targets, excludeNone, seededDraw()), must.Sprint("failures that all targets share are no reason to choose another one"))
}

func TestFailuresAreForgotten(t *testing.T) {
	now := time.Unix(1, 0)
	var target Target
	for range 50 {
		target.RecordResult(now, true)
	}
	must.Greater(t, 0.9, target.Failures(now))
	must.Less(t, 0.1, target.Failures(now.Add(4*failureHalfLife)))
}

func TestBalancerExcludesLeavingTargets(t *testing.T) {
	records := []protocol.TargetRecord{
		{Service: "s", Instance: "a", FailureDomain: "z", State: protocol.Leaving, Slots: 1},
		{Service: "s", Instance: "b", FailureDomain: "z", State: protocol.Warm, Slots: 1, DaemonLeaving: true},
		{Service: "s", Instance: "c", FailureDomain: "y", State: protocol.Warm, Slots: 1},
	}
	b := &Balancer{FailureDomain: "z", List: func(string) []protocol.TargetRecord { return records }}
	choice, ok := b.Choose(time.Unix(1, 0), "s", "r", time.Second, nil)
	must.True(t, ok)
	must.Eq(t, "c", choice.Record.Instance)
	choice.Ended()
	_, ok = b.Choose(time.Unix(1, 0), "s", "r", time.Second, []string{"c"})
	must.False(t, ok)
}

// TestNearlyFullTargetIsUsed replays a target whose slots are nearly all in use beside an
// idle one in another failure domain: as long as nothing waits, nothing is gained there.
func TestNearlyFullTargetIsUsed(t *testing.T) {
	now := time.Unix(1, 0)
	targets := []*Target{{SameDomain: true, Slots: 10}, {Slots: 10}}
	targets[0].RecordLoad(now, 0.95, 0)
	must.Eq(t, 0, Choose(now, targets, excludeNone, seededDraw()))
	targets[0].RecordLoad(now, 1.1, 0)
	must.Eq(t, 1, Choose(now, targets, excludeNone, seededDraw()))
}

// TestRequestMovesInsteadOfItsCalls replays a failure domain whose deep service is full, or
// gone: a request that makes several calls to it moves to another failure domain, so that
// one message crosses instead of one for each call. Requests of other routes stay.
func TestRequestMovesInsteadOfItsCalls(t *testing.T) {
	now := time.Unix(1, 0)
	records := map[string][]protocol.TargetRecord{
		"upper": {{Instance: "a", FailureDomain: "z", Slots: 10}, {Instance: "b", FailureDomain: "y", Slots: 10}},
		"deep":  {{Instance: "c", FailureDomain: "z", Slots: 10}, {Instance: "d", FailureDomain: "y", Slots: 10}},
		"far":   {{Instance: "e", FailureDomain: "y", Slots: 10}},
	}
	b := &Balancer{FailureDomain: "z", List: func(service string) []protocol.TargetRecord { return records[service] }}
	choose := func(service, route string) Choice {
		choice, ok := b.Choose(now, service, route, time.Second, nil)
		must.True(t, ok)
		choice.Ended()
		return choice
	}
	must.Eq(t, 0, b.DomainLoad(now, "none"))
	must.Eq(t, absentLoad, b.DomainLoad(now, "far"))
	must.Eq(t, 0, b.DomainLoad(now, "deep"))
	choose("deep", "call").Update(func(deep *Target) { deep.RecordLoad(now, 1.2, 0) })
	must.Eq(t, 1.2, b.DomainLoad(now, "deep"))

	upper := choose("upper", "with calls")
	must.Eq(t, "a", upper.Record.Instance)
	upper.Update(func(u *Target) { u.RecordCalledLoad(now, "with calls", 1.2) })
	must.Eq(t, "b", choose("upper", "with calls").Record.Instance)
	must.Eq(t, "a", choose("upper", "without").Record.Instance)
	now = now.Add(time.Second)
	must.Eq(t, "a", choose("upper", "with calls").Record.Instance, must.Sprint("the report is old"))
}

// TestRejectionMovesRequestsForAMoment replays a target that has just rejected a request
// although its slots looked free.
func TestRejectionMovesRequestsForAMoment(t *testing.T) {
	now := time.Unix(1, 0)
	targets := []*Target{{SameDomain: true, Slots: 10}, {Slots: 10}}
	targets[0].RecordRejection(now)
	must.Eq(t, 1, Choose(now, targets, excludeNone, seededDraw()))
	must.Eq(t, 0, Choose(now.Add(rejectionPenalty), targets, excludeNone, seededDraw()))
}

// TestOldRoutesAreForgotten replays a configuration whose routes are replaced again and
// again while the target stays.
func TestOldRoutesAreForgotten(t *testing.T) {
	now := time.Unix(1, 0)
	records := []protocol.TargetRecord{{Service: "s", Instance: "a", FailureDomain: "z", Slots: 10}}
	b := &Balancer{FailureDomain: "z", List: func(string) []protocol.TargetRecord { return records }}
	for n := range 1000 {
		now = now.Add(time.Second)
		route := strconv.Itoa(n)
		choice, ok := b.Choose(now, "s", route, time.Second, nil)
		must.True(t, ok)
		choice.Update(func(target *Target) { target.RecordCalledLoad(now, route, 0) })
		choice.RecordTime(now, WholeTimeTaken)
		choice.Ended()
	}
	state := b.services["s"].targets["a"]
	must.LessEq(t, 121, len(state.delays))
	must.LessEq(t, 121, len(state.byRoute))
}
