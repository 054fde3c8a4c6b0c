package e2e

import (
	"context"
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
	return p.sendOrderWith(p.mesh.t.Context(), p.mesh.client, path)
}

func (p *meshProcess) sendOrderWith(ctx context.Context, client *http.Client, path string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address(controlPort)+path, nil)
	must.NoError(p.mesh.t, err)
	response, err := client.Do(request)
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
// afterwards to others, which acknowledge it. If keep is set, its sender goes on waiting for
// the replicas that stand still, and follows their redirects, until abandon is called.
func (m *mesh) orderByWayOf(path string, frozen, others []*meshProcess, keep bool) (abandon func()) {
	client := *m.client
	ctx, cancel := context.WithCancel(m.t.Context())
	if keep {
		client.Timeout = 0
	}
	var senders sync.WaitGroup
	for _, p := range frozen {
		for range ordersAtOnce {
			senders.Go(func() { p.sendOrderWith(ctx, &client, path) })
		}
	}
	if keep {
		time.Sleep(operatorTimeout)
	} else {
		senders.Wait()
	}
	m.order(path, others)
	return func() {
		cancel()
		senders.Wait()
	}
}

// lateOrder is a case of an order that a replica reads after a newer one was acknowledged.
type lateOrder struct {
	inService bool // what the late order says
	replicas  int  // how many replicas stand still
	pause     time.Duration
	// keep is true if its sender goes on waiting after it turned to another replica.
	keep bool
}

// checkLateOrders plays the cases one after the other.
func checkLateOrders(t *testing.T, cases []lateOrder) {
	t.Helper()
	m := startMesh(t, 2)
	m.putConfiguration(1)
	startMeshTarget(t, m.daemons[0])
	must.NoError(t, system.Await(formTimeout, m.daemons[1].checkServes))
	must.NoError(t, system.Await(formTimeout, func() error { return m.checkWhole(1) }))
	for _, c := range cases {
		t.Run(fmt.Sprintf("in service %t, %d replicas, at least %s", c.inService, c.replicas, c.pause), func(t *testing.T) { m.checkLateOrder(t, c) })
	}
}

func (m *mesh) checkLateOrder(t *testing.T, c lateOrder) {
	client := m.daemons[1]
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
	abandon := m.orderByWayOf(late, frozen, others, c.keep)
	defer abandon()
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
}

// TestResumedReplicaHandsOnALateOrder guards against an order that was acknowledged elsewhere
// while a replica stood still, and that this replica hands on when it goes on: it would undo a
// newer order. An evacuation and its end, short and long pauses, one replica and two.
func TestResumedReplicaHandsOnALateOrder(t *testing.T) {
	checkLateOrders(t, []lateOrder{{true, 1, 5 * time.Second, false}, {true, 2, 0, false}, {true, 1, 0, false}, {false, 1, 3 * time.Second, false}, {false, 2, 0, false}})
}

// TestResumedReplicaRedirectsALateOrder guards against an order that a resumed replica redirects
// with the present generation to a sender that turned elsewhere and kept its connection: it
// follows, and undoes a newer order.
func TestResumedReplicaRedirectsALateOrder(t *testing.T) {
	checkLateOrders(t, []lateOrder{{true, 1, 5 * time.Second, true}, {true, 2, 0, true}, {true, 1, 0, true}, {false, 1, 3 * time.Second, true}, {false, 2, 0, true}})
}
