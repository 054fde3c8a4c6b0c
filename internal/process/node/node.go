// Package node puts the parts of a process together that relays requests
// without handles: the traffic role beside a target, the control role, or both.
package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
	"github.com/teaselrack/teaselrack/internal/connection/link"
	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/budget"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/control"
	"github.com/teaselrack/teaselrack/internal/process/events"
	"github.com/teaselrack/teaselrack/internal/process/local"
	"github.com/teaselrack/teaselrack/internal/process/placement"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/process/renewal"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/relay"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// renewInterval is the time between two renewals: a change must be in force
	// within two seconds, also where one renewal fails.
	renewInterval = 500 * time.Millisecond
	// announceFor is how long a leaving process goes on accepting, so that
	// callers and other daemons learn of it.
	announceFor = 2500 * time.Millisecond
	// listedFor is how long of that time other daemons still hand requests on:
	// the target beside a leaving daemon is out of reach while the daemon is
	// avoided, and a change of that takes about a second to spread.
	listedFor = 1200 * time.Millisecond
	// closeMargin is kept back from the time for leaving, for what runs last.
	closeMargin = 800 * time.Millisecond
	// pruneInterval is the time between two looks for idle connections.
	pruneInterval = 2 * time.Second
	// quotaOutage is how long teams go on at their rate while no issuer of
	// tokens answers: longer than a control group takes to recover.
	quotaOutage = 15 * time.Second
	// tokenLife is how long a quota token is good. A new issuer waits that long,
	// so it is little more than the time for which daemons hold tokens.
	tokenLife = time.Second
	// ringCapacity is the number of events kept for the time line.
	ringCapacity = 2048
	// heartbeat and election are those of the replica group: an election must
	// outlast a slow sync and a turn of a busy processor.
	heartbeat = 100 * time.Millisecond
	election  = 600 * time.Millisecond
	// memoryShare is the part of the memory limit at which the heap is
	// collected more often; the rest is for what the heap does not count.
	memoryShare = 0.6
	// gcPercent lets the small heap of a daemon grow between collections.
	gcPercent = 400
)

// Node is one process. Build it with New, then call Run once.
type Node struct {
	o       Options
	log     *zap.Logger
	seeds   atomic.Pointer[[]string]
	ring    *events.Ring
	pool    *rpc.Pool
	drain   *drain.Drain
	closers []io.Closer
	// unlisted is set once other daemons are to avoid this one.
	unlisted atomic.Bool

	holder  *configuration.Holder
	table   *registry.Table
	quota   *quota.Holder
	renewal *renewal.Loop
	target  *local.Target
	peers   *link.Client
	locals  *link.Client
	stats   *relay.Stats
	entry   *relay.EntryHandler
	beside  *relay.PeerHandler
	role    *control.Role
}

// New builds a node from its options and starts nothing. Errors:
// SettingsInvalid, StorageFailed.
func New(o Options) (*Node, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	n := &Node{o: o, log: o.Log, drain: drain.New(), stats: relay.NewStats()}
	n.SetSeeds(o.Seeds)
	n.tuneMemory()
	n.ring = events.New(o.Instance, ringCapacity, time.Now)
	n.pool = rpc.NewPool(mesh.NewPlainIdentity(o.Instance))
	n.closers = append(n.closers, n.pool)
	if o.Traffic != nil {
		n.buildTraffic(o.Traffic)
	}
	if o.Control != nil {
		if err := n.buildControl(o.Control); err != nil {
			n.close()
			return nil, err
		}
	}
	return n, nil
}

func (n *Node) tuneMemory() {
	debug.SetGCPercent(gcPercent)
	if n.o.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(n.o.MemoryLimit) * memoryShare))
	}
}

// SetSeeds replaces the control addresses at which replicas may be found.
func (n *Node) SetSeeds(seeds []string) {
	list := slices.Clone(seeds)
	n.seeds.Store(&list)
}

func (n *Node) currentSeeds() []string { return *n.seeds.Load() }

func (n *Node) buildTraffic(t *Traffic) {
	n.holder = configuration.NewHolder(configuration.HolderOptions{Now: time.Now})
	n.table = registry.NewTable(time.Now)
	n.target = local.New(local.Options{
		Service: t.Service, Address: t.Target, Interval: t.Heartbeat,
		ColdRate:  n.coldRate,
		InService: func() bool { return n.holder.Current().DomainInService(n.o.FailureDomain) },
		Changed:   n.kick,
		Now:       time.Now,
		Log:       n.log,
	})
	n.buildRenewal(t)
	n.peers = link.NewClient(link.Options{Trusted: true})
	n.locals = link.NewClient(link.Options{IDHeader: t.Names.RequestID})
	levels := new(shedding.Levels)
	calls := new(shedding.Calls)
	n.beside = &relay.PeerHandler{
		Levels: levels, CallGraph: calls,
		HeaderNames: t.Names, Service: t.Service, Address: t.Target, Target: n.target,
		Links: n.locals, Log: n.log, Stats: n.stats,
	}
	n.entry = &relay.EntryHandler{
		HeaderNames: t.Names, Instance: n.o.Instance, Service: t.Service,
		Configuration: n.holder, Quota: n.quota,
		Balancer: &placement.Directory{FailureDomain: n.o.FailureDomain, List: n.table.Targets},
		RetryBudget: budget.New(budget.Options{
			Ratio: t.RetryRatio, Window: t.RetryWindow, Slack: t.RetrySlack, Processes: n.processes,
		}),
		Levels: levels, CallGraph: calls, Demand: new(shedding.Demand), Rejections: new(shedding.Returns),
		Local: n.beside, Peers: n.peers, Log: n.log, Stats: n.stats,
	}
}

