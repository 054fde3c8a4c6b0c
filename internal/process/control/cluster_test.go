package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/operate"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/control"
	"github.com/teaselrack/teaselrack/internal/process/ledger"
	"github.com/teaselrack/teaselrack/internal/process/quarantine"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/process/renewal"
	"github.com/teaselrack/teaselrack/internal/process/storage"
	"github.com/teaselrack/teaselrack/internal/process/storage/storagetest"
)

const (
	operatorName = "operator"
	replicaCount = 3
	daemonCount  = 4
	// applyRounds bounds the rounds in which an operator sends a note to every
	// replica. All rounds together last longer than any fault.
	applyRounds = 3000
)

// nopRecorder discards events.
type nopRecorder struct{}

func (nopRecorder) Record(protocol.Event) {}

// cluster is a set of control replicas and daemons on one simulated network.
type cluster struct {
	t        *testing.T
	net      *network
	replicas []*replicaProcess
	daemons  []*daemonProcess
	operator *networkClient
}

func (c *cluster) addresses() []string {
	all := make([]string, len(c.replicas))
	for i, r := range c.replicas {
		all[i] = r.address
	}
	return all
}

// names returns the network names of all processes.
func (c *cluster) names() []string {
	all := c.addresses()
	for _, d := range c.daemons {
		all = append(all, d.name)
	}
	return append(all, operatorName)
}

// newCluster starts replicas and daemons. The operator founds the group and admits
// the other replicas.
func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{t: t, net: newNetwork(seed)}
	t.Cleanup(c.close)
	c.operator = &networkClient{c.net, operatorName, mesh.Peer{Name: operatorName, Role: mesh.Operator}}
	for i := range replicaCount {
		r := &replicaProcess{cluster: c, address: fmt.Sprintf("10.0.0.%d:1", i+1), disks: make(map[string]*storagetest.Disk)}
		r.random = rand.New(rand.NewPCG(seed, uint64(i)))
		c.replicas = append(c.replicas, r)
	}
	for _, r := range c.replicas {
		r.start()
	}
	c.foundGroups()
	for i := range daemonCount {
		d := &daemonProcess{cluster: c, name: fmt.Sprintf("d%d", i), contentOnly: i%2 == 1}
		c.daemons = append(c.daemons, d)
		d.start()
	}
	return c
}

func (c *cluster) foundGroups() {
	_, err := operate.NewControlClient(nil, c.operator).Found(c.t.Context(), c.replicas[0].address)
	must.NoError(c.t, err)
	for _, r := range c.replicas[1:] {
		c.admit(r.address)
	}
}

// commitIndexes returns the commit index of each group, as a replica reported it.
func commitIndexes(status protocol.StatusReply) map[string]uint64 {
	all := make(map[string]uint64)
	for _, group := range status.Replicas {
		all[group.Group] = group.Commit
	}
	return all
}

