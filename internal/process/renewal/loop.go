// Package renewal keeps a daemon in touch with the control replicas: it renews
// the freshness lease, takes in new configuration and registry changes, and
// carries quota asks and ledger commands.
package renewal

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/request/hop"
)

const (
	// DefaultInterval is the time between two renewals.
	DefaultInterval = 1 * time.Second
	// callTimeout bounds one attempt at one replica.
	callTimeout = 700 * time.Millisecond
	// retryPause is the wait after every replica failed once.
	retryPause = 100 * time.Millisecond
	// catchUpPause is the wait between two renewals while a service has no target
	// that is known, in the first catchUpFor of contact: after all processes have
	// started anew, replicas learn of the targets one by one.
	catchUpPause = 100 * time.Millisecond
	catchUpFor   = 3 * time.Second
)

// Caller sends calls to replicas. rpc.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, params, reply any) error
}

// Options are the parts of a Loop. All are required but Interval.
type Options struct {
	Instance      string
	Session       string
	PeerAddress   string
	FailureDomain string
	// Replicas are the control addresses of the replicas.
	Replicas []string
	// Subscriptions returns the services this daemon calls.
	Subscriptions func() []string
	// Interval is the time between two renewals. Default DefaultInterval.
	Interval time.Duration
	Caller   Caller
	Holder   *configuration.Holder
	Table    *registry.Table
	Quota    *quota.Holder
	// Targets returns the announcements of the targets beside this daemon.
	Targets func() []protocol.Announcement
	// Leaving reports whether this daemon is leaving.
	Leaving  func() bool
	Clock    func() time.Time
	Recorder hop.Recorder
	Log      *zap.Logger
}

// Loop renews until its context ends.
type Loop struct {
	o    Options
	pick *replicaList
	kick chan struct{}
	// touch says whether the last renewal was confirmed; used by Run alone.
	touch contact
}

// New returns a loop that has not started.
func New(o Options) *Loop {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	return &Loop{o: o, pick: newReplicaList(o.Replicas, o.Instance), kick: make(chan struct{}, 1)}
}

// Kick makes the next renewal start at once.
func (l *Loop) Kick() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// Run renews once an interval until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	l.touch.since = l.o.Clock()
	for {
		confirmed := l.Renew(ctx)
		l.noteContact(ctx, confirmed)
		select {
		case <-ctx.Done():
			return nil
		case <-l.kick:
		case <-time.After(l.pause(confirmed)):
		}
	}
}

// pause is the time until the next renewal.
func (l *Loop) pause(confirmed bool) time.Duration {
	switch {
	case !confirmed:
		return retryPause
	case l.o.Clock().Sub(l.touch.since) < catchUpFor && l.lacksTargets():
		return min(catchUpPause, l.o.Interval)
	}
	return l.o.Interval
}

// lacksTargets reports whether no target is known of some service that this
// daemon calls.
func (l *Loop) lacksTargets() bool {
	for _, service := range l.o.Subscriptions() {
		if len(l.o.Table.Targets(service)) == 0 {
			return true
		}
	}
	return false
}

// Renew asks the replicas in turn until one confirms, and reports whether one
// did.
func (l *Loop) Renew(ctx context.Context) bool {
	for range l.pick.size() {
		if ctx.Err() != nil {
			return false
		}
		if l.renewAt(ctx, l.pick.current()) {
			return true
		}
		l.pick.next()
	}
	return false
}

// renewAt renews at one replica. The lease counts from before the renewal was
// sent, so no clocks need agree.
func (l *Loop) renewAt(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := l.request()
	sentAt := l.o.Clock()
	var reply protocol.RenewReply
	if err := l.o.Caller.Call(ctx, address, protocol.MethodRenew, request, &reply); err != nil {
		l.o.Log.Debug("renewal failed", zap.String("replica", address), zap.Error(err))
		return false
	}
	return l.takeIn(sentAt, reply)
}

