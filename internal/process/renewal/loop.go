// Package renewal connects a daemon to the control replicas. It renews the
// freshness lease, applies new configuration and registry changes, and sends
// token requests and ledger commands.
package renewal

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/quarantine"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/request/hop"
)

const (
	// DefaultInterval is the time between two renewals.
	DefaultInterval = 1 * time.Second
	// callTimeout is the time limit of one call to one replica.
	callTimeout = 700 * time.Millisecond
	// retryDelay is the delay before the next round after all replicas have
	// failed.
	retryDelay = 100 * time.Millisecond
	// startupRenewInterval is the time between two renewals while some service
	// has no known target. It applies during the first startupPeriod after Run
	// starts or the connection to the replicas is restored: after all processes
	// have restarted, the replicas learn of the targets one by one.
	startupRenewInterval = 100 * time.Millisecond
	startupPeriod        = 3 * time.Second
	// seedsAfter is how long the known replicas are tried alone after they have stopped
	// confirming renewals: longer than an election, since seeds that do not reply delay
	// the return to those that do.
	seedsAfter = 10 * time.Second
)

// LongestRenewal returns the time from the start of a confirmed renewal to the end of the next
// one, while so many replicas do not reply and the others confirm renewals at once.
func LongestRenewal(interval time.Duration, silent int) time.Duration {
	return interval + time.Duration(silent+1)*callTimeout
}

// Caller sends calls to replicas. rpc.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, params, reply any) error
}

// Options are the parameters of a Loop. All but Seeds, Interval, TokenTimeout,
// AdoptDepartures, ReplicaDomain and Quarantine are required.
type Options struct {
	Instance string
	// Session is different for each start of the daemon.
	Session       string
	PeerAddress   string
	FailureDomain string
	// Replicas are the control addresses of the replicas.
	Replicas []string
	// Seeds, if set, returns control addresses at which replicas may run now. They are
	// tried too where no known replica confirms renewals for seedsAfter.
	Seeds func() []string
	// ReplicaDomain, if set, is called with the address and the failure domain of
	// each replica that a reply names.
	ReplicaDomain func(address, domain string)
	// Subscriptions returns the services that this daemon calls.
	Subscriptions func() []string
	// Interval is the time between two renewals. The default is
	// DefaultInterval.
	Interval time.Duration
	// TokenTimeout is the time limit of one call for tokens to one replica. The
	// default is callTimeout. Replicas with a quota.Substitute reply sooner.
	TokenTimeout  time.Duration
	Caller        Caller
	Configuration *configuration.Holder
	Registry      *registry.Table
	Quota         *quota.Holder
	// Quarantine, if set, holds the requests that no target may get.
	Quarantine *quarantine.List
	// Targets returns the announcements of the local targets.
	Targets func() []protocol.Announcement
	// AdoptDepartures, if set, gets the incarnations of local targets that left before
	// this daemon started.
	AdoptDepartures func(incarnations []string)
	// Leaving reports whether this daemon is shutting down.
	Leaving  func() bool
	Clock    func() time.Time
	Recorder hop.Recorder
	Log      *zap.Logger
}

// Loop renews the lease periodically.
type Loop struct {
	options  Options
	replicas *replicaList
	trigger  chan struct{}
	attempts attemptCounts
	pauses   *pauseDetector
	// reported is the number of the configuration that the last confirmed renewal reported.
	// Only Run uses it.
	reported uint64
	// connection is the state of the connection to the replicas. Only Run uses
	// it.
	connection connectionState
}

// New returns a loop. Run starts it.
func New(o Options) *Loop {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	if o.TokenTimeout == 0 {
		o.TokenTimeout = callTimeout
	}
	return &Loop{options: o, replicas: newReplicaList(o.Replicas, o.Instance, o.FailureDomain), trigger: make(chan struct{}, 1), pauses: newPauseDetector()}
}

// RenewNow makes the next renewal start at once. It does not block.
func (l *Loop) RenewNow() {
	select {
	case l.trigger <- struct{}{}:
	default:
	}
}

