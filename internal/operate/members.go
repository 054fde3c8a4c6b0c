package operate

import (
	"context"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// Found founds the replica groups with the replica at address as the only
// member. It is sent once: a second founder would be a second system.
func (c *Control) Found(ctx context.Context, address string) (protocol.FoundReply, error) {
	var reply protocol.FoundReply
	err := c.caller.Call(ctx, address, protocol.MethodFound, protocol.FoundRequest{}, &reply)
	return reply, err
}

// Admit adds the replica at address and returns once it votes.
func (c *Control) Admit(ctx context.Context, address string) error {
	_, err := c.askWithin(ctx, membershipTimeout, protocol.MethodAdmit, protocol.AdmitRequest{Address: address}, &protocol.Empty{})
	return err
}

// Remove takes the replica with this id out of the groups.
func (c *Control) Remove(ctx context.Context, id string) error {
	_, err := c.askWithin(ctx, membershipTimeout, protocol.MethodRemove, protocol.RemoveRequest{ID: id}, &protocol.Empty{})
	return err
}
