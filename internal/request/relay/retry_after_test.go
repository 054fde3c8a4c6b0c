package relay

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/memnet"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/local"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
	"github.com/teaselrack/teaselrack/internal/version"
)

// TestCallersReturnWhenTargetsAreWarm replays the last seconds before cold targets turn
// warm: a caller that can wait for that long is told to return then, any other one soon.
func TestCallersReturnWhenTargetsAreWarm(t *testing.T) {
	now := time.Unix(1, 0)
	r := &inboundRequest{receivedAt: now, callerDeadline: now.Add(5 * time.Second), objectiveDeadline: now.Add(1500 * time.Millisecond)}
	for _, c := range []struct{ endsIn, least, most time.Duration }{
		{0, 500 * time.Millisecond, 500 * time.Millisecond},
		{200 * time.Millisecond, 200 * time.Millisecond, 1200 * time.Millisecond},
		{1600 * time.Millisecond, 1600 * time.Millisecond, 5 * time.Second / 3},
		{2 * time.Second, 5 * time.Second / 3, 5 * time.Second / 3 * 4 / 5},
	} {
		must.Between(t, c.least-time.Microsecond, r.retryAfterLevel(c.endsIn, 0), c.least+time.Microsecond)
		must.Between(t, c.most-time.Microsecond, r.retryAfterLevel(c.endsIn, 1), c.most+time.Microsecond)
	}
}

// TestCallersAreNotToldToWaitTooLong checks that a retry-after time is one that the caller
// follows.
func TestCallersAreNotToldToWaitTooLong(t *testing.T) {
	now := time.Unix(1, 0)
	r := &inboundRequest{receivedAt: now, callerDeadline: now.Add(900 * time.Millisecond)}
	must.Eq(t, 300*time.Millisecond, r.followed(now, 2*time.Second))
	must.Eq(t, 100*time.Millisecond, r.followed(now, 100*time.Millisecond))
	must.Eq(t, 100*time.Millisecond, r.followed(now.Add(600*time.Millisecond), 2*time.Second))
	must.Eq(t, time.Millisecond, r.followed(now.Add(time.Second), 2*time.Second))
	must.Eq(t, 2*time.Second, (&inboundRequest{}).followed(now, 2*time.Second), must.Sprint("not known yet"))
}

// TestLateRefusalTellsAShortRetryAfter guards against refusals whose Retry-After is longer
// than the caller has left, so that it gives up: the refusal comes late, or the time is the
// usual one of its kind.
func TestLateRefusalTellsAShortRetryAfter(t *testing.T) {
	for name, noToken := range map[string]bool{"late": true, "no target": false} {
		synctest.Test(t, func(t *testing.T) {
			network := memnet.New(time.Millisecond)
			m := newMeshOn(t, network, version.Once, 0, 0)
			outside := m.addRemote()
			if noToken {
				m.takeToken = func(string) error {
					time.Sleep(240 * time.Millisecond)
					return fault.New(fault.QuotaExceeded, "no token")
				}
			}
			began := time.Now()
			resp, _ := m.send(outside, "POST", "/p/x", map[string]string{"Teaselrack-Timeout": "300"}, "body")
			left := time.Until(began.Add(300 * time.Millisecond))
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			must.NoError(t, err)
			must.Between(t, 0.001, after, (left+10*time.Millisecond).Seconds()/3, must.Sprint(name))
			network.Close()
			time.Sleep(time.Minute)
		})
	}
}

// TestRejectionAtTheLimitOfATeam checks the response to a request that gets no token: when
// to retry follows from the objective of the route, 300 ms, and the time limit.
func TestRejectionAtTheLimitOfATeam(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	for kind, status := range map[fault.Kind]int{fault.QuotaExceeded: http.StatusTooManyRequests, fault.QuotaUnavailable: http.StatusServiceUnavailable} {
		m.takeToken = func(string) error { return fault.New(kind, "no token") }
		for limit, most := range map[string]float64{"5000": 0.1, "240": 0.08} {
			resp, _ := m.send(m.instances[0], "POST", "/p/x", map[string]string{"Teaselrack-Timeout": limit}, "body")
			must.Eq(t, status, resp.StatusCode)
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			must.NoError(t, err)
			must.Between(t, 0.05, after, most)
		}
	}
	must.Eq(t, 0, m.instances[0].stub.count())
}