func (n *Node) buildRenewal(t *Traffic) {
	n.quota = quota.NewHolder(time.Now, func(ctx context.Context, asks []protocol.QuotaAsk) ([]protocol.QuotaGrant, time.Time, error) {
		return n.renewal.Ask(ctx, asks)
	})
	n.quota.OutlastOutages(quotaOutage, n.fairRate)
	n.renewal = renewal.New(renewal.Options{
		Instance:      n.o.Instance,
		Session:       envelope.NewID(),
		PeerAddress:   t.Peer,
		FailureDomain: n.o.FailureDomain,
		Replicas:      n.currentSeeds(),
		Subscriptions: n.subscriptions,
		Interval:      renewInterval,
		Caller:        n.pool,
		Holder:        n.holder,
		Table:         n.table,
		Quota:         n.quota,
		Targets:       n.announcements,
		Leaving:       n.unlisted.Load,
		Clock:         time.Now,
		Recorder:      n.ring,
		Log:           n.log,
	})
}

func (n *Node) buildControl(c *Control) error {
	role, err := control.NewRole(control.RoleOptions{
		Folder:     c.Folder,
		Address:    c.Listen,
		Replicas:   n.currentSeeds,
		Membership: &control.Membership{Losses: c.Losses, Founder: c.Founder},
		Heartbeat:  heartbeat,
		Election:   election,
		TokenLife:  tokenLife,
		Caller:     n.pool,
		Recorder:   n.ring,
		Log:        n.log,
	})
	if err != nil {
		return err
	}
	n.role = role
	n.closers = append(n.closers, role)
	return nil
}

func (n *Node) kick() { n.renewal.Kick() }

func (n *Node) coldRate() float64 {
	s, _ := n.holder.Current().Service(n.o.Traffic.Service)
	if factor := n.o.Traffic.ColdOverage; factor > 0 {
		return s.ColdRate * factor
	}
	return s.ColdRate
}

func (n *Node) announcements() []protocol.Announcement {
	a, ok := n.target.Announcement()
	if !ok {
		return nil
	}
	return []protocol.Announcement{a}
}

// subscriptions returns the services of every route in force.
func (n *Node) subscriptions() []string { return n.holder.Current().ServiceNames() }

// fairRate is the part of a team's rate that falls to each process.
func (n *Node) fairRate(team string) float64 {
	t, _ := n.holder.Current().Team(team)
	return t.Rate / float64(n.processes())
}

// processes estimates how many processes relay requests: one beside each
// target.
func (n *Node) processes() int {
	count := 0
	for _, name := range n.holder.Current().ServiceNames() {
		count += len(n.table.Targets(name))
	}
	return max(count, 1)
}

// Heartbeat takes a heartbeat of the target beside this process in. Errors:
// BadRequest, with the reason why it was passed over.
func (n *Node) Heartbeat(h local.Heartbeat) error { return n.target.Heartbeat(h) }

// Ready returns nil while this process takes requests. Errors: ShuttingDown,
// LeaseExpired where no configuration is known yet.
func (n *Node) Ready() error {
	if n.drain.Leaving() {
		return fault.New(fault.ShuttingDown, "the process is leaving")
	}
	if n.holder != nil && n.holder.Current().Number() == 0 {
		return fault.New(fault.LeaseExpired, "no configuration is known here yet")
	}
	return nil
}

// Order commits an order; see control.Service.Order.
func (n *Node) Order(ctx context.Context, order *version.Order) error {
	note := version.Note{Order: order}
	encoded, err := note.Encode()
	if err != nil {
		return err
	}
	_, err = n.role.Service().Order(ctx, mesh.Peer{Role: mesh.Operator}, protocol.OrderRequest{Order: encoded})
	return err
}

// Confirmed returns the state in force at some moment after the call. Errors:
// NoLeader, NotFounded.
func (n *Node) Confirmed(ctx context.Context) (*version.State, error) {
	return n.role.Service().Confirmed(ctx)
}

