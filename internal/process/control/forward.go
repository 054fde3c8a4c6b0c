package control

import (
	"context"
	"encoding/json"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/replica"
)

// forwardedSuffix marks the methods that one replica calls at the leader on
// behalf of someone else.
const forwardedSuffix = ".forwarded"

type forwardedKey struct{}

// addForwarded adds, for each method, a variant that only replicas may call
// and that is never forwarded again.
func addForwarded(handlers map[string]rpc.Handler, methods ...string) {
	for _, method := range methods {
		inner := handlers[method]
		handlers[method+forwardedSuffix] = func(ctx context.Context, peer mesh.Peer, params json.RawMessage) (any, error) {
			if err := peer.Allow(mesh.Replica); err != nil {
				return nil, err
			}
			return inner(context.WithValue(ctx, forwardedKey{}, true), peer, params)
		}
	}
}

func wasForwarded(ctx context.Context) bool {
	forwarded, _ := ctx.Value(forwardedKey{}).(bool)
	return forwarded
}

// forward sends a call on to the leader of group. The first result is false
// where this replica must serve the call itself: it leads, or the call was
// forwarded to it. Errors: NotLeader where no leader is known or it could not
// be reached, so that the call was not taken; otherwise the leader's error.
func (s *Service) forward(ctx context.Context, group replica.Group, method string, req, reply any) (bool, error) {
	if wasForwarded(ctx) {
		return false, nil
	}
	leader, self := group.Leader()
	if self {
		return false, nil
	}
	if leader == "" {
		return true, fault.New(fault.NotLeader, "the group has no leader now")
	}
	err := s.o.Caller.Call(ctx, leader, method+forwardedSuffix, req, reply)
	switch fault.KindOf(err) {
	case fault.ConnectFailed:
		return true, fault.Wrap(fault.NotLeader, err, "the leader cannot be reached")
	case fault.ConnectionLost:
		return true, fault.Wrap(fault.NoLeader, err, "the leader's answer was lost")
	default:
		return true, err
	}
}
