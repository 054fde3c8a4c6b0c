package control

import (
	"context"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/version"
)

// Apply commits a release note. It is idempotent: the same note sent again gets
// the same reply, marked as repeated. Errors: NoteInvalid, NoteGap, NoteConflict;
// NotLeader if the note was not accepted; NoLeader if it may or may not have been
// accepted.
func (s *Service) Apply(ctx context.Context, peer mesh.Peer, req protocol.ApplyRequest) (protocol.ApplyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	note, err := version.ParseNote(req.Note)
	if err != nil {
		return protocol.ApplyReply{}, err
	}
	command, err := note.Encode()
	if err != nil {
		return protocol.ApplyReply{}, err
	}
	var reply protocol.ApplyReply
	forwarded, err := s.forward(ctx, s.options.Group, protocol.MethodApply, req, &reply)
	if forwarded {
		return reply, err
	}
	result, err := s.options.Group.Propose(ctx, command)
	if err != nil {
		return protocol.ApplyReply{}, err
	}
	return s.applyReply(peer, result)
}

// applyReply decodes the result of a proposed note or order. It returns a
// rejection as an error, and records an event for an accepted one.
func (s *Service) applyReply(peer mesh.Peer, encoded []byte) (protocol.ApplyReply, error) {
	result, err := configuration.DecodeResult(encoded)
	if err != nil {
		return protocol.ApplyReply{}, err
	}
	if result.Kind != "" {
		return protocol.ApplyReply{}, fault.New(result.Kind, "%s", result.Message)
	}
	s.record("note.accepted", "number %d digest %s by %s", result.Number, result.Digest, peer.Name)
	return protocol.ApplyReply{Number: result.Number, Digest: result.Digest, Repeated: result.Repeated}, nil
}

// Plan returns the changes that a note would make to the state in effect, without
// applying it. Errors: NoteInvalid, NoteGap, NoteConflict, NoLeader, NotFounded.
func (s *Service) Plan(ctx context.Context, _ mesh.Peer, req protocol.ApplyRequest) (protocol.PlanReply, error) {
	note, err := version.ParseNote(req.Note)
	if err != nil {
		return protocol.PlanReply{}, err
	}
	before, err := s.confirmedState(ctx)
	if err != nil {
		return protocol.PlanReply{}, err
	}
	after, err := before.Apply(note)
	if err != nil {
		return protocol.PlanReply{}, err
	}
	return protocol.PlanReply{Number: after.Number(), Changes: version.Diff(before, after)}, nil
}

// Export returns the state in effect as one release note. Errors: NoLeader,
// NotFounded.
func (s *Service) Export(ctx context.Context, _ mesh.Peer, _ protocol.Empty) (protocol.ExportReply, error) {
	state, err := s.confirmedState(ctx)
	if err != nil {
		return protocol.ExportReply{}, err
	}
	note, err := version.Export(state)
	if err != nil {
		return protocol.ExportReply{}, err
	}
	return protocol.ExportReply{Number: state.Number(), Digest: state.Digest(), Note: note}, nil
}

// confirmedState is a linearizable read: it waits until this replica has applied
// everything that was committed before the call, and returns the state. Errors:
// NoLeader, NotFounded.
func (s *Service) confirmedState(ctx context.Context) (*version.State, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := s.options.Group.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	return s.options.Machine.State(), nil
}
