package operate

import (
	"context"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
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
	_, err := c.callAnyWithin(ctx, membershipTimeout, protocol.MethodAdmit, protocol.AdmitRequest{Address: address}, &protocol.Empty{})
	return err
}

// Remove removes the replica with this ID from the groups.
func (c *ControlClient) Remove(ctx context.Context, id string) error {
	_, err := c.callAnyWithin(ctx, membershipTimeout, protocol.MethodRemove, protocol.RemoveRequest{ID: id}, &protocol.Empty{})
	return err
}
