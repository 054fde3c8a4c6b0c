package control

import (
	"context"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Renew serves one renewal of a daemon: it takes in the daemon's targets,
// confirms the version in force with a quorum, and answers with what the
// daemon lacks. A renewal without a quorum is answered too, unconfirmed.
func (s *Service) Renew(ctx context.Context, peer mesh.Peer, req protocol.RenewRequest) (protocol.RenewReply, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if !wasForwarded(ctx) && peer.Name != "" && peer.Name != req.Instance {
		return protocol.RenewReply{}, fault.New(fault.Forbidden, "the certificate of %q cannot renew for %q", peer.Name, req.Instance)
	}
	if req.QuotaOnly {
		return protocol.RenewReply{Quota: s.quota(ctx, req)}, nil
	}
	s.o.Registry.Renew(s.o.Clock(), req)
	reply := protocol.RenewReply{Confirmed: s.o.Group.Confirm(ctx) == nil}
	if err := s.fillVersion(&reply, req); err != nil {
		return protocol.RenewReply{}, err
	}
	reply.Registry = s.o.Registry.Delta(req.Instance, req.Subscriptions, req.RegistryEpoch, req.RegistryVersion)
	reply.Quota = s.quota(ctx, req)
	if s.keeper != nil {
		reply.Replicas = s.addresses()
	}
	return reply, nil
}

// fillVersion adds the notes or the snapshot that the daemon lacks. It reads
// the state after the confirmation, so the state is at least as new.
func (s *Service) fillVersion(reply *protocol.RenewReply, req protocol.RenewRequest) error {
	state := s.o.Machine.State()
	reply.Version = state.Number()
	reply.Digest = state.Digest()
	if req.Version == state.Number() && req.Digest == state.Digest() {
		return nil
	}
	if req.Version > state.Number() {
		return nil
	}
	notes, ok := s.o.Machine.Since(req.Version, req.Digest)
	if ok {
		reply.Notes = notes
		return nil
	}
	snapshot, err := state.Encode()
	reply.Snapshot = snapshot
	return err
}

// quota answers the asks of a renewal, at the leader.
func (s *Service) quota(ctx context.Context, req protocol.RenewRequest) []protocol.QuotaGrant {
	if len(req.Quota) == 0 {
		return nil
	}
	ask := protocol.RenewRequest{Instance: req.Instance, Session: req.Session, Quota: req.Quota, QuotaOnly: true}
	var reply protocol.RenewReply
	forwarded, err := s.forward(ctx, s.o.Group, protocol.MethodRenew, ask, &reply)
	if forwarded {
		if err != nil {
			return nil
		}
		return reply.Quota
	}
	return s.tokens.grant(ctx, req.Instance+"/"+req.Session, req.Quota)
}