// WriteMetrics writes the counters, gauges and histograms as text.
func (n *Node) WriteMetrics(w io.Writer) {
	if n.target != nil {
		n.stats.Write(w)
		_, _ = fmt.Fprintf(w, "teaselrack_configuration_revision %d\n", n.holder.Current().Revision())
		_, _ = fmt.Fprintf(w, "teaselrack_target_load %g\n", n.target.Load())
		level, _ := n.target.Level()
		_, _ = fmt.Fprintf(w, "teaselrack_target_level %g\n", level)
	}
	if n.role != nil {
		status := n.role.Status()
		_, _ = fmt.Fprintf(w, "teaselrack_group_term %d\nteaselrack_group_commit %d\nteaselrack_group_members %d\n", status.Term, status.Commit, len(status.Members))
	}
}

// Log returns the log of this process.
func (n *Node) Log() *zap.Logger { return n.log }

// Run serves until ctx ends, then leaves gracefully.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	var g run.Group
	servers, err := n.listen(&g)
	if err != nil {
		return err
	}
	if n.o.Traffic != nil {
		addLoop(&g, n.renewal.Run)
		addLoop(&g, n.quota.Run)
		addLoop(&g, n.prune)
	}
	if n.role != nil {
		addLoop(&g, n.role.Run)
	}
	n.addLeaving(ctx, &g, servers)
	n.log.Info("started", zap.String("instance", n.o.Instance), zap.String("failure_domain", n.o.FailureDomain),
		zap.Bool("traffic", n.o.Traffic != nil), zap.Bool("control", n.o.Control != nil), zap.Strings("seeds", n.currentSeeds()))
	err = g.Run()
	n.log.Info("stopped", zap.Error(err))
	return err
}

// listen opens every listener and adds its actor. It returns the servers that
// callers and other daemons use.
func (n *Node) listen(g *run.Group) ([]*http.Server, error) {
	var drained []*http.Server
	for address, make := range n.o.Handlers {
		if err := n.addServer(g, address, listener.NewServer(make(n), n.serverOptions())); err != nil {
			return nil, err
		}
	}
	if t := n.o.Traffic; t != nil {
		for _, one := range []struct {
			address string
			handler http.Handler
		}{{t.Entry, n.entry}, {t.Peer, n.beside}} {
			server := listener.NewServer(one.handler, n.serverOptions())
			n.drain.Track(server)
			if err := n.addServer(g, one.address, server); err != nil {
				return nil, err
			}
			drained = append(drained, server)
		}
	}
	if c := n.o.Control; c != nil {
		ln, err := listener.Listen(context.Background(), c.Listen)
		if err != nil {
			return nil, err
		}
		server := rpc.NewServer(mesh.NewPlainIdentity(n.o.Instance), n.role.Handlers(), n.log)
		g.Add(func() error { return server.Run(ln) }, func(error) { _ = server.Close() })
	}
	return drained, nil
}

func (n *Node) serverOptions() listener.Options {
	return listener.Options{ErrorLog: zap.NewStdLog(n.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))}
}

func (n *Node) addServer(g *run.Group, address string, server *http.Server) error {
	ln, err := listener.Listen(context.Background(), address)
	if err != nil {
		return err
	}
	g.Add(actor(server, ln))
	return nil
}

// actor serves until the group ends: a server that was shut down keeps its
// actor, so that leaving can go on behind it.
func actor(server *http.Server, ln net.Listener) (func() error, func(error)) {
	stop := make(chan struct{})
	serve := func() error {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-stop
		return nil
	}
	return serve, func(error) {
		close(stop)
		_ = server.Close()
	}
}

// addLeaving adds the actor that waits for ctx and then leaves.
func (n *Node) addLeaving(ctx context.Context, g *run.Group, servers []*http.Server) {
	stopped, stop := context.WithCancel(context.Background())
	g.Add(func() error {
		select {
		case <-ctx.Done():
			n.leave(stopped, servers)
		case <-stopped.Done():
		}
		return nil
	}, func(error) { stop() })
}

func (n *Node) leave(ctx context.Context, servers []*http.Server) {
	n.log.Info("leaving", zap.Duration("within", n.o.Leave))
	n.drain.Begin()
	if len(servers) == 0 {
		return
	}
	unlist := time.AfterFunc(min(listedFor, n.o.Leave/4), func() {
		n.unlisted.Store(true)
		n.kick()
	})
	defer unlist.Stop()
	n.drain.UntilIdle = true
	n.drain.Announce = min(announceFor, n.o.Leave/2)
	n.drain.Grace = max(n.o.Leave-2*closeMargin, 0)
	ctx, cancel := context.WithTimeout(ctx, n.o.Leave-closeMargin)
	defer cancel()
	if err := n.drain.Run(ctx, servers...); err != nil {
		n.log.Warn("requests were cut off while leaving", zap.Error(err))
	}
}

func (n *Node) prune(ctx context.Context) error {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.peers.Prune()
			n.locals.Prune()
		}
	}
}

// addLoop adds an actor that runs until its context ends.
func addLoop(g *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

func (n *Node) close() {
	for i := len(n.closers) - 1; i >= 0; i-- {
		if err := n.closers[i].Close(); err != nil {
			n.log.Warn("close", zap.Error(err))
		}
	}
	n.closers = nil
}
