package control

import (
	"context"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/replica"
)

// groups returns every replica group of this replica.
func (s *Service) groups() []replica.Group {
	groups := []replica.Group{s.o.Group}
	for _, shard := range s.o.Shards {
		groups = append(groups, shard.Group)
	}
	return groups
}

// Found makes this replica the only member of every group. Errors:
// AlreadyFounded.
func (s *Service) Found(ctx context.Context, peer mesh.Peer, _ protocol.FoundRequest) (protocol.FoundReply, error) {
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	for _, group := range s.groups() {
		if err := group.Found(ctx); err != nil {
			return protocol.FoundReply{}, err
		}
	}
	s.record("group.founded", "by %s", peer.Name)
	return protocol.FoundReply{ID: s.o.Group.Status().ID}, nil
}

// Admit adds the replica at an address to every group, or to the group that
// the request names. Sending it again is answered as before.
func (s *Service) Admit(ctx context.Context, peer mesh.Peer, req protocol.AdmitRequest) (protocol.Empty, error) {
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	for _, group := range s.selected(req.Group) {
		one := protocol.AdmitRequest{Address: req.Address, Group: group.Status().Group}
		forwarded, err := s.forward(ctx, group, protocol.MethodAdmit, one, &protocol.Empty{})
		if !forwarded {
			err = group.Admit(ctx, req.Address)
		}
		if err != nil {
			return protocol.Empty{}, err
		}
	}
	s.record("member.admitted", "%s by %s", req.Address, peer.Name)
	return protocol.Empty{}, nil
}

// Remove takes a replica out of every group, or out of the group that the
// request names.
func (s *Service) Remove(ctx context.Context, peer mesh.Peer, req protocol.RemoveRequest) (protocol.Empty, error) {
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	for _, group := range s.selected(req.Group) {
		one := protocol.RemoveRequest{ID: req.ID, Group: group.Status().Group}
		forwarded, err := s.forward(ctx, group, protocol.MethodRemove, one, &protocol.Empty{})
		if !forwarded {
			err = removeMember(ctx, group, req.ID)
		}
		if err != nil {
			return protocol.Empty{}, err
		}
	}
	s.record("member.removed", "%s by %s", req.ID, peer.Name)
	return protocol.Empty{}, nil
}

// removeMember removes each member whose id or address is name. A name that
// is no member is taken as removed before.
func removeMember(ctx context.Context, group replica.Group, name string) error {
	for _, member := range group.Status().Members {
		if member.ID != name && member.Address != name {
			continue
		}
		if err := group.Remove(ctx, member.ID); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) selected(name string) []replica.Group {
	if name == "" {
		return s.groups()
	}
	for _, group := range s.groups() {
		if group.Status().Group == name {
			return []replica.Group{group}
		}
	}
	return nil
}

// Receive takes in messages from members of the replica groups.
func (s *Service) Receive(_ context.Context, _ mesh.Peer, req protocol.ReplicaMessages) (protocol.Empty, error) {
	for _, encoded := range req.Messages {
		message, err := replica.DecodeMessage(encoded)
		if err != nil {
			return protocol.Empty{}, fault.Wrap(fault.BadRequest, err, "a replica message cannot be read")
		}
		s.o.Receive(message)
	}
	return protocol.Empty{}, nil
}
