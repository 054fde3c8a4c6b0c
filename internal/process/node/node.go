// Package node assembles a process that relays requests without handles. A
// process has the traffic role, which serves a local target, the control role,
// or both.
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

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
	"github.com/teaselrack/teaselrack/internal/connection/http1"
	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/connection/traffic"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/balancing"
	"github.com/teaselrack/teaselrack/internal/process/clock"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/control"
	"github.com/teaselrack/teaselrack/internal/process/events"
	"github.com/teaselrack/teaselrack/internal/process/lifecycle"
	"github.com/teaselrack/teaselrack/internal/process/local"
	"github.com/teaselrack/teaselrack/internal/process/quarantine"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/process/renewal"
	"github.com/teaselrack/teaselrack/internal/process/retrybudget"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/relay"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// renewInterval is the time between two lease renewals. A configuration
	// change must take effect within two seconds, even if one renewal fails.
	renewInterval = 500 * time.Millisecond
	// drainAnnouncePeriod is how long a process that shuts down continues to
	// accept requests, so that callers and other daemons learn that it leaves.
	drainAnnouncePeriod = 2500 * time.Millisecond
	// unlistDelay is how long other daemons continue to forward requests after
	// shutdown has begun. Once they avoid the daemon, its local target is
	// unreachable. The change takes about a second to reach all of them.
	unlistDelay = 1200 * time.Millisecond
	// shutdownMargin is the part of the shutdown timeout that is reserved for
	// the last steps.
	shutdownMargin = 800 * time.Millisecond
	// lastCallsTimeout is how long a process that shuts down waits at most for the calls
	// that its handlers carry out: orders and heartbeats. lastCallsMargin is the part of
	// the shutdown timeout that is left after them.
	lastCallsTimeout = 1500 * time.Millisecond
	lastCallsMargin  = 400 * time.Millisecond
	// pruneInterval is the time between two scans for idle connections.
	pruneInterval = 2 * time.Second
	// maxQuotaOutage is how long teams can continue at their rate while no
	// token issuer responds. It is longer than a control group takes to
	// recover.
	maxQuotaOutage = 15 * time.Second
	// tokenTTL is how long a quota token is valid. A new issuer waits that long
	// before it issues tokens, so the TTL is little more than the time for
	// which daemons hold tokens.
	tokenTTL = 500 * time.Millisecond
	// tokenTimeout is the time limit of one call for tokens. A replica waits for a
	// lost leader for 400 ms at most, and then replies for it.
	tokenTimeout = 450 * time.Millisecond
	// eventCapacity is the number of events kept for the timeline.
	eventCapacity = 2048
	// heartbeatInterval and electionTimeout are those of the replica group. The
	// election timeout must be longer than a slow disk sync and a scheduling
	// delay on a busy processor.
	heartbeatInterval = 100 * time.Millisecond
	electionTimeout   = 600 * time.Millisecond
	// softMemoryLimitShare is the share of the process's memory limit that is
	// set as the soft limit of the Go runtime. The remainder is for memory that
	// the runtime does not count.
	softMemoryLimitShare = 0.6
	// callReadTimeout is the time within which a call to one of Options.Handlers must arrive
	// with its body.
	callReadTimeout = 10 * time.Second
	// gcPercent is the garbage collection target percentage of the Go runtime.
	// It allows the small heap of a daemon to grow between collections.
	gcPercent = 400
)

