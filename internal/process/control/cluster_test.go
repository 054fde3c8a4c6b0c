package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/control"
	"github.com/teaselrack/teaselrack/internal/process/ledger"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/process/renewal"
)

const (
	operatorName = "operator"
	replicaCount = 3
	daemonCount  = 4
)

type nothing struct{}

func (nothing) Record(protocol.Event) {}

// cluster is a few control replicas and daemons on one network.
type cluster struct {
	t        *testing.T
	net      *network
	dir      string
	replicas []*replicaProcess
	daemons  []*daemonProcess
	operator *port
}

func (c *cluster) addresses() []string {
	all := make([]string, len(c.replicas))
	for i, r := range c.replicas {
		all[i] = r.address
	}
	return all
}

// names returns every process.
func (c *cluster) names() []string {
	all := c.addresses()
	for _, d := range c.daemons {
		all = append(all, d.name)
	}
	return append(all, operatorName)
}

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{t: t, net: newNetwork(seed), dir: t.TempDir()}
	c.operator = &port{c.net, operatorName, mesh.Peer{Name: operatorName, Role: mesh.Operator}}
	for i := range replicaCount {
		c.replicas = append(c.replicas, &replicaProcess{cluster: c, address: fmt.Sprintf("10.0.0.%d:1", i+1)})
	}
	for _, r := range c.replicas {
		r.start()
	}
	c.found()
	for i := range daemonCount {
		d := &daemonProcess{cluster: c, name: fmt.Sprintf("d%d", i)}
		c.daemons = append(c.daemons, d)
		d.start()
	}
	return c
}

func (c *cluster) found() {
	must.NoError(c.t, c.operator.Call(c.t.Context(), c.replicas[0].address, protocol.MethodFound, protocol.FoundRequest{}, &protocol.FoundReply{}))
	for _, r := range c.replicas[1:] {
		c.admit(r.address)
	}
}

// admit asks the replicas in turn until one has admitted address.
func (c *cluster) admit(address string) {
	for range 100 {
		for _, r := range c.replicas {
			err := c.operator.Call(c.t.Context(), r.address, protocol.MethodAdmit, protocol.AdmitRequest{Address: address}, &protocol.Empty{})
			if err == nil {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatalf("%s was not admitted", address)
}

// apply sends a note to the replicas in turn until one gives a final answer.
func (c *cluster) apply(text string) (protocol.ApplyReply, error) {
	var reply protocol.ApplyReply
	var err error
	for range 200 {
		for _, r := range c.replicas {
			err = c.operator.Call(c.t.Context(), r.address, protocol.MethodApply, protocol.ApplyRequest{Note: []byte(text)}, &reply)
			if err == nil || final(err) {
				return reply, err
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return reply, err
}

func (c *cluster) close() {
	for _, d := range c.daemons {
		d.stop()
	}
	for _, name := range c.names() {
		c.net.thaw(name)
	}
	for _, r := range c.replicas {
		r.stop()
	}
	// Calls that were given up end within their own time limits.
	time.Sleep(time.Minute)
}

// replicaProcess is one control replica with a data folder.
type replicaProcess struct {
	cluster *cluster
	address string
	life    int
	cancel  context.CancelFunc
	ended   chan error
	role    *control.Role
}

func (r *replicaProcess) start() {
	c := r.cluster
	role, err := control.NewRole(control.RoleOptions{
		Folder:       filepath.Join(c.dir, r.address, fmt.Sprint(r.life)),
		Address:      r.address,
		Replicas:     c.addresses(),
		LedgerShards: 1,
		Caller:       &port{c.net, r.address, mesh.Peer{Name: r.address, Role: mesh.Replica}},
		Recorder:     nothing{},
		Log:          zap.NewNop(),
	})
	must.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r.role, r.cancel, r.ended = role, cancel, make(chan error, 1)
	go func() { r.ended <- role.Run(ctx) }()
	c.net.serve(r.address, role.Handlers())
}

func (r *replicaProcess) stop() {
	if r.role == nil {
		return
	}
	r.cluster.net.serve(r.address, nil)
	r.cancel()
	must.NoError(r.cluster.t, <-r.ended)
	must.NoError(r.cluster.t, r.role.Close())
	r.role = nil
}

// replace starts the replica again with an empty data folder and admits it.
func (r *replicaProcess) replace() {
	r.stop()
	r.life++
	r.start()
	r.cluster.admit(r.address)
}

// daemonProcess is the control side of one daemon.
type daemonProcess struct {
	cluster *cluster
	name    string
	starts  int
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	floor   configuration.Floor
	holder  *configuration.Holder
	table   *registry.Table
	quota   *quota.Holder
	ledger  *ledger.Client
	loop    *renewal.Loop

	mu      sync.Mutex
	targets []protocol.Announcement
}

func (d *daemonProcess) start() {
	c := d.cluster
	d.starts++
	d.holder = configuration.NewHolder(configuration.HolderOptions{Now: time.Now, Save: d.save, Floor: d.floor})
	d.table = registry.NewTable(time.Now)
	d.quota = quota.NewHolder(time.Now, func(ctx context.Context, asks []protocol.QuotaAsk) ([]protocol.QuotaGrant, time.Time, error) {
		return d.loop.Ask(ctx, asks)
	})
	d.loop = renewal.New(renewal.Options{
		Instance: d.name, Session: fmt.Sprint(d.name, d.starts), PeerAddress: d.name + ":1", FailureDomain: "a",
		Replicas:      c.addresses(),
		Subscriptions: func() []string { return []string{"tides"} },
		Caller:        &port{c.net, d.name, mesh.Peer{Name: d.name, Role: mesh.Daemon}},
		Holder:        d.holder, Table: d.table, Quota: d.quota,
		Targets: d.announced, Leaving: func() bool { return false },
		Clock: time.Now, Recorder: nothing{}, Log: zap.NewNop(),
	})
	d.ledger = ledger.NewClient(d.loop, 1)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.wg.Go(func() { _ = d.loop.Run(ctx) })
	d.wg.Go(func() { _ = d.quota.Run(ctx) })
}

func (d *daemonProcess) stop() {
	d.cancel()
	d.wg.Wait()
}

func (d *daemonProcess) save(number uint64, digest string) error {
	d.floor = configuration.Floor{Number: number, Digest: digest}
	return nil
}

func (d *daemonProcess) announced() []protocol.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targets
}

func (d *daemonProcess) announce(targets ...protocol.Announcement) {
	d.mu.Lock()
	d.targets = targets
	d.mu.Unlock()
	d.loop.Kick()
}

// callRole calls a method of a role as an operator, without a network.
func callRole(role *control.Role, method string, params any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	_, err = role.Handlers()[method](context.Background(), mesh.Peer{Name: operatorName, Role: mesh.Operator}, encoded)
	return err
}

func applyAt(t *testing.T, role *control.Role, text string) {
	t.Helper()
	must.NoError(t, callRole(role, protocol.MethodApply, protocol.ApplyRequest{Note: []byte(text)}))
}
