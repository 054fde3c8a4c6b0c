package replica

import "github.com/teaselrack/teaselrack/internal/connection/protocol"

// Roles in a status, besides those of the algorithm.
const (
	roleLearner   = "learner"
	roleUnfounded = "unfounded"
)

func (e *engine) status() protocol.ReplicaStatus {
	c := e.core
	s := protocol.ReplicaStatus{
		ID: c.state.ID, Address: e.Address, Group: e.Group, Role: c.describeRole(),
		Leader: c.leaderAddress, Term: c.state.Term, Commit: c.commit, Applied: e.applied,
	}
	for _, m := range c.members() {
		s.Members = append(s.Members, protocol.MemberStatus{
			ID: m.ID, Address: m.Address, Learner: m.Learner, Match: c.matchOf(m.ID),
		})
	}
	return s
}

func (c *core) describeRole() string {
	m, ok := c.members().find(c.state.ID)
	switch {
	case !ok:
		return roleUnfounded
	case m.Learner:
		return roleLearner
	case c.role == preCandidate:
		return string(candidate)
	}
	return string(c.role)
}

// matchOf returns the last entry that a member is known to hold; 0 where this
// replica cannot know.
func (c *core) matchOf(id string) uint64 {
	if id == c.state.ID {
		return c.stable
	}
	if p := c.peers[id]; p != nil {
		return p.match
	}
	return 0
}
