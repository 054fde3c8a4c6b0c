package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/operate"
	"github.com/teaselrack/teaselrack/internal/process/control"
)

// discardRecorder discards all events.
type discardRecorder struct{}

func (discardRecorder) Record(protocol.Event) {}

// group is a group of control replicas on loopback, with its own certificate
// authority.
type group struct {
	dir       string
	ca        mesh.KeyPair
	addresses []string
	roles     []*control.Role
	shutdown  []func()
}

func newGroup(size int) (*group, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	ca, err := mesh.NewAuthority("capacity", time.Now())
	if err != nil {
		return nil, err
	}
	g := &group{dir: dir, ca: ca}
	listeners := make([]net.Listener, size)
	for i := range listeners {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
		g.addresses = append(g.addresses, listeners[i].Addr().String())
	}
	for i, ln := range listeners {
		if err := g.start(i, ln); err != nil {
			return nil, err
		}
	}
	return g, g.found()
}

func (g *group) start(i int, ln net.Listener) error {
	id, err := g.identity(fmt.Sprintf("replica-%d", i), mesh.Replica)
	if err != nil {
		return err
	}
	pool := rpc.NewPool(id)
	role, err := control.NewRole(control.RoleOptions{
		DataDir: filepath.Join(g.dir, fmt.Sprint(i)), Address: g.addresses[i], Replicas: func() []string { return g.addresses },
		LedgerShards: 1, Caller: pool, Recorder: discardRecorder{}, Log: zap.NewNop(),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := rpc.NewServer(id, role.Handlers(), zap.NewNop())
	ended := make(chan struct{}, 2)
	go func() { _ = role.Run(ctx); ended <- struct{}{} }()
	go func() { _ = server.Run(ln); ended <- struct{}{} }()
	g.roles = append(g.roles, role)
	g.shutdown = append(g.shutdown, func() {
		_ = server.Close()
		cancel()
		<-ended
		<-ended
		_ = role.Close()
		_ = pool.Close()
	})
	return nil
}

// found founds the group on its first replica, and then adds the others.
func (g *group) found() error {
	pool, err := g.pool("operator", mesh.Operator)
	if err != nil {
		return err
	}
	defer func() { _ = pool.Close() }()
	ctx := context.Background()
	client := operate.NewControlClient(g.addresses[:1], pool)
	if _, err := client.Found(ctx, g.addresses[0]); err != nil {
		return err
	}
	for _, address := range g.addresses[1:] {
		if err := client.Admit(ctx, address); err != nil {
			return err
		}
	}
	return nil
}

func (g *group) identity(name string, role mesh.Role) (*mesh.Identity, error) {
	pair, err := g.ca.Issue(name, role, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now())
	if err != nil {
		return nil, err
	}
	return mesh.NewIdentity(g.ca.Certificate, pair)
}

func (g *group) pool(name string, role mesh.Role) (*rpc.Pool, error) {
	id, err := g.identity(name, role)
	if err != nil {
		return nil, err
	}
	return rpc.NewPool(id), nil
}

func (g *group) close() {
	for _, stop := range g.shutdown {
		stop()
	}
	_ = os.RemoveAll(g.dir)
}

// renewalCost is the cost of the renewals of many daemons, at both ends
// together.
type renewalCost struct {
	cpuPerRenewal time.Duration
	heap          linearFit
}

// measureRenewals renews for many daemons, each on its own link, one call at a
// time.
func measureRenewals(g *group, rounds int) (renewalCost, error) {
	var pools []*rpc.Pool
	defer func() {
		for _, p := range pools {
			_ = p.Close()
		}
	}()
	var samples []sample
	base := heap()
	for _, size := range []int{50, 100, 200} {
		for len(pools) < size {
			p, err := g.pool(targetRecord(len(pools)).Instance, mesh.Daemon)
			if err != nil {
				return renewalCost{}, err
			}
			pools = append(pools, p)
			if err := renew(g, p, len(pools)-1); err != nil {
				return renewalCost{}, err
			}
		}
		samples = append(samples, sample{size, heap() - base})
	}
	idle := idleCPU()
	before, began := cpu(), time.Now()
	for range rounds {
		for i, p := range pools {
			if err := renew(g, p, i); err != nil {
				return renewalCost{}, err
			}
		}
	}
	used := cpu() - before - time.Duration(idle*float64(time.Since(began)))
	return renewalCost{cpuPerRenewal: used / time.Duration(rounds*len(pools)), heap: fit(samples)}, nil
}

func renew(g *group, p *rpc.Pool, i int) error {
	request := renewal(i)
	for s := range subscribedServices {
		request.Subscriptions = append(request.Subscriptions, fmt.Sprintf("service-%03d", s))
	}
	var reply protocol.RenewReply
	return p.Call(context.Background(), g.addresses[i%len(g.addresses)], protocol.MethodRenew, request, &reply)
}

const (
	// subscribedServices is the number of services that each daemon subscribes
	// to.
	subscribedServices = 12
	// idleTime is how long idleCPU measures.
	idleTime = 2 * time.Second
)

// idleCPU measures the processor time that this process uses without load, and
// returns it as a fraction of a core.
func idleCPU() float64 {
	before := cpu()
	time.Sleep(idleTime)
	return float64(cpu()-before) / float64(idleTime)
}

// commandCost is the cost of ledger commands: processor time of all replicas
// and the caller together, and throughput.
type commandCost struct {
	cpuPerCommand time.Duration
	perSecond     float64
}

// measureCommands sends ledger commands from several concurrent callers, so
// that commands share disk syncs.
func measureCommands(g *group, callers, perCaller int) (commandCost, error) {
	p, err := g.pool("daemon-0000", mesh.Daemon)
	if err != nil {
		return commandCost{}, err
	}
	defer func() { _ = p.Close() }()
	idle := idleCPU()
	before, began := cpu(), time.Now()
	errs := make(chan error, callers)
	for c := range callers {
		go func() {
			for i := range perCaller {
				call := protocol.OnceCall{Request: onceClaim(c*perCaller + i)}
				if err := p.Call(context.Background(), g.addresses[0], protocol.MethodOnce, call, &protocol.OnceReply{}); err != nil {
					errs <- err
					return
				}
			}
			errs <- nil
		}()
	}
	for range callers {
		if err := <-errs; err != nil {
			return commandCost{}, err
		}
	}
	took := time.Since(began)
	used := cpu() - before - time.Duration(idle*float64(took))
	total := callers * perCaller
	return commandCost{cpuPerCommand: used / time.Duration(total), perSecond: float64(total) / took.Seconds()}, nil
}
