// Package repair decides how the membership of a replica group is repaired without
// an operator. It does no I/O; time and state are passed in as arguments.
//
// Expected failures: replicas are lost for good, come back with an empty disk, or
// are replaced at another address, sometimes in quick succession. A replica that
// requests to join replaces a lost voter. A lost voter is removed only while the
// group has more voters than it needs, so that a voter that is only temporarily
// silent keeps its vote. A silent learner is removed in any case.
package repair

import (
	"slices"
	"time"
)

// RemoveAfter is how long a surplus member must be silent before it is removed: a
// few election timeouts, and well below the time within which a replacement must
// be a voter.
const RemoveAfter = 1200 * time.Millisecond

// Member is the leader's view of one member of the group.
type Member struct {
	ID      string
	Address string
	Learner bool
	// Silent is the time since the member's last reply.
	Silent time.Duration
}

// Joiner is a replica that requests to become a member.
type Joiner struct {
	ID      string
	Address string
}

// Kind is what a Step does to the membership.
type Kind string

// Kinds of steps.
const (
	// None leaves the membership unchanged.
	None Kind = ""
	// Admit adds the replica at Address.
	Admit Kind = "admit"
	// Remove removes the member ID.
	Remove Kind = "remove"
)

// Step is one change of the membership.
type Step struct {
	Kind    Kind
	ID      string
	Address string
}

// Voters returns the number of voters that a group needs to survive the
// simultaneous loss of this many disks.
func Voters(losses int) int { return 2*losses + 1 }

// Plan returns the next step for the leader self. It removes a surplus member first;
// otherwise it admits the first joiner that is not a voter. size is the number of
// voters to keep.
func Plan(self string, size int, members []Member, joiners []Joiner) Step {
	if id, ok := surplus(self, size, members); ok {
		return Step{Kind: Remove, ID: id}
	}
	for _, j := range joiners {
		if !isVoter(members, j.ID) {
			return Step{Kind: Admit, ID: j.ID, Address: j.Address}
		}
	}
	return Step{}
}

// surplus returns the member to remove: a silent learner, or the voter that has been
// silent for longest if the group has more voters than size.
func surplus(self string, size int, members []Member) (id string, ok bool) {
	voters := 0
	var longest Member
	for _, m := range members {
		if !m.Learner {
			voters++
		}
		if m.ID == self || m.Silent < RemoveAfter {
			continue
		}
		if m.Learner {
			return m.ID, true
		}
		if m.Silent > longest.Silent {
			longest = m
		}
	}
	return longest.ID, voters > size && longest.ID != ""
}

func isVoter(members []Member, id string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id && !m.Learner })
}
