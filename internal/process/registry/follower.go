package registry

import "time"

// Follower copies the daemons that renew with one other replica into a registry.
// It is not safe for concurrent use.
type Follower struct {
	registry *Registry
	position ExchangeRequest
	// instances are the daemons that renew with the other replica, sorted, as of
	// position.
	instances []string
}

// NewFollower returns a Follower that has not received a reply yet.
func NewFollower(r *Registry) *Follower {
	return &Follower{registry: r, position: ExchangeRequest{Packed: true}}
}

// Request returns the next request to the other replica.
func (f *Follower) Request() ExchangeRequest { return f.position }

// Apply applies the reply to the last request. If the reply does not match what the
// registry has, it returns false, and the next request asks for everything.
func (f *Follower) Apply(now time.Time, reply ExchangeReply) bool {
	if reply.Epoch != f.position.Epoch || reply.Instances != nil {
		f.instances = reply.Instances
	}
	f.position = ExchangeRequest{Epoch: reply.Epoch, Version: reply.Version, Packed: true}
	if len(reply.Heartbeats) > 0 || len(f.instances) > 0 {
		heartbeats, ok := reply.unpackHeartbeats(f.instances)
		if !ok {
			f.reset()
			return false
		}
		reply.Alive = heartbeats
	}
	if !f.registry.Merge(now, reply) {
		f.reset()
		return false
	}
	return true
}

func (f *Follower) reset() {
	f.position = ExchangeRequest{Packed: true}
	f.instances = nil
}