// Run renews periodically until ctx ends. It returns nil.
func (l *Loop) Run(ctx context.Context) error {
	l.connection.since = l.options.Clock()
	for {
		l.pauses.renewalBegins(time.Now())
		confirmed := l.Renew(ctx)
		l.pauses.renewalEnded(time.Now())
		l.logConnection(ctx, confirmed)
		l.trySeeds(confirmed)
		select {
		case <-ctx.Done():
			return nil
		case <-l.trigger:
		case <-time.After(l.nextDelay(confirmed)):
		}
	}
}

// trySeeds adds the seeds to the replicas that are tried, once the known ones have not
// confirmed a renewal for seedsAfter.
func (l *Loop) trySeeds(confirmed bool) {
	if !confirmed && l.options.Seeds != nil && l.options.Clock().Sub(l.connection.since) >= seedsAfter {
		l.replicas.add(l.options.Seeds())
	}
}

// nextDelay returns the time until the next renewal.
func (l *Loop) nextDelay(confirmed bool) time.Duration {
	switch {
	case !confirmed:
		return retryDelay
	case l.options.Configuration.Current().Number() != l.reported:
		// The replicas wait for the report before they acknowledge the change.
		return 0
	case l.options.Clock().Sub(l.connection.since) < startupPeriod && l.hasServiceWithoutTargets():
		return min(startupRenewInterval, l.options.Interval)
	}
	return l.options.Interval
}

// hasServiceWithoutTargets reports whether some service that this daemon calls
// has no known target.
func (l *Loop) hasServiceWithoutTargets() bool {
	for _, service := range l.options.Subscriptions() {
		if len(l.options.Registry.Targets(service)) == 0 {
			return true
		}
	}
	return false
}

// Renew tries the replicas in turn until one confirms the renewal. It reports
// whether one did.
func (l *Loop) Renew(ctx context.Context) bool {
	for range l.replicas.size() {
		if ctx.Err() != nil {
			return false
		}
		address := l.replicas.current()
		if l.renewAt(ctx, address) {
			l.replicas.confirm(address, l.options.Clock())
			return true
		}
		l.replicas.fail(address, l.options.Clock())
	}
	return false
}

// renewAt sends a renewal to one replica. The lease starts at the time before
// the renewal is sent, so the clocks of the processes need not agree.
func (l *Loop) renewAt(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer l.pauses.attemptEnded(time.Now())
	request := l.request()
	sentAt := l.options.Clock()
	var reply protocol.RenewReply
	if err := l.options.Caller.Call(ctx, address, protocol.MethodRenew, request, &reply); err != nil {
		l.options.Log.Debug("renewal failed", zap.String("replica", address), zap.Error(err))
		l.attempts.failed.Add(1)
		return false
	}
	confirmed := l.apply(address, sentAt, reply)
	l.attempts.countReply(confirmed)
	if confirmed {
		l.reported = request.Version
	}
	return confirmed
}

func (l *Loop) request() protocol.RenewRequest {
	subscriptions := l.options.Subscriptions()
	epoch, version := l.options.Registry.Position(subscriptions)
	request := protocol.RenewRequest{
		Instance:        l.options.Instance,
		Session:         l.options.Session,
		PeerAddress:     l.options.PeerAddress,
		FailureDomain:   l.options.FailureDomain,
		Targets:         l.options.Targets(),
		DaemonLeaving:   l.options.Leaving(),
		Subscriptions:   subscriptions,
		RegistryEpoch:   epoch,
		RegistryVersion: version,
		Quota:           l.options.Quota.TokenRequests(l.options.Clock()),
	}
	l.options.Configuration.Position(&request)
	if l.options.Quarantine != nil {
		l.options.Quarantine.Fill(&request)
	}
	return request
}

