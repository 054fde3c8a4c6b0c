package version

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestNamesOfTeams checks that each team has a name of its own, however names are chosen, and
// that it keeps its keys, its limit and what targets see in what is stored.
func TestNamesOfTeams(t *testing.T) {
	labels := []string{"a", "a", "a#2", "", "", "#2", "a"}
	var teams []Team
	var keys [][]string
	for i, name := range labels {
		teams = append(teams, Team{Name: name, Rate: float64(i + 1)})
		keys = append(keys, []string{HashKey(name + string(rune('0'+i))), HashKey("shared")})
	}
	var e Entries
	e.SetTeams(teams, keys)
	must.False(t, e.KeysRequired)
	must.False(t, e.AmbiguousTeams())
	state, err := Initial().ApplyOrder(&Order{Configuration: &FullConfiguration{Revision: 1, Entries: e}})
	must.NoError(t, err)
	received := Initial().ApplyUpdate(UpdateBetween(Initial(), state))
	must.Eq(t, state.ContentDigest(), received.ContentDigest())
	stored, err := state.Encode()
	must.NoError(t, err)
	restarted, err := DecodeState(stored)
	must.NoError(t, err)
	for _, s := range []*State{state, received, restarted} {
		must.MapLen(t, len(labels), s.teams)
		for i, label := range labels {
			key, ok := s.Key(label + string(rune('0'+i)))
			must.True(t, ok)
			team, ok := s.Team(key.Team)
			must.True(t, ok)
			must.Eq(t, label, team.DisplayName())
			must.Eq(t, float64(i+1), team.Rate)
			must.NotEq(t, "", team.Name)
		}
		shared, ok := s.Key("shared")
		must.True(t, ok)
		must.Eq(t, "a", shared.Team)
	}
	for name, rate := range map[string]float64{"a": 1, "a#2": 3, "#2": 6} {
		team, ok := state.Team(name)
		must.True(t, ok)
		must.Eq(t, rate, team.Rate, must.Sprint("the first of a name keeps it"))
	}
	must.True(t, e.asOfEarlierBuilds().AmbiguousTeams())
}
