package relay

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/process/quarantine"
)

const (
	commonPath = "/p/common"
	// commonInterval is the time between two requests.
	commonInterval = 10 * time.Millisecond
)

// crashAll crashes all targets that are up, whatever they are running.
func (m *crashingMesh) crashAll() {
	for _, inst := range m.instances {
		m.mu.Lock()
		if stop := m.crash[inst]; stop != nil {
			stop()
			m.crash[inst] = nil
			n := m.starts[inst]
			time.AfterFunc(downTime, func() { m.start(inst, n+1) })
		}
		m.mu.Unlock()
	}
}

// TestCommonRequestIsRefusedAfterACommonCrash guards against the quarantine of the request
// that most callers send, because all targets of its service crashed for another reason
// while they were running it. A request at fault is found beside that.
func TestCommonRequestIsRefusedAfterACommonCrash(t *testing.T) {
	const (
		duration = 14 * time.Second
		// slowTime is how long requests take after the second start of a target.
		slowTime = 350 * time.Millisecond
	)
	for _, test := range []struct {
		name string
		// waves are the times at which all targets crash.
		waves []time.Duration
		// deadly is the time from which deadlyPath is sent too.
		deadly time.Duration
	}{
		{"one wave", []time.Duration{3 * time.Second}, 0},
		// The second wave finds targets that have just started and completed nothing.
		{"two waves", []time.Duration{3 * time.Second, 3*time.Second + downTime + slowTime - 10*time.Millisecond}, 0},
		{"one wave, deadly before", []time.Duration{5 * time.Second}, 3 * time.Second},
		{"two waves, deadly between", []time.Duration{3 * time.Second, 8 * time.Second}, 5 * time.Second},
	} {
		for _, targets := range []int{4, 9} {
			t.Run(fmt.Sprintf("%s/%d targets", test.name, targets), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newCrashingMesh(t, targets)
					m.serviceTimes = []time.Duration{serviceTime, slowTime}
					sender := m.addRemote()
					var pending sync.WaitGroup
					pending.Go(func() { m.renew(duration) })
					for _, at := range test.waves {
						time.AfterFunc(at, m.crashAll)
					}
					for i := range int(duration / commonInterval) {
						path := commonPath
						switch {
						case test.deadly > 0 && i%10 == 0 && time.Duration(i)*commonInterval >= test.deadly:
							path = deadlyPath
						case i%100 == 0:
							path = "/p/rare"
						}
						pending.Go(func() { m.send(sender, "GET", path, nil, "") })
						time.Sleep(commonInterval)
					}
					pending.Wait()
					for _, path := range []string{commonPath, "/p/rare"} {
						response, text := m.send(sender, "GET", path, nil, "")
						must.Eq(t, http.StatusOK, response.StatusCode, must.Sprint(path, ": ", text))
					}
					if test.deadly > 0 {
						must.LessEq(t, maxDeadlyRetries, m.late, must.Sprint("after the third crash"))
						response, text := m.send(sender, "GET", deadlyPath, nil, "")
						must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
						must.True(t, strings.Contains(text, "have crashed"), must.Sprint(text))
					}
					time.Sleep(time.Second)
				})
			})
		}
	}
}

// TestRefusedRequestIsProbed checks that a request that was quarantined by mistake is served
// again, and that one at fault reaches at most as many targets as it may over two minutes.
func TestRefusedRequestIsProbed(t *testing.T) {
	const duration, interval = 2 * time.Minute, 200 * time.Millisecond
	for _, path := range []string{commonPath, deadlyPath} {
		synctest.Test(t, func(t *testing.T) {
			m := newCrashingMesh(t, 6)
			sender := m.addRemote()
			var pending sync.WaitGroup
			pending.Go(func() { m.renew(duration) })
			if path == commonPath {
				content := quarantine.NewFingerprint("GET", host, commonPath, nil, 0)
				for i := range 3 {
					sender.quarantine.AddCrash(fmt.Sprint("i/", i), []quarantine.Fingerprint{content})
				}
				time.Sleep(2 * time.Second)
				response, _ := m.send(sender, "GET", path, nil, "")
				must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
			}
			for range int((duration - 2*time.Second) / interval) {
				pending.Go(func() { m.send(sender, "GET", path, nil, "") })
				time.Sleep(interval)
			}
			pending.Wait()
			response, text := m.send(sender, "GET", path, nil, "")
			if path == commonPath {
				must.Eq(t, http.StatusOK, response.StatusCode, must.Sprint(text))
			} else {
				must.Eq(t, http.StatusServiceUnavailable, response.StatusCode, must.Sprint(text))
				must.LessEq(t, maxDeadlyRetries, m.late, must.Sprint("after the third crash, of ", len(m.crashes)))
			}
			time.Sleep(downTime)
		})
	}
}

// TestOnlyRequestOfAServiceCrashesAllTargets guards against a request at fault that is
// taken for a victim of a common crash, or that is found late: it is all that its service
// gets, and no other request shows that a target is down.
func TestOnlyRequestOfAServiceCrashesAllTargets(t *testing.T) {
	const duration = 20 * time.Second
	for _, targets := range []int{4, 9, 33} {
		for _, interval := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%d targets each %s", targets, interval), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newCrashingMesh(t, targets)
					sender := m.addRemote()
					var pending sync.WaitGroup
					pending.Go(func() { m.renew(duration) })
					for range int(duration / interval) {
						pending.Go(func() { m.send(sender, "GET", deadlyPath, nil, "") })
						time.Sleep(interval)
					}
					pending.Wait()
					must.GreaterEq(t, 3, len(m.crashes))
					must.LessEq(t, maxDeadlyRetries, m.late, must.Sprint("after the third crash, of ", len(m.crashes)))
					time.Sleep(downTime)
				})
			})
		}
	}
}