// apply applies the reply of the replica at address. It reports whether the reply renewed
// the lease.
func (l *Loop) apply(address string, sentAt time.Time, reply protocol.RenewReply) bool {
	// Before the configuration: a daemon without one sends its targets nothing.
	if l.options.AdoptDepartures != nil {
		l.options.AdoptDepartures(reply.Departed)
	}
	if l.options.Quarantine != nil {
		l.options.Quarantine.Apply(reply.Confirmed, reply.Quarantine)
	}
	before := l.options.Configuration.Current().Number()
	age, _ := l.options.Configuration.ConfirmedAgo()
	if err := l.options.Configuration.Accept(sentAt, reply); err != nil {
		l.options.Log.Warn("configuration rejected", zap.Error(err))
		return false
	}
	if after := l.options.Configuration.Current().Number(); after != before {
		l.options.Log.Info("new configuration is in effect", zap.Uint64("number", after), zap.Uint64("revision", l.options.Configuration.Current().Revision()),
			zap.String("replica", address), zap.Bool("confirmed", reply.Confirmed), zap.Duration("last_confirmed", age))
		l.options.Recorder.Record(protocol.Event{Name: "configuration.advanced", Detail: formatChange(before, after)})
	}
	l.options.Registry.Apply(reply.Registry)
	l.options.Quota.ApplyGrants(sentAt, reply.Quota)
	l.replicas.set(reply.Replicas, reply.ReplicaDomains)
	if l.options.ReplicaDomain != nil && len(reply.ReplicaDomains) == len(reply.Replicas) {
		for i, address := range reply.Replicas {
			l.options.ReplicaDomain(address, reply.ReplicaDomains[i])
		}
	}
	return reply.Confirmed && l.options.Configuration.Fresh() == nil
}

// RequestTokens requests quota tokens between two renewals. quota.Holder uses it
// to send its token requests. The time is when the request was sent. Errors:
// QuotaUnavailable.
func (l *Loop) RequestTokens(ctx context.Context, requests []protocol.QuotaRequest) ([]protocol.QuotaGrant, time.Time, error) {
	request := protocol.RenewRequest{Instance: l.options.Instance, Session: l.options.Session, Quota: requests, QuotaOnly: true}
	for range l.replicas.size() {
		address := l.replicas.current()
		sentAt := l.options.Clock()
		var reply protocol.RenewReply
		err := l.call(ctx, l.options.TokenTimeout, address, protocol.MethodRenew, request, &reply)
		if err == nil && len(reply.Quota) > 0 {
			return reply.Quota, sentAt, nil
		}
		if ctx.Err() != nil {
			break
		}
		l.replicas.fail(address, l.options.Clock())
	}
	return nil, time.Time{}, fault.New(fault.QuotaUnavailable, "no replica issued tokens")
}

// Depart records with the replicas, in turn until one has done so, that local targets
// leave. Errors: NoLeader if that may or may not have happened, NotLeader if not.
func (l *Loop) Depart(ctx context.Context, incarnations []string) error {
	request := protocol.DepartRequest{Instance: l.options.Instance, Incarnations: incarnations}
	err := fault.New(fault.NotLeader, "no replica is known")
	for range l.replicas.size() {
		address := l.replicas.current()
		if err = l.call(ctx, protocol.DepartTimeout, address, protocol.MethodDepart, request, &protocol.Empty{}); err == nil || ctx.Err() != nil {
			return err
		}
		l.replicas.fail(address, l.options.Clock())
	}
	return err
}

// SendOnce sends one ledger command to the replicas in turn. It implements
// ledger.Caller. Errors: LedgerUnavailable if certainly no replica accepted the
// command, LedgerUnknown if one may have.
func (l *Loop) SendOnce(ctx context.Context, shard int, request protocol.OnceRequest) (protocol.OnceReply, error) {
	mayBeAccepted := false
	for range l.replicas.size() {
		address := l.replicas.current()
		var reply protocol.OnceReply
		err := l.call(ctx, callTimeout, address, protocol.MethodOnce, protocol.OnceCall{Shard: shard, Request: request}, &reply)
		if err == nil {
			return reply, nil
		}
		if !notAccepted(err) {
			mayBeAccepted = true
		}
		if ctx.Err() != nil {
			break
		}
		l.replicas.fail(address, l.options.Clock())
	}
	if mayBeAccepted {
		return protocol.OnceReply{}, fault.New(fault.LedgerUnknown, "the reply to the ledger command was lost")
	}
	return protocol.OnceReply{}, fault.New(fault.LedgerUnavailable, "no replica accepted the ledger command")
}

func (l *Loop) call(ctx context.Context, timeout time.Duration, address, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.options.Caller.Call(ctx, address, method, request, reply)
}

// notAccepted reports whether err proves that the replica did not accept the
// command.
func notAccepted(err error) bool {
	switch fault.KindOf(err) {
	case fault.ConnectFailed, fault.NotLeader, fault.NotFounded, fault.BadRequest, fault.Forbidden:
		return true
	default:
		return false
	}
}
