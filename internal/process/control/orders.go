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
// returns once the daemons in contact act on the order; see awaitEffect. An order about a
// failure domain has to name the generation that its sender got from Domain: this replica
// cannot tell how long ago an order was sent. Errors: NoteInvalid, RevisionConflict;
// NotFounded, NotLeader and OrderOutdated if the order was not accepted; NoLeader if it may
// or may not have been accepted; NotInEffect if it was, but may not be in effect
// everywhere.
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
// number, contains a full configuration that is invalid in itself, or is about a failure
// domain and names no generation.
func checkOrder(note *version.Note) error {
	if note.Order == nil || note.Number != 0 {
		return fault.New(fault.NoteInvalid, "an order must contain an operation and no note number")
	}
	if note.Order.Configuration != nil {
		return note.Order.Configuration.Validate()
	}
	if note.Order.Domain != nil && note.Order.IfGeneration == nil {
		return fault.New(fault.NoteInvalid, "an order about failure domain %q must name the generation that it builds on", note.Order.Domain.Name)
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

// Domain returns the state of a failure domain, including everything that was committed
// before the call. Errors: NoLeader, NotFounded.
func (s *Service) Domain(ctx context.Context, _ mesh.Peer, req protocol.DomainRequest) (protocol.DomainReply, error) {
	if _, err := s.confirmedState(ctx); err != nil {
		return protocol.DomainReply{}, err
	}
	inService, generation := s.options.Machine.Domain(req.Name)
	return protocol.DomainReply{InService: inService, Generation: generation}, nil
}

// Confirmed returns the state in effect. The state includes everything that was
// committed before the call. Errors: NoLeader, NotFounded.
func (s *Service) Confirmed(ctx context.Context) (*version.State, error) {
	return s.confirmedState(ctx)
}
