// Package control implements the control role of a replica on top of the replica
// groups: release notes, daemon renewals with freshness leases, quota tokens, the
// registry of targets and the once ledger.
package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/quarantine"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/process/replica"
	"github.com/teaselrack/teaselrack/internal/process/targetlog"
	"github.com/teaselrack/teaselrack/internal/request/hop"
)

// Time limits of the control service.
const (
	// confirmTimeout bounds the wait for a quorum in renewals and status calls.
	confirmTimeout = 450 * time.Millisecond
	// minGrantTimeout and maxGrantTimeout bound the time limit of a call for tokens to
	// the leader, which is grantTimeoutFactor times what the last reply took. While a
	// leader is suspected because a call has failed, a replica with a Substitute does
	// not wait for it; it calls it again after suspicionPeriod.
	minGrantTimeout    = 150 * time.Millisecond
	maxGrantTimeout    = 400 * time.Millisecond
	grantTimeoutFactor = 2
	suspicionPeriod    = 100 * time.Millisecond
	// commandTimeout bounds the commit of one command, and a linearizable read of
	// the configuration.
	commandTimeout = 2 * time.Second
	// renewalBarrierInterval is the least time between two read barriers that
	// confirm renewals, and grantBarrierInterval between two that confirm the
	// leadership before tokens are granted. Renewals can wait longer than requests
	// that need a token.
	renewalBarrierInterval = 200 * time.Millisecond
	grantBarrierInterval   = 25 * time.Millisecond
	// membershipTimeout bounds a membership change that an operator requests,
	// including the time in which a new member catches up.
	membershipTimeout = 30 * time.Second
)

// ConfigurationGroup is the name of the replica group that stores the
// configuration.
const ConfigurationGroup = "configuration"

// Caller calls methods of other replicas. rpc.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, params, reply any) error
}

// Shard is one replica group of the once ledger.
type Shard struct {
	Group replica.Group
	// Clock supplies the timestamps of the shard's commands.
	Clock *replica.Clock
}

// Options holds the settings and dependencies of a Service. All fields are
// required except AutoMembership, FailureDomain, ReplicaDomain, EffectTimeout and
// Substitute.
type Options struct {
	// Address is the control address of this replica.
	Address string
	// FailureDomain is that of this replica. Daemons prefer replicas of their own
	// failure domain; if it is empty, they choose any.
	FailureDomain string
	// ReplicaDomain, if set, is called with the address and the failure domain of
	// each other replica, as they become known.
	ReplicaDomain func(address, domain string)
	// Replicas returns the control addresses at which replicas may run, in
	// addition to those of the members.
	Replicas func() []string
	// AutoMembership, if set, enables membership management without an operator.
	AutoMembership *AutoMembership
	Log            *zap.Logger
	// Group is the configuration group and Machine its state machine.
	Group   replica.Group
	Machine *configuration.Machine
	// Targets is the target log, which shares Group, and TargetClock supplies the
	// timestamps of its commands.
	Targets     *targetlog.Machine
	TargetClock *replica.Clock
	// Shards are the groups of the once ledger, by shard number.
	Shards   []Shard
	Registry *registry.Registry
	Issuer   *quota.Issuer
	// EffectTimeout is how long the acknowledgment of an order waits for daemons that are
	// in contact and do not put it into effect. Default DefaultEffectTimeout.
	EffectTimeout time.Duration
	// Substitute, if set, grants tokens while no issuer does.
	Substitute *quota.Substitute
	Caller     Caller
	// Receive passes a message to this replica's member of the message's group.
	Receive  func(replica.Message)
	Clock    func() time.Time
	Recorder hop.Recorder
}

// Service implements the methods of the control role of one replica. Its methods
// are safe for concurrent use.
type Service struct {
	options   Options
	tokens    *tokenIssuer
	renewals  *barrierBatcher
	leader    leaderWatch
	versions  versionTracker
	domains   replicaDomains
	skips     skipLog
	exchanges exchangeTimes
	effect    effectWait
	pauses    pauseWatch
	ticket    foundTicket
	// inbox holds the reports of crashes that the target log does not have yet.
	inbox *quarantine.Inbox
	// membership is nil if only operators admit and remove members.
	membership *membershipManager
}

// New returns a service. It starts no goroutines: the caller must run RunSync and
// WatchState.
func New(o Options) *Service {
	o.EffectTimeout = cmp.Or(o.EffectTimeout, DefaultEffectTimeout)
	s := &Service{options: o, tokens: newTokenIssuer(o), renewals: newBarrierBatcher(o.Group, renewalBarrierInterval), inbox: quarantine.NewInbox()}
	s.domains.learn(o.Address, o.FailureDomain)
	if o.AutoMembership != nil {
		s.membership = newMembershipManager(s, *o.AutoMembership, o.Log)
	}
	return s
}

// replicaAddresses returns the addresses of the group's members and the addresses
// from Options.Replicas, sorted and without duplicates.
func (s *Service) replicaAddresses() []string {
	var all []string
	for _, m := range s.options.Group.Status().Members {
		all = append(all, m.Address)
	}
	all = append(all, s.options.Replicas()...)
	slices.Sort(all)
	return slices.Compact(all)
}

// otherReplicas returns the addresses of replicaAddresses except that of this replica.
func (s *Service) otherReplicas() []string {
	return slices.DeleteFunc(s.replicaAddresses(), func(a string) bool { return a == s.options.Address })
}

// Handlers returns the RPC handlers of the service by method name. Each handler
// checks the role of its caller.
func (s *Service) Handlers() map[string]rpc.Handler {
	processes := []mesh.Role{mesh.Daemon, mesh.Replica}
	operators := []mesh.Role{mesh.Operator, mesh.Replica}
	handlers := map[string]rpc.Handler{
		protocol.MethodRenew:   rpc.Method(s.Renew, processes...),
		protocol.MethodDepart:  rpc.Method(s.Depart, processes...),
		protocol.MethodOnce:    rpc.Method(s.Once, processes...),
		protocol.MethodApply:   rpc.Method(s.Apply, operators...),
		protocol.MethodPlan:    rpc.Method(s.Plan, operators...),
		protocol.MethodExport:  rpc.Method(s.Export, operators...),
		protocol.MethodStatus:  rpc.Method(s.Status, operators...),
		protocol.MethodTicket:  rpc.Method(s.Ticket, mesh.Operator),
		protocol.MethodFound:   rpc.Method(s.Found, mesh.Operator),
		protocol.MethodAdmit:   rpc.Method(s.Admit, operators...),
		protocol.MethodRemove:  rpc.Method(s.Remove, operators...),
		protocol.MethodOrder:   rpc.Method(s.Order, operators...),
		protocol.MethodDomain:  rpc.Method(s.Domain, operators...),
		protocol.MethodJoin:    rpc.Method(s.Join, mesh.Replica),
		protocol.MethodCrashes: rpc.Method(s.RecordCrashes, mesh.Replica),
		protocol.MethodReplica: rpc.Method(s.Receive, mesh.Replica),
		protocol.MethodSync:    rpc.Method(s.Sync, mesh.Replica),
	}
	addForwarded(handlers, protocol.MethodRenew, protocol.MethodDepart, protocol.MethodCrashes, protocol.MethodOnce, protocol.MethodApply, protocol.MethodAdmit, protocol.MethodRemove, protocol.MethodOrder, protocol.MethodJoin)
	return handlers
}
