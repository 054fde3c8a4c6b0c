package control

import (
	"context"
	"encoding/json"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/replica"
)

// forwardedSuffix marks the methods that a replica calls at the leader to forward
// a call it has received.
const forwardedSuffix = ".forwarded"

// forwardedKey is the context key that marks a forwarded call.
type forwardedKey struct{}

// addForwarded adds, for each method, a variant that only replicas may call and
// that is never forwarded again.
func addForwarded(handlers map[string]rpc.Handler, methods ...string) {
	for _, method := range methods {
		inner := handlers[method]
		handlers[method+forwardedSuffix] = func(ctx context.Context, peer mesh.Peer, params json.RawMessage) (any, error) {
			if err := peer.RequireRole(mesh.Replica); err != nil {
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

// forward forwards a call to the leader of group. The first result is false if
// this replica must serve the call itself, because it leads or because the call
// was forwarded to it. Errors: NotLeader if no leader is known or reachable (the
// call was not executed); NoLeader if the connection was lost (the call may have
// been executed); otherwise the leader's error.
func (s *Service) forward(ctx context.Context, group replica.Group, method string, req, reply any) (bool, error) {
	if wasForwarded(ctx) {
		return false, nil
	}
	leader, self := group.Leader()
	if self {
		return false, nil
	}
	if leader == "" {
		return true, fault.New(fault.NotLeader, "the replica group has no known leader")
	}
	err := s.options.Caller.Call(ctx, leader, method+forwardedSuffix, req, reply)
	switch fault.KindOf(err) {
	case fault.ConnectFailed:
		return true, fault.Wrap(fault.NotLeader, err, "could not connect to the leader of the replica group")
	case fault.ConnectionLost:
		return true, fault.Wrap(fault.NoLeader, err, "connection to the leader of the replica group lost before the leader replied")
	default:
		return true, err
	}
}
