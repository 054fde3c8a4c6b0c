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
	// syncInterval is the time between two exchanges with one replica.
	syncInterval = 250 * time.Millisecond
	// syncTimeout bounds one exchange.
	syncTimeout = 700 * time.Millisecond
)

// Sync answers another replica with the daemons that renew here.
func (s *Service) Sync(_ context.Context, _ mesh.Peer, req registry.ExchangeRequest) (registry.ExchangeReply, error) {
	return s.o.Registry.Changes(s.o.Clock(), req), nil
}

// RunSync learns of the daemons that renew with the other replicas, and drops
// those that no longer renew, until ctx ends.
func (s *Service) RunSync(ctx context.Context) {
	var wg sync.WaitGroup
	running := make(map[string]context.CancelFunc)
	every(ctx, syncInterval, func() {
		s.o.Registry.Expire(s.o.Clock())
		s.follow(ctx, &wg, running)
	})
	wg.Wait()
}

// follow begins to exchange with replicas that are new, and ends it with those
// that are gone.
func (s *Service) follow(ctx context.Context, wg *sync.WaitGroup, running map[string]context.CancelFunc) {
	others := s.others()
	for address, stop := range running {
		if !slices.Contains(others, address) {
			stop()
			delete(running, address)
		}
	}
	for _, address := range others {
		if running[address] != nil {
			continue
		}
		exchanging, stop := context.WithCancel(ctx)
		running[address] = stop
		wg.Go(func() { s.syncWith(exchanging, address) })
	}
}

func (s *Service) syncWith(ctx context.Context, address string) {
	var position registry.ExchangeRequest
	every(ctx, syncInterval, func() {
		reply, err := s.exchange(ctx, address, position)
		if err != nil {
			return
		}
		position = registry.ExchangeRequest{Epoch: reply.Epoch, Version: reply.Version}
		if !s.o.Registry.Merge(s.o.Clock(), reply) {
			position = registry.ExchangeRequest{}
		}
	})
}

func (s *Service) exchange(ctx context.Context, address string, position registry.ExchangeRequest) (registry.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var reply registry.ExchangeReply
	err := s.o.Caller.Call(ctx, address, protocol.MethodSync, position, &reply)
	return reply, err
}

// every calls f at once and then after each interval, until ctx ends.
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