func (l *Loop) request() protocol.RenewRequest {
	state := l.o.Holder.Current()
	subscriptions := l.o.Subscriptions()
	epoch, version := l.o.Table.Position(subscriptions)
	return protocol.RenewRequest{
		Instance:        l.o.Instance,
		Session:         l.o.Session,
		PeerAddress:     l.o.PeerAddress,
		FailureDomain:   l.o.FailureDomain,
		Version:         state.Number(),
		Digest:          state.Digest(),
		Targets:         l.o.Targets(),
		DaemonLeaving:   l.o.Leaving(),
		Subscriptions:   subscriptions,
		RegistryEpoch:   epoch,
		RegistryVersion: version,
		Quota:           l.o.Quota.Wants(l.o.Clock()),
	}
}

// takeIn applies a reply, and reports whether it renewed the lease.
func (l *Loop) takeIn(sentAt time.Time, reply protocol.RenewReply) bool {
	before := l.o.Holder.Current().Number()
	if err := l.o.Holder.Accept(sentAt, reply); err != nil {
		l.o.Log.Warn("configuration not taken", zap.Error(err))
		return false
	}
	if after := l.o.Holder.Current().Number(); after != before {
		l.o.Log.Info("configuration in force", zap.Uint64("number", after))
		l.o.Recorder.Record(protocol.Event{Name: "configuration.advanced", Detail: detailNumber(before, after)})
	}
	l.o.Table.Apply(reply.Registry)
	l.o.Quota.Granted(sentAt, reply.Quota)
	l.pick.set(reply.Replicas)
	return reply.Confirmed && l.o.Holder.Fresh() == nil
}

// Ask asks for tokens between two renewals. It implements the ask of
// quota.Holder. Errors: QuotaUnavailable.
func (l *Loop) Ask(ctx context.Context, asks []protocol.QuotaAsk) ([]protocol.QuotaGrant, time.Time, error) {
	request := protocol.RenewRequest{Instance: l.o.Instance, Session: l.o.Session, Quota: asks, QuotaOnly: true}
	for range l.pick.size() {
		sentAt := l.o.Clock()
		var reply protocol.RenewReply
		err := l.call(ctx, l.pick.current(), protocol.MethodRenew, request, &reply)
		if err == nil && len(reply.Quota) > 0 {
			return reply.Quota, sentAt, nil
		}
		if ctx.Err() != nil {
			break
		}
		l.pick.next()
	}
	return nil, time.Time{}, fault.New(fault.QuotaUnavailable, "no replica issued tokens")
}

// Once sends one ledger command to the replicas in turn. It implements
// ledger.Caller. Errors: LedgerUnavailable where no replica took the command,
// LedgerUnknown where one may have.
func (l *Loop) Once(ctx context.Context, shard int, request protocol.OnceRequest) (protocol.OnceReply, error) {
	taken := false
	for range l.pick.size() {
		var reply protocol.OnceReply
		err := l.call(ctx, l.pick.current(), protocol.MethodOnce, protocol.OnceCall{Shard: shard, Request: request}, &reply)
		if err == nil {
			return reply, nil
		}
		if !notTaken(err) {
			taken = true
		}
		if ctx.Err() != nil {
			break
		}
		l.pick.next()
	}
	if taken {
		return protocol.OnceReply{}, fault.New(fault.LedgerUnknown, "the ledger's answer was lost")
	}
	return protocol.OnceReply{}, fault.New(fault.LedgerUnavailable, "no replica took the ledger command")
}

func (l *Loop) call(ctx context.Context, address, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.o.Caller.Call(ctx, address, method, request, reply)
}

// notTaken reports whether err proves that the command was not taken.
func notTaken(err error) bool {
	switch fault.KindOf(err) {
	case fault.ConnectFailed, fault.NotLeader, fault.NotFounded, fault.BadRequest, fault.Forbidden:
		return true
	default:
		return false
	}
}
