package repair

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func voter(id string, silent time.Duration) Member {
	return Member{ID: id, Address: "10.0.0." + id + ":7000", Silent: silent}
}

func TestPlan(t *testing.T) {
	long := 2 * RemoveAfter
	five := []Member{voter("1", 0), voter("2", 0), voter("3", 0), voter("4", 0), voter("5", 0)}
	lost := []Member{voter("1", 0), voter("2", 0), voter("3", 0), voter("4", 0), voter("5", long)}
	newcomer := Joiner{ID: "6", Address: "10.0.0.6:7000"}
	cases := []struct {
		name    string
		members []Member
		joiners []Joiner
		want    Step
	}{
		{"whole group", five, nil, Step{}},
		{"a silent voter keeps its vote while nobody can replace it", lost, nil, Step{}},
		{"a newcomer is admitted", lost, []Joiner{newcomer}, Step{Admit, "6", "10.0.0.6:7000"}},
		{"a voter that asks again is left alone", five, []Joiner{{ID: "5", Address: "10.0.0.5:7000"}}, Step{}},
		{"the lost voter goes once its successor votes", append(lost[:5:5], voter("6", 0)), []Joiner{newcomer}, Step{Kind: Remove, ID: "5"}},
		{"surplus voters that reply stay", append(five[:5:5], voter("6", 0)), nil, Step{}},
		{"a silent learner goes", append(five[:5:5], Member{ID: "7", Learner: true, Silent: long}), nil, Step{Kind: Remove, ID: "7"}},
		{"a learner that catches up is admitted further", append(five[:5:5], Member{ID: "6", Learner: true}), []Joiner{newcomer}, Step{Admit, "6", "10.0.0.6:7000"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, Plan("1", Voters(2), c.members, c.joiners))
		})
	}
}

// TestPlanNeverGoesBelowSize guards against steps that leave a group with fewer
// voters than it needs to survive the tolerated losses: no voter of a group of that
// size is removed, however many are silent.
func TestPlanNeverGoesBelowSize(t *testing.T) {
	for silent := range 5 {
		members := []Member{voter("1", 0)}
		for i := range 4 {
			silence := time.Duration(0)
			if i < silent {
				silence = time.Hour
			}
			members = append(members, voter(string(rune('2'+i)), silence))
		}
		must.Eq(t, None, Plan("1", Voters(2), members, nil).Kind)
	}
}
