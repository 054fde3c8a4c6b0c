package relay

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/teaselrack/teaselrack/internal/version"
)

// TestRequestAtATargetWhoseDaemonStoppedEarlier guards against requests that an entry takes
// just before and during its shutdown and that the daemon beside their target breaks off,
// because its shutdown began earlier: the entry's own time is not over. Other daemons learn
// of the earlier shutdown 2.2 s after it began.
func TestRequestAtATargetWhoseDaemonStoppedEarlier(t *testing.T) {
	const gap, unlisted, work, requests = time.Second, 2200 * time.Millisecond, 4500 * time.Millisecond, 80
	for _, mode := range []version.Mode{version.Once, version.Idempotent} {
		playShutdown(t, mode, func(m *mesh, earlier, later *process) {
			core, logs := observer.New(zapcore.InfoLevel)
			earlier.inst.peerHandler.Log = zap.New(core)
			for _, p := range []*process{earlier, later} {
				p.inst.stub.workFor(work)
			}
			begin := time.Now()
			earlier.shutDown()
			time.AfterFunc(gap, later.shutDown)
			time.AfterFunc(unlisted, func() {
				m.records.Lock()
				defer m.records.Unlock()
				earlier.inst.record.DaemonLeaving = true
			})
			var ends []<-chan sentRequest
			for n := range requests {
				ends = append(ends, m.sendAt(later.inst, begin, 800*time.Millisecond+time.Duration(n)*10*time.Millisecond))
			}
			broken := 0
			for _, ended := range ends {
				if end := <-ended; end.status != http.StatusOK {
					broken++
				}
			}
			refusals := logs.FilterMessage("request not sent to the target").Len()
			t.Logf("%d of %d requests broken off; %d refused by the daemon that stops and sent once more", broken, requests, refusals)
			must.Eq(t, 0, broken)
			must.Between(t, 1, refusals, requests/2, must.Sprint("half of the requests choose either target"))
		})
	}
}

// TestLastTargetIsUsedWhileItsDaemonStops checks that a daemon that stops still takes
// requests that may outlast it where its target is the only one.
func TestLastTargetIsUsedWhileItsDaemonStops(t *testing.T) {
	playShutdown(t, version.Once, func(m *mesh, first, second *process) {
		m.only(first.inst)
		first.inst.stub.workFor(time.Second)
		sigterm := time.Now()
		first.shutDown()
		var ends []<-chan sentRequest
		for range 3 {
			ends = append(ends, m.sendAt(second.inst, sigterm, time.Second))
		}
		for _, ended := range ends {
			must.Eq(t, http.StatusOK, (<-ended).status)
		}
		must.Eq(t, 3, first.inst.stub.count())
	})
}

// TestLongBodyIsRefusedByADaemonThatStops guards against a daemon that stops and refuses a
// request because its sender can turn to another one, while the sender cannot: it does not
// hold the whole body, so that it has only one attempt.
func TestLongBodyIsRefusedByADaemonThatStops(t *testing.T) {
	playShutdown(t, version.Once, func(m *mesh, first, second *process) {
		m.only(first.inst)
		first.shutDown()
		time.Sleep(time.Second)
		resp, _ := m.send(second.inst, http.MethodPost, "/p/x", map[string]string{"Teaselrack-Timeout": "20000"}, strings.Repeat("b", 2*maxBufferedBytes))
		must.Eq(t, http.StatusOK, resp.StatusCode)
		must.Eq(t, 1, first.inst.stub.count())
	})
}

// TestManyDaemonsStop guards against a request that as many daemons that stop refuse as it
// may be forwarded to, so that none of them gets it as the last resort.
func TestManyDaemonsStop(t *testing.T) {
	playShutdown(t, version.Once, func(m *mesh, first, second *process) {
		m.only(first.inst)
		first.shutDown()
		stopping := []*instance{first.inst}
		for n := range maxForwards {
			inst := m.add("m"+strconv.Itoa(2+n), "s")
			m.newProcess(inst).shutDown()
			stopping = append(stopping, inst)
		}
		must.Eq(t, http.StatusOK, (<-m.sendAt(second.inst, time.Now(), time.Second)).status)
		arrivals := 0
		for _, inst := range stopping {
			arrivals += inst.stub.count()
		}
		must.Eq(t, 1, arrivals)
	})
}
