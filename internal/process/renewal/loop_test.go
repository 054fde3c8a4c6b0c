package renewal

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/version"
)

// fakeReplicas is a replica group that confirms every renewal and knows of a
// target only after some time.
type fakeReplicas struct {
	began            time.Time
	targetKnownAfter atomic.Int64 // time until the target is known, in nanoseconds
	renewals         atomic.Int64
	departed         []string
}

func (r *fakeReplicas) Call(_ context.Context, _, _ string, _, reply any) error {
	n := r.renewals.Add(1)
	renewReply := reply.(*protocol.RenewReply)
	state := version.Initial()
	*renewReply = protocol.RenewReply{Confirmed: true, Version: state.Number(), Digest: state.Digest(), Departed: r.departed}
	delta := &protocol.RegistryDelta{Epoch: "e", Version: uint64(n), Full: true}
	if time.Since(r.began) >= time.Duration(r.targetKnownAfter.Load()) {
		delta.Upserts = []protocol.TargetRecord{{Service: "s", Instance: "a", PeerAddress: "10.0.0.1:80", State: protocol.Warm, Slots: 1}}
	}
	renewReply.Registry = delta
	return nil
}

type discardRecorder struct{}

func (discardRecorder) Record(protocol.Event) {}

// TestTargetsAreKnownSoonAfterAStart guards against daemons that know no
// targets for a whole renewal interval after all processes have started. A
// replica learns of the target after 700 ms, and the daemon 100 ms later. After
// startupPeriod the daemon renews at the usual interval, even if a service has
// no targets.
func TestTargetsAreKnownSoonAfterAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		const knownAfter = 700 * time.Millisecond
		group := &fakeReplicas{began: time.Now()}
		group.targetKnownAfter.Store(int64(knownAfter))
		table := registry.NewTable(time.Now)
		loop := New(Options{
			Instance: "d", Replicas: []string{"r"}, Subscriptions: func() []string { return []string{"s"} },
			Caller: group, Configuration: configuration.NewHolder(configuration.HolderOptions{Now: time.Now}), Registry: table,
			Quota: quota.NewHolder(time.Now, func(context.Context, []protocol.QuotaRequest) ([]protocol.QuotaGrant, time.Time, error) {
				return nil, time.Now(), nil
			}),
			Targets: func() []protocol.Announcement { return nil }, Leaving: func() bool { return false },
			Clock: time.Now, Recorder: discardRecorder{}, Log: zap.NewNop(),
		})
		done := make(chan error, 1)
		go func() { done <- loop.Run(ctx) }()
		time.Sleep(knownAfter + startupRenewInterval + time.Millisecond)
		must.Len(t, 1, table.Targets("s"))

		group.targetKnownAfter.Store(int64(time.Hour))
		time.Sleep(startupPeriod)
		before := group.renewals.Load()
		time.Sleep(10 * DefaultInterval)
		must.LessEq(t, 11, group.renewals.Load()-before)
		cancel()
		must.NoError(t, <-done)
	})
}

// TestDeparturesAreKnownBeforeTheConfiguration guards against a restarted daemon that gets
// its configuration, and so permits requests to its target, before it learns that the
// target leaves.
func TestDeparturesAreKnownBeforeTheConfiguration(t *testing.T) {
	group := &fakeReplicas{departed: []string{"a/1"}}
	holder := configuration.NewHolder(configuration.HolderOptions{Now: time.Now})
	var adopted []string
	loop := New(Options{
		Instance: "d", Replicas: []string{"r"}, Subscriptions: func() []string { return nil },
		Caller: group, Configuration: holder, Registry: registry.NewTable(time.Now),
		Quota: quota.NewHolder(time.Now, func(context.Context, []protocol.QuotaRequest) ([]protocol.QuotaGrant, time.Time, error) {
			return nil, time.Now(), nil
		}),
		Targets: func() []protocol.Announcement { return nil }, Leaving: func() bool { return false },
		AdoptDepartures: func(incarnations []string) {
			must.Error(t, holder.Fresh())
			adopted = incarnations
		},
		Clock: time.Now, Recorder: discardRecorder{}, Log: zap.NewNop(),
	})
	must.True(t, loop.Renew(t.Context()))
	must.NoError(t, holder.Fresh())
	must.Eq(t, []string{"a/1"}, adopted)
}

// oddReplicas is a replica group that names odd members, and of which only one address
// can be reached.
type oddReplicas struct {
	fakeReplicas
	reachable string
}

