package control

import (
	"context"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/replica"
)

// groups returns every replica group of this replica: the configuration group
// and the ledger shards.
func (s *Service) groups() []replica.Group {
	groups := []replica.Group{s.options.Group}
	for _, shard := range s.options.Shards {
		groups = append(groups, shard.Group)
	}
	return groups
}

// Admit adds the replica at an address to every group, or to the group that the
// request names. It is idempotent. The request says up to which index its sender knows the
// members: this replica cannot tell how long ago it was sent. Errors: BadRequest, NotLeader,
// MembershipBusy, OrderOutdated, NoLeader, NotFounded; the groups before the one that
// failed have admitted the replica.
func (s *Service) Admit(ctx context.Context, peer mesh.Peer, req protocol.AdmitRequest) (protocol.Empty, error) {
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	for _, group := range s.selectGroups(req.Group) {
		name := group.Status().Group
		asOf, err := indexOf(req.AsOf, name)
		if err != nil {
			return protocol.Empty{}, err
		}
		single := protocol.AdmitRequest{Address: req.Address, Group: name, AsOf: req.AsOf}
		forwarded, err := s.forward(ctx, group, protocol.MethodAdmit, single, &protocol.Empty{})
		if !forwarded {
			err = group.Admit(ctx, req.Address, asOf)
		}
		if err != nil {
			return protocol.Empty{}, err
		}
	}
	s.record("member.admitted", "%s by %s", req.Address, peer.Name)
	return protocol.Empty{}, nil
}

// Remove removes a replica from every group, or from the group that the request
// names. It is idempotent. The request names indexes as one of Admit does. Errors:
// BadRequest, NotLeader, MembershipBusy, OrderOutdated, NoLeader, NotFounded; the groups
// before the one that failed have removed the replica.
func (s *Service) Remove(ctx context.Context, peer mesh.Peer, req protocol.RemoveRequest) (protocol.Empty, error) {
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	for _, group := range s.selectGroups(req.Group) {
		name := group.Status().Group
		asOf, err := indexOf(req.AsOf, name)
		if err != nil {
			return protocol.Empty{}, err
		}
		single := protocol.RemoveRequest{ID: req.ID, Group: name, AsOf: req.AsOf}
		forwarded, err := s.forward(ctx, group, protocol.MethodRemove, single, &protocol.Empty{})
		if !forwarded {
			err = removeMember(ctx, group, req.ID, asOf)
		}
		if err != nil {
			return protocol.Empty{}, err
		}
	}
	s.record("member.removed", "%s by %s", req.ID, peer.Name)
	return protocol.Empty{}, nil
}

// indexOf returns the index up to which the sender of a request knows the members of one
// group. Errors: BadRequest if the request does not say.
func indexOf(asOf map[string]uint64, group string) (uint64, error) {
	index := asOf[group]
	if index == 0 {
		return 0, fault.New(fault.BadRequest, "the request must name the index up to which its sender knows the members of group %q", group)
	}
	return index, nil
}

// removeMember removes each member whose ID or address is idOrAddress. It
// succeeds if there is no such member: the member was removed before.
func removeMember(ctx context.Context, group replica.Group, idOrAddress string, asOf uint64) error {
	var ids []string
	for _, member := range group.Status().Members {
		if member.ID == idOrAddress || member.Address == idOrAddress {
			ids = append(ids, member.ID)
		}
	}
	if len(ids) == 0 {
		ids = []string{idOrAddress}
	}
	for _, id := range ids {
		if err := group.Remove(ctx, id, asOf); err != nil {
			return err
		}
		// The next removal builds on this one.
		asOf = 0
	}
	return nil
}

// selectGroups returns the group called name, or every group if name is empty. It
// returns none if there is no group called name.
func (s *Service) selectGroups(name string) []replica.Group {
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

// Receive handles messages from other members of the replica groups. It skips messages
// that cannot be decoded, and logs one of them at most once per skipLogInterval.
func (s *Service) Receive(_ context.Context, _ mesh.Peer, req protocol.ReplicaMessages) (protocol.Empty, error) {
	skipped := 0
	var reason error
	for _, encoded := range req.Messages {
		message, err := replica.DecodeMessage(encoded)
		if err != nil {
			skipped, reason = skipped+1, err
			continue
		}
		s.options.Receive(message)
	}
	if skipped > 0 {
		s.skips.log(s.options.Clock(), s.options.Log, skipped, reason)
	}
	return protocol.Empty{}, nil
}
