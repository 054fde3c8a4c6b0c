package replica

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// member is one replica of a group. A learner receives the log but has no vote.
type member struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Learner bool   `cbor:"3,keyasint,omitempty"`
}

// membership is the list of the members of a group. It is immutable: a change
// creates a new list.
type membership []member

func (ms membership) find(id string) (member, bool) {
	for _, m := range ms {
		if m.ID == id {
			return m, true
		}
	}
	return member{}, false
}

func (ms membership) isVoter(id string) bool {
	m, ok := ms.find(id)
	return ok && !m.Learner
}

func (ms membership) voterCount() int {
	n := 0
	for _, m := range ms {
		if !m.Learner {
			n++
		}
	}
	return n
}

// quorum reports whether has returns true for a majority of the voters.
func (ms membership) quorum(has func(id string) bool) bool {
	n := 0
	for _, m := range ms {
		if !m.Learner && has(m.ID) {
			n++
		}
	}
	return n > ms.voterCount()/2
}

// with returns a copy of the list that contains m. A member with the same ID is
// replaced.
func (ms membership) with(m member) membership {
	next := ms.without(m.ID)
	return append(next, m)
}

func (ms membership) without(id string) membership {
	return slices.DeleteFunc(slices.Clone(ms), func(m member) bool { return m.ID == id })
}

// findSameAddress returns a member that has the address of m but another ID.
func (ms membership) findSameAddress(m member) (member, bool) {
	for _, other := range ms {
		if other.Address == m.Address && other.ID != m.ID {
			return other, true
		}
	}
	return member{}, false
}

func (ms membership) encode() ([]byte, error) {
	b, err := cbor.Marshal(ms)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode the membership of a group")
	}
	return b, nil
}

func decodeMembership(b []byte) (membership, error) {
	if len(b) == 0 {
		return nil, nil
	}
	var ms membership
	if err := cbor.Unmarshal(b, &ms); err != nil {
		return nil, fault.Wrap(fault.Damaged, err, "decode the membership of a group")
	}
	return ms, nil
}