// TestRequestsAreHeldUntilTargetsAreWarm replays the end of the time in which all targets
// of a service are cold: a request that can still be served in time then waits and runs,
// one that would have to wait too long is told when to return.
func TestRequestsAreHeldUntilTargetsAreWarm(t *testing.T) {
	for endsIn, held := range map[time.Duration]bool{150 * time.Millisecond: true, 300 * time.Millisecond: false} {
		synctest.Test(t, func(t *testing.T) {
			network := memnet.New(time.Millisecond)
			m := newMeshOn(t, network, version.Idempotent, 0, 1)
			outside := m.addRemote()
			_, _ = m.send(outside, "GET", "/p/x", nil, "")
			for range 40 {
				observeLevel(outside.entry.Levels, "r", shedding.Bottleneck{Service: "deep", Level: 1, Cost: time.Second, EndsIn: endsIn})
				began := time.Now()
				resp, _ := m.send(outside, "GET", "/p/x", nil, "")
				if held {
					must.Eq(t, http.StatusOK, resp.StatusCode)
					continue
				}
				if resp.StatusCode == http.StatusServiceUnavailable {
					must.Less(t, 50*time.Millisecond, time.Since(began), must.Sprint("a refusal comes at once"))
					must.NotEq(t, "", resp.Header.Get("Retry-After"))
				}
			}
			if held {
				must.Eq(t, 41, m.instances[0].stub.count())
			} else {
				must.Less(t, 20, m.instances[0].stub.count())
			}
			network.Close()
			time.Sleep(time.Minute)
		})
	}
}

// TestEndOfAColdLevelIsThatOfAllTargets checks that a daemon reports when its cold target
// is warm only if no other target of the service is: callers need not wait for it.
func TestEndOfAColdLevelIsThatOfAllTargets(t *testing.T) {
	for state, reported := range map[protocol.TargetState]bool{protocol.Warm: false, protocol.Cold: true} {
		m := newMesh(t, version.Idempotent, 0, 2)
		inst := m.instances[0]
		inst.record.State, m.instances[1].record.State = protocol.Cold, state
		inst.peerHandler.Target = local.New(local.Options{
			Service: "s", Address: inst.targetAddress, Interval: time.Minute, Now: time.Now, Log: zap.NewNop(),
			ColdRate: func() float64 { return 10 }, Permitted: func() error { return nil }, Changed: func() {},
		})
		must.NoError(t, inst.peerHandler.Target.Heartbeat(local.Heartbeat{ID: inst.name, Sequence: 1, Service: "s", Address: inst.targetAddress, Slots: 100, ColdFor: 3 * time.Second}))
		must.Eq(t, reported, inst.peerHandler.Bottleneck("r").EndsIn > 0, must.Sprint(state))
	}
}

// TestMalformedLevelsChangeNothing checks what a daemon makes of the load that another one
// reports.
func TestMalformedLevelsChangeNothing(t *testing.T) {
	for _, ends := range []string{"x", "-5", "1e9", "99999999999999"} {
		h := http.Header{headerShedLevel: {"0.9 1000 s"}, headerShedLevelEnds: {ends}}
		bottleneck, err := readBottleneck(h)
		must.Error(t, err, must.Sprint(ends))
		must.Eq(t, "", bottleneck.Service)
	}
	for _, load := range []string{"x", "NaN", "-1", "1e9", "+Inf"} {
		got, err := readCalledLoad(http.Header{headerCalledLoad: {load}})
		must.Error(t, err, must.Sprint(load))
		must.Eq(t, 0, got)
	}
	bottleneck, err := readBottleneck(http.Header{headerShedLevel: {"0.9 1000 s"}, headerShedLevelEnds: {"999999999"}})
	must.NoError(t, err)
	must.Eq(t, maxLevelEnd, bottleneck.EndsIn)
}
