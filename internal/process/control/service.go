// Package control serves the control role of a replica: release notes, daemon
// renewals with freshness leases, quota tokens, the registry and the once
// ledger, on top of the replica groups.
package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/ledger"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/process/replica"
	"github.com/teaselrack/teaselrack/internal/request/hop"
)

// Times of the control service.
const (
	// confirmTimeout bounds waiting for a quorum during a renewal.
	confirmTimeout = 450 * time.Millisecond
	// commandTimeout bounds committing one command.
	commandTimeout = 2 * time.Second
	// membershipTimeout bounds a change of members, catching up included.
	membershipTimeout = 30 * time.Second
)

// ConfigurationGroup is the name of the group that holds the configuration.
const ConfigurationGroup = "configuration"

// Caller sends calls to other replicas. rpc.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, params, reply any) error
}

// Shard is one replica group of the once ledger.
type Shard struct {
	Group replica.Group
	// Clock gives the time of the commands.
	Clock *ledger.Clock
}

// Options are the parts that a Service is made of. All are required.
type Options struct {
	// Address is the control address of this replica.
	Address string
	// Replicas returns the control addresses at which replicas may be found,
	// beside those of the members.
	Replicas func() []string
	// Membership, where set, keeps the members without an operator.
	Membership *Membership
	Log        *zap.Logger
	Group      replica.Group
	Machine    *configuration.Machine
	// Shards are the groups of the once ledger, by shard number.
	Shards   []Shard
	Registry *registry.Registry
	Issuer   *quota.Issuer
	Caller   Caller
	// Receive hands a message to the member of its group on this replica.
	Receive  func(replica.Message)
	Clock    func() time.Time
	Recorder hop.Recorder
}

// Service is the control role of one replica. Its methods may be called from
// any goroutine.
type Service struct {
	o        Options
	tokens   *tokens
	accepted acceptance
	// keeper is nil where operators admit and remove members.
	keeper *keeper
}

// New returns a service over its parts.
func New(o Options) *Service {
	s := &Service{o: o, tokens: newTokens(o)}
	if o.Membership != nil {
		s.keeper = newKeeper(s, *o.Membership, o.Log)
	}
	return s
}

// addresses returns where replicas may be found: the members of the group, and
// the addresses of the settings.
func (s *Service) addresses() []string {
	var all []string
	for _, m := range s.o.Group.Status().Members {
		all = append(all, m.Address)
	}
	all = append(all, s.o.Replicas()...)
	slices.Sort(all)
	return slices.Compact(all)
}

// others returns the addresses without that of this replica.
func (s *Service) others() []string {
	return slices.DeleteFunc(s.addresses(), func(a string) bool { return a == s.o.Address })
}

// Handlers returns the methods of the service with the roles that may call
// each.
func (s *Service) Handlers() map[string]rpc.Handler {
	processes := []mesh.Role{mesh.Daemon, mesh.Replica}
	operators := []mesh.Role{mesh.Operator, mesh.Replica}
	handlers := map[string]rpc.Handler{
		protocol.MethodRenew:   rpc.Method(s.Renew, processes...),
		protocol.MethodOnce:    rpc.Method(s.Once, processes...),
		protocol.MethodApply:   rpc.Method(s.Apply, operators...),
		protocol.MethodPlan:    rpc.Method(s.Plan, operators...),
		protocol.MethodExport:  rpc.Method(s.Export, operators...),
		protocol.MethodStatus:  rpc.Method(s.Status, operators...),
		protocol.MethodFound:   rpc.Method(s.Found, mesh.Operator),
		protocol.MethodAdmit:   rpc.Method(s.Admit, operators...),
		protocol.MethodRemove:  rpc.Method(s.Remove, operators...),
		protocol.MethodOrder:   rpc.Method(s.Order, operators...),
		protocol.MethodJoin:    rpc.Method(s.Join, mesh.Replica),
		protocol.MethodReplica: rpc.Method(s.Receive, mesh.Replica),
		protocol.MethodSync:    rpc.Method(s.Sync, mesh.Replica),
	}
	addForwarded(handlers, protocol.MethodRenew, protocol.MethodOnce, protocol.MethodApply, protocol.MethodAdmit, protocol.MethodRemove, protocol.MethodOrder, protocol.MethodJoin)
	return handlers
}
