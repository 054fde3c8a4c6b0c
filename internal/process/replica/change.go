package replica

import (
	"maps"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// change is the one membership change that a leader works on. It goes through
// steps, each of which is one entry that adds, promotes or removes one member.
type change struct {
	// address is set for an admission, id for a removal and, once the replica
	// at address has told it, for an admission too.
	address, id string
	remove      bool
	// token marks the probes of this change: a late answer to an earlier one may
	// come from a replica that has lost its data since.
	token uint64
}

func errLeadershipLost() error {
	return fault.New(fault.NoLeader, "the leadership was lost")
}

// found makes this replica the only voter of a new group.
func (c *core) found() error {
	if c.state.Cluster != 0 || c.tail.lastIndex() > 0 {
		return fault.New(fault.AlreadyFounded, "this replica belongs to a group")
	}
	members := membership{{ID: c.state.ID, Address: c.address}}
	data, err := members.encode()
	if err != nil {
		return err
	}
	c.state.Cluster = c.rng.Uint64() | 1
	c.state.Term = 1
	c.out.state = true
	c.push(storage.Entry{Index: 1, Term: 1, Kind: kindMembers, Data: data})
	c.campaign(preCandidate)
	return nil
}

// beginChange starts a change; its end comes with takeEnded. Errors:
// NotLeader, MembershipBusy.
func (c *core) beginChange(ch change) error {
	if c.role != leader {
		return fault.New(fault.NotLeader, "this replica does not lead")
	}
	if c.change != nil {
		return fault.New(fault.MembershipBusy, "another change of the membership is running")
	}
	if ch.remove && !c.survives(ch.id) {
		return fault.New(fault.MembershipBusy, "without %s the group would have no quorum", ch.id)
	}
	c.change = &ch
	c.change.token = c.rng.Uint64()
	c.probeAddress()
	c.advanceChange()
	return nil
}

// survives reports whether the group has a live quorum without this member.
func (c *core) survives(id string) bool {
	rest := c.members().without(id)
	return rest.quorum(func(id string) bool { return c.alive(id) })
}

func (c *core) endChange(err error) {
	if c.change == nil {
		return
	}
	c.change = nil
	c.ended = append(c.ended, err)
}

// probeAddress asks the replica that is to be admitted for its id.
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

// advanceChange makes the next step of the running change, once the one before
// is committed and an entry of the own term is.
func (c *core) advanceChange() {
	if c.role != leader || !c.ownCommitted() || c.tail.config().index > c.commit {
		return
	}
	if !c.members().isVoter(c.state.ID) {
		c.retire()
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

// retire ends the leadership of a replica that was taken out.
func (c *core) retire() {
	if c.change != nil && c.change.id == c.state.ID {
		c.endChange(nil)
	}
	c.follow(c.state.Term, "", "")
}

func (c *core) advanceRemoval() {
	if _, ok := c.members().find(c.change.id); !ok {
		c.endChange(nil)
		return
	}
	c.setMembers(c.members().without(c.change.id))
}

// advanceAdmission adds a learner, makes it a voter once it holds everything
// that is committed, and then takes out the member that was at its address.
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
	if old, ok := c.members().sharing(m); ok {
		if !c.survives(old.ID) {
			return
		}
		c.setMembers(c.members().without(old.ID))
		return
	}
	c.endChange(nil)
}

// setMembers puts a membership in force that differs in one member.
func (c *core) setMembers(members membership) {
	data, err := members.encode()
	if err != nil {
		c.endChange(err)
		return
	}
	maps.DeleteFunc(c.peers, func(id string, _ *progress) bool {
		_, stays := members.find(id)
		return !stays
	})
	for _, m := range members {
		c.track(m.ID)
	}
	c.push(storage.Entry{Index: c.tail.lastIndex() + 1, Term: c.state.Term, Kind: kindMembers, Data: data})
	c.broadcast(false)
}
