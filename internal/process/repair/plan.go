// Package repair decides how the membership of a replica group is kept whole
// without an operator. It does no I/O; time and state come in as arguments.
//
// Load pattern: replicas are lost for good, come back with an empty disk, or
// are replaced at another address, at times one right after the other. The
// place of a lost member goes to a replica that asks for it. A lost member is
// taken out only while more voters than needed remain, so that a member that
// is merely silent keeps its vote.
package repair

import (
	"slices"
	"time"
)

// RemoveAfter is how long a surplus member must be silent before it is taken
// out: a few election timeouts, well below the time in which a successor must
// count.
const RemoveAfter = 1200 * time.Millisecond

// Member is one member of the group as its leader sees it.
type Member struct {
	ID      string
	Address string
	Learner bool
	// Silent is how long the member has not replied.
	Silent time.Duration
}

// Joiner is a replica that asks to become a member.
type Joiner struct {
	ID      string
	Address string
}

// Kind says what a Step does.
type Kind string

// Kinds of steps.
const (
	// None leaves the membership as it is.
	None Kind = ""
	// Admit adds the replica at Address.
	Admit Kind = "admit"
	// Remove takes the member ID out.
	Remove Kind = "remove"
)

// Step is the next change of the membership.
type Step struct {
	Kind    Kind
	ID      string
	Address string
}

// Voters returns the number of voters needed so that a group survives the loss
// of this many disks at once.
func Voters(losses int) int { return 2*losses + 1 }

// Plan returns the next step. size is the number of voters to keep.
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

// surplus returns the member to take out: a silent learner, or the voter that
// has been silent for longest where more voters than size remain.
func surplus(self string, size int, members []Member) (id string, ok bool) {
	voters := 0
	var worst Member
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
		if m.Silent > worst.Silent {
			worst = m
		}
	}
	return worst.ID, voters > size && worst.ID != ""
}

func isVoter(members []Member, id string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id && !m.Learner })
}
