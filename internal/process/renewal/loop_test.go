package renewal

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/version"
)

// replicas is a group that confirms every renewal and learns of a target late.
type replicas struct {
	began    time.Time
	knows    atomic.Int64 // after which time, in nanoseconds
	renewals atomic.Int64
}

func (r *replicas) Call(_ context.Context, _, _ string, _, reply any) error {
	n := r.renewals.Add(1)
	answer := reply.(*protocol.RenewReply)
	state := version.Initial()
	*answer = protocol.RenewReply{Confirmed: true, Version: state.Number(), Digest: state.Digest()}
	delta := &protocol.RegistryDelta{Epoch: "e", Version: uint64(n), Full: true}
	if time.Since(r.began) >= time.Duration(r.knows.Load()) {
		delta.Upserts = []protocol.TargetRecord{{Service: "s", Instance: "a", State: protocol.Warm, Slots: 1}}
	}
	answer.Registry = delta
	return nil
}

type silent struct{}

func (silent) Record(protocol.Event) {}

// TestTargetsAreKnownSoonAfterAStart: a replica learns of the targets 700 ms after
// all processes have started. The daemon knows them 100 ms later, not at its next
// usual renewal, and does not go on asking so often for a service without any.
func TestTargetsAreKnownSoonAfterAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		const late = 700 * time.Millisecond
		group := &replicas{began: time.Now()}
		group.knows.Store(int64(late))
		table := registry.NewTable(time.Now)
		loop := New(Options{
			Instance: "d", Replicas: []string{"r"}, Subscriptions: func() []string { return []string{"s"} },
			Caller: group, Holder: configuration.NewHolder(configuration.HolderOptions{Now: time.Now}), Table: table,
			Quota: quota.NewHolder(time.Now, func(context.Context, []protocol.QuotaAsk) ([]protocol.QuotaGrant, time.Time, error) {
				return nil, time.Now(), nil
			}),
			Targets: func() []protocol.Announcement { return nil }, Leaving: func() bool { return false },
			Clock: time.Now, Recorder: silent{}, Log: zap.NewNop(),
		})
		done := make(chan error, 1)
		go func() { done <- loop.Run(ctx) }()
		time.Sleep(late + catchUpPause + time.Millisecond)
		must.Len(t, 1, table.Targets("s"))

		group.knows.Store(int64(time.Hour))
		time.Sleep(catchUpFor)
		before := group.renewals.Load()
		time.Sleep(10 * DefaultInterval)
		must.LessEq(t, 11, group.renewals.Load()-before)
		cancel()
		must.NoError(t, <-done)
	})
}
