package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/process/registry"
)

const (
	// syncInterval is the time between two registry exchanges with one replica.
	syncInterval = 250 * time.Millisecond
	// syncTimeout bounds one registry exchange.
	syncTimeout = 700 * time.Millisecond
)

// SyncRequest requests the soft state of another replica.
type SyncRequest struct {
	registry.ExchangeRequest
	// QuarantineVersion is that of the last reply of the same epoch.
	QuarantineVersion uint64 `json:"qv,omitempty"`
}

// SyncReply is the soft state of the replying replica.
type SyncReply struct {
	registry.ExchangeReply
	// Crashes are the crash reports that have changed since the requested version.
	Crashes           []protocol.CrashReport `json:"cr,omitempty"`
	QuarantineVersion uint64                 `json:"qv,omitempty"`
}

// Sync returns to another replica the daemons that renew with this one, and the crash
// reports that it knows.
func (s *Service) Sync(_ context.Context, _ mesh.Peer, req SyncRequest) (SyncReply, error) {
	now := s.options.Clock()
	reply := SyncReply{ExchangeReply: s.options.Registry.Changes(now, req.ExchangeRequest)}
	reply.FailureDomain = s.options.FailureDomain
	reply.Crashes, reply.QuarantineVersion = s.options.Quarantine.Changes(now, req.Epoch, req.QuarantineVersion)
	return reply, nil
}

// RunSync copies the registry records of the other replicas into the registry of
// this one, and drops daemons that no longer renew, until ctx ends.
func (s *Service) RunSync(ctx context.Context) {
	var wg sync.WaitGroup
	cancels := make(map[string]context.CancelFunc)
	every(ctx, syncInterval, func() {
		s.options.Registry.Expire(s.options.Clock())
		s.updateExchanges(ctx, &wg, cancels)
	})
	wg.Wait()
}

// updateExchanges starts exchanges with new replicas and stops those with replicas
// that are gone. cancels holds the functions that stop them, by address.
func (s *Service) updateExchanges(ctx context.Context, wg *sync.WaitGroup, cancels map[string]context.CancelFunc) {
	addresses := s.otherReplicas()
	for address, cancel := range cancels {
		if !slices.Contains(addresses, address) {
			cancel()
			delete(cancels, address)
		}
	}
	for _, address := range addresses {
		if cancels[address] != nil {
			continue
		}
		exchangeCtx, cancel := context.WithCancel(ctx)
		cancels[address] = cancel
		wg.Go(func() { s.syncWith(exchangeCtx, address) })
	}
}

// syncWith polls one replica for changes of its registry until ctx ends.
func (s *Service) syncWith(ctx context.Context, address string) {
	follower := registry.NewFollower(s.options.Registry)
	quarantineVersion := uint64(0)
	every(ctx, syncInterval, func() {
		reply, err := s.exchange(ctx, address, SyncRequest{ExchangeRequest: follower.Request(), QuarantineVersion: quarantineVersion})
		if err != nil {
			return
		}
		quarantineVersion = reply.QuarantineVersion
		s.options.Quarantine.Merge(s.options.Clock(), reply.Crashes)
		s.domains.learn(address, reply.FailureDomain)
		if s.options.ReplicaDomain != nil {
			s.options.ReplicaDomain(address, reply.FailureDomain)
		}
		follower.Apply(s.options.Clock(), reply.ExchangeReply)
	})
}

func (s *Service) exchange(ctx context.Context, address string, position SyncRequest) (SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var reply SyncReply
	err := s.options.Caller.Call(ctx, address, protocol.MethodSync, position, &reply)
	return reply, err
}

// every calls f immediately and then once per interval, until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
