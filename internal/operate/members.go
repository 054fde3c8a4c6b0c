package operate

import (
	"context"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Found founds the replica groups with the replica at address as the only member.
// It does not retry: a second founder would create a second system.
func (c *ControlClient) Found(ctx context.Context, address string) (protocol.FoundReply, error) {
	var reply protocol.FoundReply
	err := c.caller.Call(ctx, address, protocol.MethodFound, protocol.FoundRequest{}, &reply)
	return reply, err
}

// Admit adds the replica at address to the groups and returns once it is a voter.
func (c *ControlClient) Admit(ctx context.Context, address string) error {
	return c.changeMembers(ctx, protocol.MethodAdmit, func(ifMembership map[string]uint64) any {
		return protocol.AdmitRequest{Address: address, IfMembership: ifMembership}
	})
}

// Remove removes the replica with this ID from the groups.
func (c *ControlClient) Remove(ctx context.Context, id string) error {
	return c.changeMembers(ctx, protocol.MethodRemove, func(ifMembership map[string]uint64) any {
		return protocol.RemoveRequest{ID: id, IfMembership: ifMembership}
	})
}

// changeMembers requests a membership change on top of the current memberships, and again if
// another change was made meanwhile, until ctx ends.
func (c *ControlClient) changeMembers(ctx context.Context, method string, request func(ifMembership map[string]uint64) any) error {
	for {
		overview, err := c.Status(ctx)
		if err != nil {
			return err
		}
		ifMembership, err := memberships(overview)
		if err != nil {
			return err
		}
		_, err = c.callAnyWithin(ctx, membershipTimeout, method, request(ifMembership), &protocol.Empty{})
		if !fault.Is(err, fault.OrderOutdated) || !sleep(ctx, retryInterval) {
			return err
		}
	}
}

// memberships returns the index of the membership of each group, as its leader tells it; the
// highest one if no leader replied. Errors: NotFounded.
func memberships(o Overview) (map[string]uint64, error) {
	indexes, leaderTerms := make(map[string]uint64), make(map[string]uint64)
	for _, replica := range o.Replicas {
		for _, group := range replica.Groups {
			leads := group.Role == protocol.RoleLeader
			switch {
			case leads && group.Term > leaderTerms[group.Group]:
				leaderTerms[group.Group] = group.Term
				indexes[group.Group] = group.MembershipIndex
			case leaderTerms[group.Group] == 0:
				indexes[group.Group] = max(indexes[group.Group], group.MembershipIndex)
			}
		}
	}
	for name, index := range indexes {
		if index == 0 {
			return nil, fault.New(fault.NotFounded, "no replica that replied belongs to group %q", name)
		}
	}
	return indexes, nil
}
