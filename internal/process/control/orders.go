package control

import (
	"context"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// leaderPause is the wait before an order is offered again that found no
// leader: a fraction of an election.
const leaderPause = 50 * time.Millisecond

// Order commits an order. Sending the same one again is answered as before.
// Errors: NoteInvalid, RevisionConflict, NotFounded, NotLeader; NoLeader where
// the order may or may not have been accepted.
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
		reply, err := s.orderOnce(ctx, peer, req)
		if !fault.Is(err, fault.NotLeader) || wasForwarded(ctx) {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return reply, err
		case <-time.After(leaderPause):
		}
	}
}

func checkOrder(note *version.Note) error {
	if note.Order == nil || note.Number != 0 {
		return fault.New(fault.NoteInvalid, "an order carries no number of its own")
	}
	if note.Order.Whole != nil {
		return note.Order.Whole.Check()
	}
	return nil
}

func (s *Service) orderOnce(ctx context.Context, peer mesh.Peer, req protocol.OrderRequest) (protocol.ApplyReply, error) {
	var reply protocol.ApplyReply
	forwarded, err := s.forward(ctx, s.o.Group, protocol.MethodOrder, req, &reply)
	if forwarded {
		return reply, err
	}
	if s.keeper != nil {
		if err := s.keeper.survivesLosses(); err != nil {
			return protocol.ApplyReply{}, err
		}
	}
	result, err := s.o.Group.Propose(ctx, req.Order)
	if err != nil {
		return protocol.ApplyReply{}, err
	}
	return s.answer(peer, result)
}

// Confirmed returns the state in force at some moment after the call. Errors:
// NoLeader, NotFounded.
func (s *Service) Confirmed(ctx context.Context) (*version.State, error) {
	return s.confirmedState(ctx)
}
