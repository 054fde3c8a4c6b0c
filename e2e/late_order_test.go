package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/emulator/system"
)

const (
	// ordersAtOnce is how many orders operators have in progress at a time.
	ordersAtOnce = 8
	// orderTimeout is how long operators send an order again.
	orderTimeout = 4 * time.Second
	// lateOrderEffect is a time in which an order that a resumed replica hands on takes effect.
	lateOrderEffect = time.Second
)

// freeze sends SIGSTOP to the process and returns once all its threads have stopped.
func (p *meshProcess) freeze() {
	p.signal(syscall.SIGSTOP)
	must.NoError(p.mesh.t, system.Await(settleTimeout, func() error { return checkThreadsStopped(p.command.Process.Pid) }))
}

// evacuationPath returns the path of an order about failure domain a.
func evacuationPath(inService bool) string {
	if inService {
		return "/-/evacuate/a/end"
	}
	return "/-/evacuate/a/start"
}

// sendOrder sends an order to a replica and follows redirects. It returns the status, 0 without a
// response.
func (p *meshProcess) sendOrder(path string) int {
	response, err := p.mesh.client.Post("http://"+p.address(controlPort)+path, "", nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// order sends an order to the replicas in turn until one acknowledges it.
func (m *mesh) order(path string, replicas []*meshProcess) {
	m.t.Helper()
	must.NoError(m.t, system.Await(orderTimeout, func() error {
		var statuses []int
		for _, p := range replicas {
			status := p.sendOrder(path)
			if status == http.StatusOK {
				return nil
			}
			must.NotEq(m.t, 4, status/100, must.Sprintf("%s refused %s", p.name, path))
			statuses = append(statuses, status)
		}
		return fmt.Errorf("%s is not acknowledged: %v", path, statuses)
	}))
}

// orderByWayOf sends an order to replicas that stand still, several times at once, and
// afterwards to others, which acknowledge it.
func (m *mesh) orderByWayOf(path string, frozen, others []*meshProcess) {
	var waits sync.WaitGroup
	for _, p := range frozen {
		for range ordersAtOnce {
			waits.Go(func() { p.sendOrder(path) })
		}
	}
	waits.Wait()
	m.order(path, others)
}

// TestResumedReplicaHandsOnALateOrder guards against an order that was acknowledged elsewhere
// while a replica stood still, and that this replica hands on when it goes on: it would undo a
// newer order. An evacuation and its end, short and long pauses, one replica and two.
func TestResumedReplicaHandsOnALateOrder(t *testing.T) {
	m := startMesh(t, 2)
	m.putConfiguration(1)
	startMeshTarget(t, m.daemons[0])
	client := m.daemons[1]
	must.NoError(t, system.Await(formTimeout, client.checkServes))
	must.NoError(t, system.Await(formTimeout, func() error { return m.checkWhole(1) }))
	for _, c := range []struct {
		inService bool // what the late order says
		replicas  int
		pause     time.Duration
	}{{true, 1, 5 * time.Second}, {true, 2, 0}, {true, 1, 0}, {false, 1, 3 * time.Second}, {false, 2, 0}} {
		t.Run(fmt.Sprintf("in service %t, %d replicas, at least %s", c.inService, c.replicas, c.pause), func(t *testing.T) {
			late, newer := evacuationPath(c.inService), evacuationPath(!c.inService)
			replicas := slices.Clone(m.replicas)
			slices.SortStableFunc(replicas, func(a, b *meshProcess) int {
				return int(a.metric("teaselrack_group_leads") - b.metric("teaselrack_group_leads"))
			})
			frozen, others := replicas[:c.replicas], replicas[c.replicas:]
			m.order(newer, others)
			began := time.Now()
			for _, p := range frozen {
				p.freeze()
			}
			m.orderByWayOf(late, frozen, others)
			m.order(newer, others)
			time.Sleep(time.Until(began.Add(c.pause)))
			for _, p := range frozen {
				p.signal(syscall.SIGCONT)
			}
			for end := time.Now().Add(lateOrderEffect); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				served := client.checkServes() == nil
				must.False(t, c.inService && served, must.Sprintf("a request reaches the failure domain, the last order was %s", newer))
			}
			if !c.inService {
				must.NoError(t, system.Await(settleTimeout, client.checkServes), must.Sprintf("the last order was %s", newer))
			}
			m.order(newer, m.replicas)
			must.NoError(t, system.Await(formTimeout, func() error { return m.checkWhole(1) }))
		})
	}
}
