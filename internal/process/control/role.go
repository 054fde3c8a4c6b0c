package control

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/ledger"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/process/replica"
	"github.com/teaselrack/teaselrack/internal/process/storage"
	"github.com/teaselrack/teaselrack/internal/process/targetlog"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/request/hop"
	"github.com/teaselrack/teaselrack/internal/version"
)

// RoleOptions configures the control role and holds its dependencies. All fields
// are required except FailureDomain, ReplicaDomain, OpenDisk, AutoMembership, EffectTimeout, LedgerShards, HeartbeatInterval,
// ElectionTimeout, MaxQuotaOutage, TokenTTL and ReadSource.
type RoleOptions struct {
	// DataDir is the data directory; each group has a subdirectory in it.
	DataDir string
	// OpenDisk opens the directory of one group; nil opens it on the file system.
	OpenDisk func(dir string) (storage.Disk, error)
	// Address is the control address at which other replicas reach this one.
	Address string
	// FailureDomain is that of this replica; see Options.FailureDomain.
	FailureDomain string
	// ReplicaDomain is passed to the service; see Options.ReplicaDomain.
	ReplicaDomain func(address, domain string)
	// Replicas returns the control addresses at which replicas may run.
	Replicas func() []string
	// AutoMembership, if set, enables membership management without an operator.
	AutoMembership *AutoMembership
	// EffectTimeout is passed to the service; see Options.EffectTimeout.
	EffectTimeout time.Duration
	// LedgerShards is the number of groups of the once ledger. With 0 the role
	// serves no once ledger.
	LedgerShards int
	// HeartbeatInterval and ElectionTimeout are passed to each group. Defaults and
	// meaning: see replica.Options.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// MaxQuotaOutage is how long this replica grants tokens while no issuer does; see
	// quota.Substitute. 0 means never.
	MaxQuotaOutage time.Duration
	// TokenTTL is how long a quota token is valid. Default quota.TokenTTL.
	TokenTTL time.Duration
	Caller   Caller
	Recorder hop.Recorder
	Log      *zap.Logger
	// ReadSource reads the texts of full configurations; see configuration.Machine. It may
	// be nil.
	ReadSource version.SourceReader
}

// Role is the control role of one process: its member of each replica group and
// the service on top of them.
type Role struct {
	options   RoleOptions
	transport *Transport
	nodes     map[string]*replica.Node
	service   *Service
}

// NewRole opens the data directory. The role takes part in the groups only while
// Run is running. Errors: SettingsInvalid, StorageFailed.
func NewRole(o RoleOptions) (*Role, error) {
	r := &Role{options: o, transport: NewTransport(o.Caller), nodes: make(map[string]*replica.Node)}
	if err := r.open(); err != nil {
		_ = r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Role) open() error {
	machine, targetLog := configuration.NewMachine(configuration.DefaultHistory), targetlog.NewMachine()
	machine.ReadSourceWith(r.options.ReadSource)
	group, err := r.openGroup(ConfigurationGroup, &stateMachine{machine, targetLog})
	if err != nil {
		return err
	}
	shards, err := r.openShards()
	if err != nil {
		return err
	}
	var substitute *quota.Substitute
	if r.options.MaxQuotaOutage > 0 {
		substitute = quota.NewSubstitute(r.options.MaxQuotaOutage)
	}
	targets := registry.New(envelope.NewID())
	targets.LogTo(r.options.Log)
	r.service = New(Options{
		Substitute:     substitute,
		Address:        r.options.Address,
		FailureDomain:  r.options.FailureDomain,
		ReplicaDomain:  r.options.ReplicaDomain,
		Replicas:       r.options.Replicas,
		AutoMembership: r.options.AutoMembership,
		EffectTimeout:  r.options.EffectTimeout,
		Log:            r.options.Log,
		Group:          group,
		Machine:        machine,
		Targets:        targetLog,
		TargetClock:    replica.NewClock(targetLog, time.Now),
		Shards:         shards,
		Registry:       targets,
		Issuer:         quota.NewIssuerWithTTL(cmp.Or(r.options.TokenTTL, quota.TokenTTL)),
		Caller:         r.options.Caller,
		Receive:        r.receive,
		Clock:          time.Now,
		Recorder:       r.options.Recorder,
	})
	return nil
}

func (r *Role) openShards() ([]Shard, error) {
	shards := make([]Shard, r.options.LedgerShards)
	for i := range shards {
		machine := ledger.NewMachine(ledger.DefaultLimits())
		group, err := r.openGroup(fmt.Sprintf("ledger-%d", i), machine)
		if err != nil {
			return nil, err
		}
		shards[i] = Shard{Group: group, Clock: replica.NewClock(machine, time.Now)}
	}
	return shards, nil
}

func (r *Role) openGroup(name string, machine replica.Machine) (*replica.Node, error) {
	node, err := replica.New(replica.Options{
		Group:             name,
		Dir:               filepath.Join(r.options.DataDir, name),
		OpenDisk:          r.options.OpenDisk,
		Address:           r.options.Address,
		Machine:           machine,
		Transport:         r.transport,
		Logger:            r.options.Log,
		HeartbeatInterval: r.options.HeartbeatInterval,
		ElectionTimeout:   r.options.ElectionTimeout,
	})
	if err != nil {
		return nil, err
	}
	r.nodes[name] = node
	return node, nil
}

// receive passes a message to this process's member of the message's group. It
// ignores messages of unknown groups.
func (r *Role) receive(message replica.Message) {
	if node, ok := r.nodes[message.Group]; ok {
		node.Handle(message)
	}
}

// Handlers returns the RPC handlers of the role by method name.
func (r *Role) Handlers() map[string]rpc.Handler { return r.service.Handlers() }

// Run takes part in the groups until ctx ends. An error of a group, such as
// StorageFailed, is not recoverable: the process must exit.
func (r *Role) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, node := range r.nodes {
		g.Go(func() error { return node.Run(ctx) })
	}
	g.Go(func() error {
		r.service.RunSync(ctx)
		return nil
	})
	g.Go(func() error {
		r.service.WatchState(ctx)
		return nil
	})
	g.Go(func() error {
		r.service.RunQuarantine(ctx)
		return nil
	})
	if manager := r.service.membership; manager != nil {
		g.Go(func() error {
			manager.Run(ctx)
			return nil
		})
	}
	return g.Wait()
}

// Status returns the status of this replica in the configuration group.
func (r *Role) Status() protocol.ReplicaStatus { return r.nodes[ConfigurationGroup].Status() }

// Service returns the service on top of the replica groups.
func (r *Role) Service() *Service { return r.service }

// Close stops the transport and closes the data directory. Run must have
// returned.
func (r *Role) Close() error {
	errs := []error{r.transport.Close()}
	for _, node := range r.nodes {
		errs = append(errs, node.Close())
	}
	return errors.Join(errs...)
}