// admit requests the admission of address at the replicas in turn until one
// succeeds.
func (c *cluster) admit(address string) {
	for range 100 {
		for _, r := range c.replicas {
			var status protocol.StatusReply
			if c.operator.Call(c.t.Context(), r.address, protocol.MethodStatus, protocol.Empty{}, &status) != nil {
				continue
			}
			request := protocol.AdmitRequest{Address: address, AsOf: commitIndexes(status)}
			if c.operator.Call(c.t.Context(), r.address, protocol.MethodAdmit, request, &protocol.Empty{}) == nil {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatalf("%s was not admitted", address)
}

// apply sends a note to the replicas in turn until one returns success or a final
// error.
func (c *cluster) apply(text string) (protocol.ApplyReply, error) {
	var reply protocol.ApplyReply
	var err error
	for range applyRounds {
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
		c.net.unfreeze(name)
	}
	for _, r := range c.replicas {
		r.stop()
	}
	// Abandoned calls end within their own time limits.
	time.Sleep(time.Minute)
	c.net.close()
}

// replicaProcess is one control replica with its data directory.
type replicaProcess struct {
	cluster *cluster
	address string
	disks   map[string]*storagetest.Disk
	random  *rand.Rand
	// membership and seedAddresses are set if the replicas manage their members
	// without an operator.
	membership    *control.AutoMembership
	seedAddresses func() []string
	cancel        context.CancelFunc
	ended         chan error
	role          *control.Role
}

func (r *replicaProcess) openDisk(dir string) (storage.Disk, error) {
	disk, ok := r.disks[dir]
	if !ok {
		disk = storagetest.New(r.random)
		r.disks[dir] = disk
	}
	return disk, nil
}

func (r *replicaProcess) start() {
	c := r.cluster
	seedAddresses := r.seedAddresses
	if seedAddresses == nil {
		seedAddresses = c.addresses
	}
	role, err := control.NewRole(control.RoleOptions{
		DataDir:        r.address,
		OpenDisk:       r.openDisk,
		Address:        r.address,
		Replicas:       seedAddresses,
		AutoMembership: r.membership,
		LedgerShards:   1,
		Caller:         &networkClient{c.net, r.address, mesh.Peer{Name: r.address, Role: mesh.Replica}},
		Recorder:       nopRecorder{},
		Log:            zap.NewNop(),
	})
	must.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r.role, r.cancel, r.ended = role, cancel, make(chan error, 1)
	go func() { r.ended <- role.Run(ctx) }()
	c.net.serve(r.address, role.Handlers())
}

// stop kills the replica. Writes that were not synced to its disks are lost or
// torn.
func (r *replicaProcess) stop() {
	if r.role == nil {
		return
	}
	r.cluster.net.serve(r.address, nil)
	r.cancel()
	must.NoError(r.cluster.t, <-r.ended)
	must.NoError(r.cluster.t, r.role.Close())
	for _, name := range slices.Sorted(maps.Keys(r.disks)) {
		r.disks[name].Crash()
	}
	r.role = nil
}

// replace restarts the replica with an empty data directory and admits it.
func (r *replicaProcess) replace() {
	r.stop()
	clear(r.disks)
	r.start()
	r.cluster.admit(r.address)
}

// daemonProcess is the part of one daemon that talks to the control replicas.
type daemonProcess struct {
	cluster *cluster
	name    string
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	floor   configuration.Floor
	// contentOnly makes the daemon follow the content only. It then stores no floor.
	contentOnly bool
	// interval is the time between two renewals; 0 is the default.
	interval time.Duration
	run      atomic.Pointer[daemonRun]

	mu      sync.Mutex
	targets []protocol.Announcement
	// departed are the incarnations that the current run was told of.
	departed []string
}

// daemonRun is the state of a daemon between one start and the next stop.
type daemonRun struct {
	session       string
	configuration *configuration.Holder
	registry      *registry.Table
	quota         *quota.Holder
	quarantine    *quarantine.List
	ledger        *ledger.Client
	loop          *renewal.Loop
}

func (d *daemonProcess) start() {
	c := d.cluster
	run := &daemonRun{session: fmt.Sprint(d.name, "/", time.Now().UnixNano())}
	d.adoptDepartures(nil)
	options := configuration.HolderOptions{Now: time.Now, ContentOnly: d.contentOnly}
	if !d.contentOnly {
		options.Save, options.Floor = d.save, d.floor
	}
	run.configuration = configuration.NewHolder(options)
	run.registry = registry.NewTable(time.Now)
	run.quarantine = newQuarantineList(d)
	run.quota = quota.NewHolder(time.Now, func(ctx context.Context, requests []protocol.QuotaRequest) ([]protocol.QuotaGrant, time.Time, error) {
		return run.loop.RequestTokens(ctx, requests)
	})
	run.loop = renewal.New(renewal.Options{
		Instance: d.name, Session: run.session, PeerAddress: d.name + ":1", FailureDomain: "a",
		Replicas:      c.addresses(),
		Interval:      d.interval,
		Subscriptions: func() []string { return []string{"tides"} },
		Caller:        &networkClient{c.net, d.name, mesh.Peer{Name: d.name, Role: mesh.Daemon}},
		Configuration: run.configuration, Registry: run.registry, Quota: run.quota, Quarantine: run.quarantine,
		Targets: d.announced, Leaving: func() bool { return false }, AdoptDepartures: d.adoptDepartures,
		Clock: time.Now, Recorder: nopRecorder{}, Log: zap.NewNop(),
	})
	run.ledger = ledger.NewClient(run.loop, 1)
	d.run.Store(run)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.wg.Go(func() { _ = run.loop.Run(ctx) })
	d.wg.Go(func() { _ = run.quota.Run(ctx) })
}

func (d *daemonProcess) stop() {
	d.cancel()
	d.wg.Wait()
}

func (d *daemonProcess) save(number uint64, digest string) error {
	d.floor = configuration.Floor{Number: number, Digest: digest}
	return nil
}

func (d *daemonProcess) adoptDepartures(incarnations []string) {
	if run := d.run.Load(); run != nil && run.configuration.Current().Number() > 0 && incarnations == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.departed = incarnations
}

// knownDepartures returns the departures that the daemon was told of before it had a
// configuration.
func (d *daemonProcess) knownDepartures() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.departed
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
	d.run.Load().loop.RenewNow()
}

// callRole calls a method of a role directly, as an operator.
func callRole(role *control.Role, method string, params any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	_, err = role.Handlers()[method](context.Background(), mesh.Peer{Name: operatorName, Role: mesh.Operator}, encoded)
	return err
}

// foundAt founds the groups at a role directly, as an operator.
func foundAt(t *testing.T, role *control.Role) {
	t.Helper()
	reply, err := role.Handlers()[protocol.MethodTicket](t.Context(), mesh.Peer{Name: operatorName, Role: mesh.Operator}, []byte("{}"))
	must.NoError(t, err)
	must.NoError(t, callRole(role, protocol.MethodFound, protocol.FoundRequest{Ticket: reply.(protocol.TicketReply).Ticket}))
}

// applyAt applies a note at a role directly, as an operator.
func applyAt(t *testing.T, role *control.Role, text string) {
	t.Helper()
	must.NoError(t, callRole(role, protocol.MethodApply, protocol.ApplyRequest{Note: []byte(text)}))
}
