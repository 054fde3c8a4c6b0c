package control

import (
	"context"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// leaderRetryDelay is the delay before an order that failed because there was no
// leader is repeated: a fraction of the time that an election takes.
const leaderRetryDelay = 50 * time.Millisecond

// Order commits an order: a note whose number the group assigns. It is idempotent. It
// returns once the daemons in contact act on the order; see awaitEffect. Errors:
// NoteInvalid, RevisionConflict; NotFounded and NotLeader if the order was not accepted;
// NoLeader if it may or may not have been accepted; NotInEffect if it was, but may not be
// in effect everywhere.
func (s *Service) Order(ctx context.Context, peer mesh.Peer, req protocol.OrderRequest) (protocol.ApplyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	note, err := version.DecodeNote(req.Order)
	if err != nil {
		return protocol.ApplyReply{}, err
	}
	if err := checkOrder(note); err != nil {
		return protocol.ApplyReply{}, err
	}
	for {
		reply, err := s.tryOrder(ctx, peer, req)
		if !fault.Is(err, fault.NotLeader) || wasForwarded(ctx) {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return reply, err
		case <-time.After(leaderRetryDelay):
		}
	}
}

// checkOrder returns a NoteInvalid error if note is not an order, already has a
// number, or contains a full configuration that is invalid in itself.
func checkOrder(note *version.Note) error {
	if note.Order == nil || note.Number != 0 {
		return fault.New(fault.NoteInvalid, "an order must contain an operation and no note number")
	}
	if note.Order.Configuration != nil {
		return note.Order.Configuration.Validate()
	}
	return nil
}

// tryOrder commits an order at the current leader, without retries.
func (s *Service) tryOrder(ctx context.Context, peer mesh.Peer, req protocol.OrderRequest) (protocol.ApplyReply, error) {
	var reply protocol.ApplyReply
	forwarded, err := s.forward(ctx, s.options.Group, protocol.MethodOrder, req, &reply)
	if forwarded {
		return reply, err
	}
	if s.membership != nil {
		if err := s.membership.checkVoterCount(); err != nil {
			return protocol.ApplyReply{}, err
		}
	}
	result, err := s.options.Group.Propose(ctx, req.Order)
	if err != nil {
		return protocol.ApplyReply{}, err
	}
	reply, err = s.applyReply(peer, result)
	if err != nil {
		return protocol.ApplyReply{}, err
	}
	if err := s.awaitEffect(ctx, reply.Number); err != nil {
		return protocol.ApplyReply{}, err
	}
	return reply, nil
}

// Confirmed returns the state in effect. The state includes everything that was
// committed before the call. Errors: NoLeader, NotFounded.
func (s *Service) Confirmed(ctx context.Context) (*version.State, error) {
	return s.confirmedState(ctx)
}