func (r *oddReplicas) Call(ctx context.Context, address, method string, request, reply any) error {
	if address != r.reachable {
		return fault.New(fault.ConnectFailed, "connect to %s", address)
	}
	err := r.fakeReplicas.Call(ctx, address, method, request, reply)
	renewReply := reply.(*protocol.RenewReply)
	renewReply.Replicas = []string{"", "10.0.0.1:99999", "10.0.0.1", address, "10.0.0.1:99999", strings.Repeat("x", 1<<20)}
	renewReply.ReplicaDomains = []string{"z", "", "z"}
	return err
}

// TestOddReplicasAreTriedInVain guards against a daemon that stops following the replicas
// because their list names addresses that are none, also in its own failure domain.
func TestOddReplicasAreTriedInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &oddReplicas{reachable: "10.0.0.2:7000"}
		group.began = time.Now()
		holder := configuration.NewHolder(configuration.HolderOptions{Now: time.Now})
		table := registry.NewTable(time.Now)
		loop := New(Options{
			Instance: "d", FailureDomain: "z", Replicas: []string{"10.0.0.1:99999", group.reachable}, Subscriptions: func() []string { return []string{"s"} },
			Caller: group, Configuration: holder, Registry: table, Quota: quota.NewHolder(time.Now, nil),
			Targets: func() []protocol.Announcement { return nil }, Leaving: func() bool { return false },
			Clock: time.Now, Recorder: discardRecorder{}, Log: zap.NewNop(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- loop.Run(ctx) }()
		for range 100 {
			time.Sleep(DefaultInterval)
			must.NoError(t, holder.Fresh())
			must.False(t, table.Stale())
			must.Len(t, 1, table.Targets("s"))
		}
		cancel()
		must.NoError(t, <-done)
	})
}

// movingReplica is a replica group with one member at a time.
type movingReplica struct {
	fakeReplicas
	address atomic.Pointer[string]
}

func (r *movingReplica) Call(ctx context.Context, address, method string, request, reply any) error {
	if current := *r.address.Load(); address != current {
		return fault.New(fault.ConnectFailed, "connect to %s", address)
	}
	err := r.fakeReplicas.Call(ctx, address, method, request, reply)
	reply.(*protocol.RenewReply).Replicas = []string{address}
	return err
}

// TestSeedsLeadBackToReplicasThatHaveMoved guards against a daemon that never finds the
// replicas again that were all replaced while it was cut off, although its seeds name the
// new ones.
func TestSeedsLeadBackToReplicasThatHaveMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, odd := "10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.1:99999"
		group := &movingReplica{}
		group.began = time.Now()
		group.address.Store(&first)
		var seeds atomic.Pointer[[]string]
		seeds.Store(&[]string{first})
		holder := configuration.NewHolder(configuration.HolderOptions{Now: time.Now})
		loop := New(Options{
			Instance: "d", Replicas: *seeds.Load(), Seeds: func() []string { return *seeds.Load() }, Subscriptions: func() []string { return nil },
			Caller: group, Configuration: holder, Registry: registry.NewTable(time.Now), Quota: quota.NewHolder(time.Now, nil),
			Targets: func() []protocol.Announcement { return nil }, Leaving: func() bool { return false },
			Clock: time.Now, Recorder: discardRecorder{}, Log: zap.NewNop(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- loop.Run(ctx) }()
		time.Sleep(DefaultInterval)
		must.NoError(t, holder.Fresh())
		group.address.Store(&second)
		seeds.Store(&[]string{first, "10.0.0.3:7000"})
		time.Sleep(seedsAfter - DefaultInterval)
		must.Eq(t, 1, loop.replicas.size(), must.Sprint("the known replicas are tried alone at first"))
		seeds.Store(&[]string{first})
		time.Sleep(time.Minute)
		must.Error(t, holder.Fresh())
		must.Eq(t, 1, loop.replicas.size(), must.Sprint("seeds that are known are not added again"))
		seeds.Store(&[]string{odd, second, second})
		time.Sleep(DefaultInterval)
		must.NoError(t, holder.Fresh())
		must.Eq(t, 1, loop.replicas.size())
		cancel()
		must.NoError(t, <-done)
	})
}

// newTestLoop returns the loop of a daemon without targets.
func newTestLoop(caller Caller) *Loop {
	return New(Options{
		Instance: "d", Replicas: []string{"r"}, Subscriptions: func() []string { return []string{"s"} },
		Caller: caller, Configuration: configuration.NewHolder(configuration.HolderOptions{Now: time.Now}), Registry: registry.NewTable(time.Now),
		Quota: quota.NewHolder(time.Now, func(context.Context, []protocol.QuotaRequest) ([]protocol.QuotaGrant, time.Time, error) {
			return nil, time.Now(), nil
		}),
		Targets: func() []protocol.Announcement { return nil }, Leaving: func() bool { return false },
		Clock: time.Now, Recorder: discardRecorder{}, Log: zap.NewNop(),
	})
}
