package operate

import (
	"context"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Found founds the replica groups with the replica at address as the only member.
// It does not retry: a second founder would create a second system.
func (c *ControlClient) Found(ctx context.Context, address string) (protocol.FoundReply, error) {
	var ticket protocol.TicketReply
	if err := c.caller.Call(ctx, address, protocol.MethodTicket, protocol.Empty{}, &ticket); err != nil {
		return protocol.FoundReply{}, err
	}
	var reply protocol.FoundReply
	err := c.caller.Call(ctx, address, protocol.MethodFound, protocol.FoundRequest(ticket), &reply)
	return reply, err
}

// Admit adds the replica at address to the groups and returns once it is a voter.
func (c *ControlClient) Admit(ctx context.Context, address string) error {
	return c.changeMembers(ctx, protocol.MethodAdmit, func(asOf map[string]uint64) any {
		return protocol.AdmitRequest{Address: address, AsOf: asOf}
	})
}

// Remove removes the replica with this ID from the groups.
func (c *ControlClient) Remove(ctx context.Context, id string) error {
	return c.changeMembers(ctx, protocol.MethodRemove, func(asOf map[string]uint64) any {
		return protocol.RemoveRequest{ID: id, AsOf: asOf}
	})
}

// changeMembers requests a membership change on top of the current members, and again if
// another change was made meanwhile, until ctx ends.
func (c *ControlClient) changeMembers(ctx context.Context, method string, request func(asOf map[string]uint64) any) error {
	for {
		overview, err := c.Status(ctx)
		if err != nil {
			return err
		}
		asOf, err := commitIndexes(overview)
		if err != nil {
			return err
		}
		_, err = c.callAnyWithin(ctx, membershipTimeout, method, request(asOf), &protocol.Empty{})
		if !fault.Is(err, fault.OrderOutdated) || !sleep(ctx, retryInterval) {
			return err
		}
	}
}

// commitIndexes returns the highest commit index that a replica reported of each group. Errors:
// NotFounded.
func commitIndexes(o Overview) (map[string]uint64, error) {
	indexes := make(map[string]uint64)
	for _, replica := range o.Replicas {
		for _, group := range replica.Groups {
			indexes[group.Group] = max(indexes[group.Group], group.Commit)
		}
	}
	for name, index := range indexes {
		if index == 0 {
			return nil, fault.New(fault.NotFounded, "no replica that replied belongs to group %q", name)
		}
	}
	return indexes, nil
}