// Node is one process. Create it with New, then call Run once.
type Node struct {
	options Options
	log     *zap.Logger
	seeds   atomic.Pointer[[]string]
	events  *events.Ring
	pool    *rpc.Pool
	drain   *drain.Drain
	// group holds the components of the process.
	group *lifecycle.Group
	// refusable are the listeners that refuse new connections at the end of a
	// graceful shutdown.
	refusable []*listener.Listener
	// handlerServers are the servers of Options.Handlers.
	handlerServers []*http.Server
	// unlisted is true once other daemons should avoid this one.
	unlisted atomic.Bool

	configuration *configuration.Holder
	registry      *registry.Table
	quota         *quota.Holder
	quarantine    *quarantine.List
	renewal       *renewal.Loop
	target        *local.Target
	// departures wakes recordDepartures.
	departures   chan struct{}
	peerClient   *http1.Client
	targetClient *http1.Client
	stats        *relay.Stats
	traffic      *traffic.Counter
	// guard bounds what clients can make the process hold.
	guard *listener.Guard
	// clock is that of leases and tokens.
	clock        *clock.Clock
	entryHandler *relay.EntryHandler
	peerHandler  *relay.PeerHandler
	controlRole  *control.Role
}

// New creates a node from its options. It does not start anything. Errors:
// SettingsInvalid, StorageFailed.
func New(o Options) (*Node, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	guard := listener.NewGuard(listener.CapacityFor(o.MemoryLimit, o.Descriptors))
	n := &Node{options: o, log: o.Log, drain: drain.New(), guard: guard, stats: relay.NewStats(), traffic: traffic.NewCounter(o.FailureDomain), clock: clock.New(), group: lifecycle.New(o.Log)}
	n.drain.Log = o.Log
	o.Bounds.logUnmet(o.Log)
	n.SetSeeds(o.Seeds)
	n.tuneMemory()
	n.events = events.New(o.Instance, eventCapacity, time.Now)
	n.pool = rpc.NewPool(mesh.NewPlainIdentity(o.Instance))
	n.pool.Measure(func(address, method string, payload []byte, size int) {
		protocol.CountMessage(n.traffic, address, method, payload, size)
	})
	if o.Control != nil {
		n.pool.CompressLinks()
	}
	n.group.AddCloser("links", n.pool)
	if o.Traffic != nil {
		n.buildTraffic(o.Traffic)
	}
	if o.Control != nil {
		if err := n.buildControl(o.Control); err != nil {
			n.group.Close()
			return nil, err
		}
	}
	return n, nil
}

func (n *Node) tuneMemory() {
	debug.SetGCPercent(gcPercent)
	if n.options.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(n.options.MemoryLimit) * softMemoryLimitShare))
	}
}

// SetSeeds replaces the control addresses of possible replicas. It is safe for
// concurrent use.
func (n *Node) SetSeeds(seeds []string) {
	list := slices.Clone(seeds)
	n.seeds.Store(&list)
}

func (n *Node) currentSeeds() []string { return *n.seeds.Load() }

func (n *Node) buildTraffic(t *Traffic) {
	n.configuration = configuration.NewHolder(configuration.HolderOptions{Now: n.clock.Now, ContentOnly: true})
	n.registry = registry.NewTable(time.Now)
	n.registry.LogTo(n.log)
	n.quarantine = quarantine.NewList(time.Now, n.renewNow, n.log)
	n.departures = make(chan struct{}, 1)
	n.target = local.New(local.Options{
		Service: t.Service, Address: t.Target, Interval: t.Heartbeat,
		ColdRate:  n.coldRate,
		Permitted: n.targetPermitted,
		Changed:   n.targetChanged,
		Crashed:   n.quarantine.AddCrash,
		Reach:     func(ctx context.Context) error { return n.targetClient.Reach(ctx, t.Target) },
		Now:       time.Now,
		Log:       n.log,
	})
	n.buildRenewal(t)
	n.peerClient = http1.NewClient(http1.Options{
		PeerKeepsIdle: true,
		Sent:          func(address string, bytes int) { n.traffic.Add(address, traffic.Request, bytes) },
		Received:      func(address string, bytes int) { n.traffic.Add(address, traffic.Response, bytes) },
	})
	n.targetClient = http1.NewClient(http1.Options{IDHeader: t.HeaderNames.RequestID})
	balancer := &balancing.Balancer{FailureDomain: n.options.FailureDomain, List: n.registry.Targets}
	levels := new(shedding.Levels)
	callGraph := new(shedding.CallGraph)
	n.peerHandler = &relay.PeerHandler{
		Levels: levels, CallGraph: callGraph, Balancer: balancer,
		HeaderNames: t.HeaderNames, Service: t.Service, Address: t.Target, Target: n.target,
		TargetClient: n.targetClient, Quarantine: n.quarantine, Shutdown: n.drain.Schedule, Log: n.log, Stats: n.stats,
		CatchUp: n.renewal.CatchUp,
	}
	n.entryHandler = &relay.EntryHandler{
		HeaderNames: t.HeaderNames, Instance: n.options.Instance, Service: t.Service,
		Configuration: n.configuration, Quota: n.quota,
		Balancer: balancer,
		RetryBudget: retrybudget.New(retrybudget.Options{
			Ratio: t.RetryRatio, Window: t.RetryWindow, Slack: t.RetrySlack, Processes: n.processes,
		}),
		Levels: levels, CallGraph: callGraph, Demand: new(shedding.Demand), Rejections: new(shedding.Rejections),
		Quarantine: n.quarantine,
		Local:      n.peerHandler, PeerClient: n.peerClient, Shutdown: n.drain.Schedule, Log: n.log, Stats: n.stats,
		Traffic: n.traffic,
		CatchUp: n.renewal.CatchUp,
	}
}

