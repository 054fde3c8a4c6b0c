package control

import (
	"context"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/targetlog"
)

// Depart records that targets of a daemon leave. After it has returned nil, each daemon
// of that instance learns of them before it sends a target anything. It is idempotent.
// Errors: BadRequest; Forbidden as with Renew; NotLeader and NotFounded if nothing was
// recorded; NoLeader if it may or may not have been.
func (s *Service) Depart(ctx context.Context, peer mesh.Peer, req protocol.DepartRequest) (protocol.Empty, error) {
	ctx, cancel := context.WithTimeout(ctx, protocol.DepartTimeout)
	defer cancel()
	if !wasForwarded(ctx) && peer.Name != "" && peer.Name != req.Instance {
		return protocol.Empty{}, fault.New(fault.Forbidden, "the certificate of %q does not permit departures of instance %q", peer.Name, req.Instance)
	}
	departure := targetlog.Departure{Instance: req.Instance, Incarnations: req.Incarnations}
	if err := departure.Check(); err != nil {
		return protocol.Empty{}, err
	}
	if forwarded, err := s.forward(ctx, s.options.Group, protocol.MethodDepart, req, &protocol.Empty{}); forwarded {
		return protocol.Empty{}, err
	}
	return protocol.Empty{}, s.proposeTargets(ctx, targetlog.Command{Departure: &departure})
}

// proposeTargets commits a command of the target log. Leader only. Errors: NotFounded,
// NotLeader, NoLeader.
func (s *Service) proposeTargets(ctx context.Context, c targetlog.Command) error {
	if s.membership != nil {
		if err := s.membership.checkVoterCount(); err != nil {
			return err
		}
	}
	command, err := c.Encode(s.options.TargetClock.Now())
	if err != nil {
		return err
	}
	_, err = s.options.Group.Propose(ctx, append([]byte{targetLogMarker}, command...))
	return err
}
