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

// Sync returns to another replica the daemons that renew with this one.
func (s *Service) Sync(_ context.Context, _ mesh.Peer, req registry.ExchangeRequest) (registry.ExchangeReply, error) {
	reply := s.options.Registry.Changes(s.options.Clock(), req)
	reply.FailureDomain = s.options.FailureDomain
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
			s.exchanges.remove(address)
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
	every(ctx, syncInterval, func() {
		began := s.options.Clock()
		reply, err := s.exchange(ctx, address, follower.Request())
		if err != nil {
			return
		}
		s.domains.learn(address, reply.FailureDomain)
		if s.options.ReplicaDomain != nil {
			s.options.ReplicaDomain(address, reply.FailureDomain)
		}
		if follower.Apply(s.options.Clock(), reply) {
			s.exchanges.record(address, began)
		}
	})
}

func (s *Service) exchange(ctx context.Context, address string, position registry.ExchangeRequest) (registry.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var reply registry.ExchangeReply
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
