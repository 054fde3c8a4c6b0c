package relay

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/memnet"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// limitWindow is the length of the windows in which requests are counted.
	// limitFactor and limitSlack bound their number: limitFactor times what the
	// stated limit allows, and limitSlack more. limitGrace is the time from the first
	// statement of a limit until the bound holds.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitGrace  = 3 * time.Second
)

// arrivals counts the requests at a target in virtual time.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

// most returns the largest number of arrivals in a window that ends at since or later.
func (a *arrivals) most(since time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for i, end := range a.at {
		if end.Before(since) {
			continue
		}
		count := 0
		for _, at := range a.at[:i+1] {
			if end.Sub(at) < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// limitedMesh is a mesh in virtual time whose first target states a limit.
type limitedMesh struct {
	*mesh
	arrivals arrivals
	senders  []*instance
}

// newLimitedMesh returns a mesh with as many targets and senders; the first target
// states the limit in all its responses.
func newLimitedMesh(t *testing.T, targets, senders int, limit float64, responseTime time.Duration) *limitedMesh {
	m := &limitedMesh{mesh: newMeshOn(t, memnet.New(time.Millisecond), version.Idempotent, 1, targets)}
	m.instances[0].stub.serveWith(func(w http.ResponseWriter, _ *http.Request) {
		m.arrivals.add()
		time.Sleep(responseTime)
		w.Header().Set(DefaultNames().Limit, strconv.FormatFloat(limit, 'f', -1, 64))
		_, _ = w.Write([]byte("ok"))
	})
	for range senders {
		m.senders = append(m.senders, m.addRemote())
	}
	return m
}

// load sends perSecond requests a second from each sender for d, and waits for all
// responses and for the requests that were given up.
func (m *limitedMesh) load(perSecond int, d time.Duration) {
	var pending sync.WaitGroup
	for range int(d.Seconds() * float64(perSecond)) {
		for _, sender := range m.senders {
			pending.Go(func() { m.send(sender, "GET", "/p/x", nil, "") })
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	pending.Wait()
	time.Sleep(time.Second)
}

func (m *limitedMesh) checkLimit(since time.Time, limit float64) {
	m.t.Helper()
	allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
	must.LessEq(m.t, allowed, m.arrivals.most(since.Add(limitGrace)), must.Sprint("requests in a window"))
}

// TestTargetGetsMoreThanItsStatedLimit guards against load beyond the limit that a
// target states, summed over all daemons that send to it.
func TestTargetGetsMoreThanItsStatedLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.5, 20, 60} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newLimitedMesh(t, 1, 3, limit, 100*time.Millisecond)
				start := time.Now()
				m.load(50, 10*time.Second)
				m.checkLimit(start, limit)
			})
		})
	}
}

// TestRestartedDaemonForgetsTheStatedLimit guards against a burst beyond the stated
// limit after the daemon beside the target has restarted. The target takes 300 ms
// for each response, so that the daemon learns nothing from it for that long.
func TestRestartedDaemonForgetsTheStatedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 0.5
		m := newLimitedMesh(t, 1, 3, limit, 300*time.Millisecond)
		start := time.Now()
		var load sync.WaitGroup
		load.Go(func() { m.load(50, 10*time.Second) })
		for range 3 {
			time.Sleep(2500 * time.Millisecond)
			m.restart(m.instances[0])
		}
		load.Wait()
		m.checkLimit(start, limit)
	})
}