func (n *Node) buildRenewal(t *Traffic) {
	n.quota = quota.NewHolder(n.clock.Now, func(ctx context.Context, requests []protocol.QuotaRequest) ([]protocol.QuotaGrant, time.Time, error) {
		return n.renewal.RequestTokens(ctx, requests)
	})
	n.quota.SetPacing(quota.PlainPacing)
	n.quota.EnableOutageFallback(maxQuotaOutage, n.fairRate)
	n.renewal = renewal.New(renewal.Options{
		Instance:        n.options.Instance,
		Session:         envelope.NewID(),
		PeerAddress:     t.Peer,
		FailureDomain:   n.options.FailureDomain,
		Replicas:        n.currentSeeds(),
		Seeds:           n.currentSeeds,
		ReplicaDomain:   n.traffic.Learn,
		Subscriptions:   n.subscriptions,
		Interval:        renewInterval,
		TokenTimeout:    tokenTimeout,
		Caller:          n.pool,
		Configuration:   n.configuration,
		Registry:        n.registry,
		Quota:           n.quota,
		Quarantine:      n.quarantine,
		Targets:         n.announcements,
		AdoptDepartures: n.target.AdoptDepartures,
		Leaving:         n.unlisted.Load,
		Clock:           n.clock.Now,
		Recorder:        n.events,
		Log:             n.log,
	})
}

func (n *Node) buildControl(c *Control) error {
	role, err := control.NewRole(control.RoleOptions{
		DataDir:           c.DataDir,
		Address:           c.Listen,
		FailureDomain:     n.options.FailureDomain,
		ReplicaDomain:     n.traffic.Learn,
		Replicas:          n.currentSeeds,
		EffectTimeout:     n.options.Bounds.effectTimeout(),
		AutoMembership:    &control.AutoMembership{ToleratedLosses: c.ToleratedLosses, Founder: c.Founder},
		HeartbeatInterval: heartbeatInterval,
		ElectionTimeout:   electionTimeout,
		MaxQuotaOutage:    maxQuotaOutage,
		TokenTTL:          tokenTTL,
		ReadSource:        c.ReadSource,
		Caller:            n.pool,
		Recorder:          n.events,
		Log:               n.log,
	})
	if err != nil {
		return err
	}
	n.controlRole = role
	n.group.AddCloser("control role", role)
	return nil
}

func (n *Node) renewNow() { n.renewal.RenewNow() }

// subscriptions returns the services of all routes in effect.
func (n *Node) subscriptions() []string { return n.configuration.Current().ServiceNames() }

// fairRate returns the share of a team's rate for each process, per second.
func (n *Node) fairRate(team string) float64 {
	t, _ := n.configuration.Current().Team(team)
	return t.Rate / float64(n.processes())
}

