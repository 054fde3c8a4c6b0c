package control

import (
	"context"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Renew handles one renewal of a daemon. It registers the daemon's targets,
// confirms the version in effect with a quorum, and returns the configuration and
// registry changes that the daemon does not have yet. Without a quorum the reply
// is marked as unconfirmed. Errors: Forbidden if the peer's certificate names
// another instance.
func (s *Service) Renew(ctx context.Context, peer mesh.Peer, req protocol.RenewRequest) (protocol.RenewReply, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if !wasForwarded(ctx) && peer.Name != "" && peer.Name != req.Instance {
		return protocol.RenewReply{}, fault.New(fault.Forbidden, "the certificate of %q does not permit renewals for instance %q", peer.Name, req.Instance)
	}
	if req.QuotaOnly {
		return protocol.RenewReply{Quota: s.grantQuota(ctx, req)}, nil
	}
	now := s.options.Clock()
	s.options.Registry.Renew(now, req)
	s.inbox.Add(now, holderName(req), req)
	reply := protocol.RenewReply{Confirmed: s.renewals.Wait(ctx) == nil}
	if err := s.fillVersion(&reply, req); err != nil {
		return protocol.RenewReply{}, err
	}
	reply.Registry = s.options.Registry.Delta(req.Instance, req.Subscriptions, req.RegistryEpoch, req.RegistryVersion)
	if req.Version == 0 {
		reply.Departed = s.options.Targets.Departed(req.Instance)
	}
	reply.Quota = s.grantQuota(ctx, req)
	reply.Quarantine = s.options.Targets.Quarantine.Update(s.options.TargetClock.Now(), s.options.Registry.Epoch(), holderName(req), req)
	if s.membership != nil {
		reply.Replicas = s.replicaAddresses()
		reply.ReplicaDomains = s.domains.of(reply.Replicas)
	}
	return reply, nil
}

// fillVersion adds the release notes that the daemon does not have yet, or a
// snapshot if they are no longer kept. It must run after the confirmation, so that
// the state is at least as new as the confirmed one.
func (s *Service) fillVersion(reply *protocol.RenewReply, req protocol.RenewRequest) error {
	if req.ContentOnly {
		return s.fillContent(reply, req)
	}
	state := s.options.Machine.State()
	reply.Version = state.Number()
	reply.Digest = state.Digest()
	if req.Version == state.Number() && req.Digest == state.Digest() {
		return nil
	}
	if req.Version > state.Number() {
		return nil
	}
	notes, ok := s.options.Machine.NotesSince(req.Version, req.Digest)
	if ok {
		reply.Notes = notes
		return nil
	}
	snapshot, err := state.Encode()
	reply.Snapshot = snapshot
	return err
}

// fillContent is fillVersion for a daemon that needs the content only. It adds the
// updates that the daemon does not have yet, or the complete content if that is
// shorter.
func (s *Service) fillContent(reply *protocol.RenewReply, req protocol.RenewRequest) error {
	state, content, err := s.options.Machine.Content()
	if err != nil {
		return err
	}
	reply.ContentOnly = true
	reply.Version = state.Number()
	reply.Digest = state.ContentDigest()
	if req.Version > state.Number() || req.Version == state.Number() && req.Digest == reply.Digest {
		return nil
	}
	updates, ok := s.options.Machine.UpdatesSince(req.Version, req.Digest, len(content))
	if ok && len(updates) > 0 && s.options.Machine.State() == state {
		reply.Updates = updates
		return nil
	}
	reply.Content = content
	return nil
}

// grantQuota handles the token requests of a renewal. Where no issuer handles one,
// there is no grant, unless this replica has a Substitute.
func (s *Service) grantQuota(ctx context.Context, req protocol.RenewRequest) []protocol.QuotaGrant {
	if len(req.Quota) == 0 {
		return nil
	}
	if s.options.Substitute == nil || wasForwarded(ctx) {
		return s.requestGrants(ctx, req)
	}
	var grants []protocol.QuotaGrant
	began := s.options.Clock()
	if timeout, ok := s.leader.mayCall(began); ok {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		grants = s.requestGrants(ctx, req)
		now := s.options.Clock()
		s.leader.record(now, now.Sub(began), grants != nil)
	}
	return s.options.Substitute.Complete(s.options.Clock(), holderName(req), req.Quota, grants, s.fairRate)
}

// requestGrants requests tokens from the issuer. Only the leader grants tokens, so
// other replicas forward the requests to it; the result is nil if that fails.
func (s *Service) requestGrants(ctx context.Context, req protocol.RenewRequest) []protocol.QuotaGrant {
	request := protocol.RenewRequest{Instance: req.Instance, Session: req.Session, Quota: req.Quota, QuotaOnly: true}
	var reply protocol.RenewReply
	forwarded, err := s.forward(ctx, s.options.Group, protocol.MethodRenew, request, &reply)
	if forwarded {
		if err != nil {
			return nil
		}
		return reply.Quota
	}
	return s.tokens.grant(ctx, holderName(req), req.Quota)
}

// holderName returns the name of a daemon from its start to its end.
func holderName(req protocol.RenewRequest) string { return req.Instance + "/" + req.Session }

// fairRate returns this replica's equal share of a team's rate, per second.
func (s *Service) fairRate(name string) float64 {
	team, _ := s.options.Machine.State().Team(name)
	return team.Rate / float64(max(len(s.options.Group.Status().Members), 1))
}
