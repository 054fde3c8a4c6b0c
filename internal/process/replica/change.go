package replica

import (
	"maps"
	"slices"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// membershipChange is the membership change that a leader carries out; there is
// at most one at a time. It consists of steps. Each step is one log entry that
// adds, promotes or removes one member.
type membershipChange struct {
	// address is set for an admission. id is set for a removal, and for an
	// admission once the replica at address has reported its ID.
	address, id string
	remove      bool
	// asOf, unless it is 0, is the index up to which the caller knows the members.
	asOf uint64
	// token identifies the probes of this change. A late reply to a probe of an
	// earlier change must not match: its sender may have lost its data since
	// and have a new ID.
	token uint64
}

func errLeadershipLost() error {
	return fault.New(fault.NoLeader, "this replica lost its leadership before the result was known")
}

// foundGroup makes this replica the only voter of a new group. Errors:
// AlreadyFounded.
func (c *core) foundGroup() error {
	if c.state.Cluster != 0 || c.tail.lastIndex() > 0 {
		return fault.New(fault.AlreadyFounded, "this replica already belongs to a group")
	}
	members := membership{{ID: c.state.ID, Address: c.address}}
	data, err := members.encode()
	if err != nil {
		return err
	}
	c.state.Cluster = c.rng.Uint64() | 1 // never 0, which means no group
	c.state.Term = 1
	c.out.state = true
	c.appendEntry(storage.Entry{Index: 1, Term: 1, Kind: kindMembers, Data: data})
	c.campaign(preCandidate)
	return nil
}

// beginChange starts a membership change. takeChangeResults returns its result.
// Errors: NotLeader, MembershipBusy, OrderOutdated.
func (c *core) beginChange(change membershipChange) error {
	if c.role != leader {
		return fault.New(fault.NotLeader, "this replica is not the leader")
	}
	if c.change != nil {
		return fault.New(fault.MembershipBusy, "another membership change is in progress")
	}
	latest := c.tail.latestMembership().index
	outdated := change.asOf != 0 && latest > change.asOf
	if outdated && !c.alreadyMade(change) {
		return fault.New(fault.OrderOutdated, "the change builds on the members as of index %d, they were changed at index %d", change.asOf, latest)
	}
	if !outdated && change.remove && !c.hasQuorumWithout(change.id) {
		return fault.New(fault.MembershipBusy, "removing member %s would leave the group without a quorum", change.id)
	}
	c.change = &change
	c.change.token = c.rng.Uint64()
	if outdated {
		c.finishChange(nil)
		return nil
	}
	if change.asOf != 0 {
		// Voids what was requested before this change, also if this one changes nothing.
		c.setMembers(c.members())
	}
	c.probeAddress()
	c.advanceChange()
	return nil
}

// alreadyMade reports whether the members are committed and as the change would leave them.
// That the voter at an address has lost its data since does not count.
func (c *core) alreadyMade(change membershipChange) bool {
	if !c.committedInTerm() || c.tail.latestMembership().index > c.commit {
		return false
	}
	if change.remove {
		_, ok := c.members().find(change.id)
		return !ok
	}
	return slices.ContainsFunc(c.members(), func(m member) bool { return m.Address == change.address && !m.Learner })
}

// hasQuorumWithout reports whether a majority of the voters other than the
// member id is alive, see isAlive.
func (c *core) hasQuorumWithout(id string) bool {
	rest := c.members().without(id)
	return rest.quorum(func(id string) bool { return c.isAlive(id) })
}

func (c *core) finishChange(err error) {
	if c.change == nil {
		return
	}
	c.change = nil
	c.changeResults = append(c.changeResults, err)
}

// probeAddress requests the ID of the replica that is being admitted.
func (c *core) probeAddress() {
	if c.change == nil || c.change.remove || c.change.id != "" {
		return
	}
	if c.change.address == c.address {
		c.change.id = c.state.ID
		return
	}
	c.send(c.change.address, "", Message{Type: Probe, Token: c.change.token})
}

func (c *core) onProbe(m Message) {
	c.send(m.Address, m.From, Message{Type: ProbeReply, Token: m.Token})
}

func (c *core) onProbeReply(m Message) {
	if c.change == nil || c.change.remove || c.change.id != "" || c.change.token != m.Token {
		return
	}
	c.change.id = m.From
	c.advanceChange()
}

// advanceChange makes the next step of the membership change in progress, once
// the previous step and an entry of the current term are committed. A leader
// that is no longer a voter steps down.
func (c *core) advanceChange() {
	if c.role != leader || !c.committedInTerm() || c.tail.latestMembership().index > c.commit {
		return
	}
	if !c.members().isVoter(c.state.ID) {
		c.stepDownRemoved()
		return
	}
	switch {
	case c.change == nil:
	case c.change.remove:
		c.advanceRemoval()
	case c.change.id != "":
		c.advanceAdmission()
	}
}

// stepDownRemoved ends the leadership of a replica that is no longer a voter.
func (c *core) stepDownRemoved() {
	if c.change != nil && c.change.id == c.state.ID {
		c.finishChange(nil)
	}
	c.becomeFollower(c.state.Term, "", "")
}

func (c *core) advanceRemoval() {
	if _, ok := c.members().find(c.change.id); !ok {
		c.finishChange(nil)
		return
	}
	c.setMembers(c.members().without(c.change.id))
}

// advanceAdmission adds the replica as a learner, promotes it to a voter once
// it holds all committed entries, and then removes the member that had its
// address before.
func (c *core) advanceAdmission() {
	m, ok := c.members().find(c.change.id)
	if !ok {
		c.setMembers(c.members().with(member{ID: c.change.id, Address: c.change.address, Learner: true}))
		return
	}
	if m.Learner {
		if p := c.peers[m.ID]; p != nil && p.match >= c.commit {
			c.setMembers(c.members().with(member{ID: m.ID, Address: m.Address}))
		}
		return
	}
	if old, ok := c.members().findSameAddress(m); ok {
		if !c.hasQuorumWithout(old.ID) {
			return
		}
		c.setMembers(c.members().without(old.ID))
		return
	}
	c.finishChange(nil)
}

// setMembers appends the entry with a new membership, which takes effect at
// once. The new membership must differ from the current one in one member at most.
func (c *core) setMembers(members membership) {
	data, err := members.encode()
	if err != nil {
		c.finishChange(err)
		return
	}
	maps.DeleteFunc(c.peers, func(id string, _ *progress) bool {
		_, stays := members.find(id)
		return !stays
	})
	for _, m := range members {
		c.trackProgress(m.ID)
	}
	c.appendEntry(storage.Entry{Index: c.tail.lastIndex() + 1, Term: c.state.Term, Kind: kindMembers, Data: data})
	c.broadcast(false)
}