// processes estimates the number of processes that relay requests: one per
// target.
func (n *Node) processes() int {
	count := 0
	for _, name := range n.configuration.Current().ServiceNames() {
		count += len(n.registry.Targets(name))
	}
	return max(count, 1)
}

// Heartbeat processes a heartbeat of the local target. Errors: BadRequest with
// the reason why the heartbeat was ignored.
func (n *Node) Heartbeat(h local.Heartbeat) error { return n.target.Heartbeat(h) }

// Ready returns nil while this process accepts requests. Errors: ShuttingDown,
// or LeaseExpired if no configuration has been received yet.
func (n *Node) Ready() error {
	if n.drain.Draining() {
		return fault.New(fault.ShuttingDown, "the process is leaving")
	}
	if n.configuration != nil && n.configuration.Current().Number() == 0 {
		return fault.New(fault.LeaseExpired, "no configuration is known here yet")
	}
	return nil
}

// Order commits an order. See control.Service.Order.
func (n *Node) Order(ctx context.Context, order *version.Order) error {
	note := version.Note{Order: order}
	encoded, err := note.Encode()
	if err != nil {
		return err
	}
	_, err = n.controlRole.Service().Order(ctx, mesh.Peer{Role: mesh.Operator}, protocol.OrderRequest{Order: encoded})
	return err
}

// Domain returns the state of a failure domain. See control.Service.Domain.
func (n *Node) Domain(ctx context.Context, name string) (protocol.DomainReply, error) {
	return n.controlRole.Service().Domain(ctx, mesh.Peer{Role: mesh.Operator}, protocol.DomainRequest{Name: name})
}

// CallAge returns the longest time for which a call to Control.Operators with this context can
// have waited: the age of its connection, unless that is not known.
func (n *Node) CallAge(ctx context.Context) time.Duration {
	return n.clock.Now().Sub(listener.OpenedAfter(ctx))
}

// Confirmed returns a state that was in effect at some time after the call.
// Errors: NoLeader, NotFounded.
func (n *Node) Confirmed(ctx context.Context) (*version.State, error) {
	return n.controlRole.Service().Confirmed(ctx)
}

// WriteMetrics writes the counters, gauges and histograms in the Prometheus
// text format.
func (n *Node) WriteMetrics(w io.Writer) {
	n.traffic.Write(w)
	n.guard.Write(w)
	if n.target != nil {
		n.stats.Write(w)
		_, _ = fmt.Fprintf(w, "teaselrack_configuration_revision %d\n", n.configuration.Current().Revision())
		if age, ok := n.configuration.ConfirmedAgo(); ok {
			_, _ = fmt.Fprintf(w, "teaselrack_configuration_confirmed_age_seconds %g\n", age.Seconds())
		}
		n.renewal.WriteMetrics(w)
		_, _ = fmt.Fprintf(w, "teaselrack_target_load %g\n", n.target.Load())
		_, _ = fmt.Fprintf(w, "teaselrack_target_level %g\n", n.target.Bottleneck().Level)
		if limit, ok := n.target.StatedLimit(); ok {
			_, _ = fmt.Fprintf(w, "teaselrack_target_stated_limit %g\n", limit)
		}
	}
	if n.controlRole != nil {
		status := n.controlRole.Status()
		_, _ = fmt.Fprintf(w, "teaselrack_group_term %d\nteaselrack_group_commit %d\nteaselrack_group_members %d\n", status.Term, status.Commit, len(status.Members))
		leads := 0
		if status.Role == protocol.RoleLeader {
			leads = 1
		}
		_, _ = fmt.Fprintf(w, "teaselrack_group_leads %d\n", leads)
	}
}

// Log returns the logger of this process.
func (n *Node) Log() *zap.Logger { return n.log }

