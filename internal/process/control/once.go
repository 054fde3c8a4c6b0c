package control

import (
	"context"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/ledger"
)

// Once commits one command of the once ledger in the group of its shard. Errors:
// BadRequest if the shard does not exist; NotLeader if the command was not
// accepted; NoLeader if it may have been.
func (s *Service) Once(ctx context.Context, _ mesh.Peer, req protocol.OnceCall) (protocol.OnceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if req.Shard < 0 || req.Shard >= len(s.options.Shards) {
		return protocol.OnceReply{}, fault.New(fault.BadRequest, "ledger shard %d does not exist", req.Shard)
	}
	shard := s.options.Shards[req.Shard]
	var reply protocol.OnceReply
	forwarded, err := s.forward(ctx, shard.Group, protocol.MethodOnce, req, &reply)
	if forwarded {
		return reply, err
	}
	command, err := ledger.EncodeCommand(shard.Clock.Now(), req.Request)
	if err != nil {
		return protocol.OnceReply{}, err
	}
	result, err := shard.Group.Propose(ctx, command)
	if err != nil {
		return protocol.OnceReply{}, err
	}
	return ledger.DecodeReply(result)
}
