package replica

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// Roles in a status that are not roles of the consensus algorithm.
const (
	RoleLearner   = "learner"
	RoleUnfounded = "unfounded"
)

func (e *engine) status() protocol.ReplicaStatus {
	c := e.core
	s := protocol.ReplicaStatus{
		ID: c.state.ID, Address: e.Address, Group: e.Group, Role: c.describeRole(),
		Leader: c.leaderAddress, Term: c.state.Term, Commit: c.commit, Applied: e.applied,
	}
	for _, m := range c.members() {
		s.Members = append(s.Members, protocol.MemberStatus{
			ID: m.ID, Address: m.Address, Learner: m.Learner, Match: c.matchOf(m.ID), Silent: c.silentFor(m.ID),
		})
	}
	return s
}

func (c *core) describeRole() string {
	m, ok := c.members().find(c.state.ID)
	switch {
	case !ok:
		return RoleUnfounded
	case m.Learner:
		return RoleLearner
	case c.role == preCandidate:
		return string(candidate)
	}
	return string(c.role)
}

// silentFor returns the time since the last reply of a member; 0 if this
// replica is not the leader.
func (c *core) silentFor(id string) time.Duration {
	if p := c.peers[id]; p != nil {
		return c.now - p.lastReply
	}
	return 0
}

// matchOf returns the index of the last entry that a member is known to hold
// durably; 0 if this replica does not know.
func (c *core) matchOf(id string) uint64 {
	if id == c.state.ID {
		return c.stable
	}
	if p := c.peers[id]; p != nil {
		return p.match
	}
	return 0
}