// Run serves until ctx ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	defer n.group.Close()
	servers, err := n.listen()
	if err != nil {
		return err
	}
	if n.options.Traffic != nil {
		n.group.AddLoop("renewal", n.renewal.Run)
		n.group.AddLoop("departures", n.recordDepartures)
		n.group.AddLoop("quota", n.quota.Run)
		n.group.AddLoop("idle connections", n.prune)
	}
	if n.controlRole != nil {
		n.group.AddLoop("control role", n.controlRole.Run)
	}
	n.addShutdown(ctx, servers)
	n.log.Info("node started", zap.String("instance", n.options.Instance), zap.String("failure_domain", n.options.FailureDomain),
		zap.Bool("traffic", n.options.Traffic != nil), zap.Bool("control", n.options.Control != nil), zap.Strings("seeds", n.currentSeeds()))
	err = n.group.Run()
	n.log.Info("node stopped", zap.Error(err))
	return err
}

// listen opens all listeners and adds their actors. It returns the servers that
// callers and other daemons use.
func (n *Node) listen() ([]*http.Server, error) {
	var servers []*http.Server
	for address, newHandler := range n.options.Handlers {
		if err := n.addServer(address, listener.NewServer(newHandler(n), n.serverOptions())); err != nil {
			return nil, err
		}
	}
	if t := n.options.Traffic; t != nil {
		for _, endpoint := range []struct {
			name    string
			address string
			handler drain.LimitedHandler
		}{{"entry", t.Entry, n.entryHandler}, {"peer", t.Peer, n.peerHandler}} {
			server := listener.NewServer(endpoint.handler, n.serverOptions())
			n.drain.Track(server, endpoint.name, endpoint.handler)
			ln, err := listener.Listen(context.Background(), endpoint.address)
			if err != nil {
				return nil, err
			}
			n.refusable = append(n.refusable, ln)
			if err := n.addActor(endpoint.name, server, ln, listener.TrafficShare); err != nil {
				return nil, err
			}
			servers = append(servers, server)
		}
	}
	if c := n.options.Control; c != nil {
		ln, err := listener.Listen(context.Background(), c.Listen)
		if err != nil {
			return nil, err
		}
		server := rpc.NewServer(mesh.NewPlainIdentity(n.options.Instance), n.controlRole.Handlers(), n.log)
		links, err := n.guard.ListenLinks(ln, listener.TrafficShare)
		if err != nil {
			return nil, err
		}
		n.group.Add("control links", func() error { return server.Run(links) }, func(error) { _ = server.Close() })
	}
	return servers, nil
}

func (n *Node) serverOptions() listener.Options {
	return listener.Options{ErrorLog: zap.NewStdLog(n.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))}
}

func (n *Node) addServer(address string, server *http.Server) error {
	ln, err := n.listenForCalls(address)
	if err != nil {
		return err
	}
	server.ReadTimeout = callReadTimeout
	n.handlerServers = append(n.handlerServers, server)
	return n.addActor("server "+address, server, ln, listener.CallShare)
}

// listenForCalls opens the listener of a handler of Options.Handlers.
func (n *Node) listenForCalls(address string) (net.Listener, error) {
	if c := n.options.Control; c != nil && c.Operators == address {
		return listener.ListenTimed(context.Background(), address, n.clock.Now)
	}
	return listener.Listen(context.Background(), address)
}

// addActor adds a server to the group, whose clients may use a part of the capacity for
// connections. The component of a server that was shut down
// returns only when the group ends, because the return of any component ends the group
// before the shutdown is complete.
func (n *Node) addActor(name string, server *http.Server, ln net.Listener, part float64) error {
	guarded, err := n.guard.Listen(ln, part)
	if err != nil {
		return err
	}
	n.guard.Protect(server)
	stop := make(chan struct{})
	n.group.Add(name, func() error {
		if err := server.Serve(guarded); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-stop
		return nil
	}, func(error) {
		close(stop)
		_ = server.Close()
	})
	return nil
}

// prune closes idle connections periodically until ctx ends. It returns nil.
func (n *Node) prune(ctx context.Context) error {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.peerClient.Prune()
			n.targetClient.Prune()
		}
	}
}
