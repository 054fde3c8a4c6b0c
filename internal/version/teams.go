package version

import (
	"fmt"
	"slices"
)

// SetTeams sets the teams that a full configuration declares, and their keys: keys[i] holds
// the hashes of the keys of teams[i]. Without teams, it makes the configuration require keys.
//
// Names and keys may repeat. A team without a name, or with that of an earlier one, gets a
// name that no other has, and keeps its own as its label. So each team has its own limit and
// rank. A key that is listed more than once belongs to the first team that lists it.
func (e *Entries) SetTeams(teams []Team, keys [][]string) {
	e.Teams, e.Keys, e.KeysRequired = slices.Clone(teams), nil, len(teams) == 0
	taken := make(map[string]bool, len(teams))
	for _, t := range teams {
		taken[t.Name] = true
	}
	named := map[string]bool{"": true}
	held := make(map[string]bool)
	for i := range e.Teams {
		t := &e.Teams[i]
		if named[t.Name] {
			label := t.Name
			t.Label = &label
			for n := 2; taken[t.Name]; n++ {
				t.Name = fmt.Sprintf("%s#%d", label, n)
			}
			taken[t.Name] = true
		}
		named[t.Name] = true
		for _, hash := range keys[i] {
			if !held[hash] {
				held[hash] = true
				e.Keys = append(e.Keys, Key{ID: KeyID(hash), Team: t.Name, Hash: hash})
			}
		}
	}
}

// DisplayName returns the name of the team that targets see.
func (t Team) DisplayName() string {
	if t.Label != nil {
		return *t.Label
	}
	return t.Name
}

// asOfEarlierBuilds returns the entries in the form in which builds that knew neither
// KeysRequired nor Team.Label logged them.
func (e Entries) asOfEarlierBuilds() Entries {
	e.KeysRequired = false
	e.Teams, e.Keys = slices.Clone(e.Teams), slices.Clone(e.Keys)
	names := make(map[string]string, len(e.Teams))
	for i, t := range e.Teams {
		names[t.Name] = t.DisplayName()
		e.Teams[i].Name, e.Teams[i].Label = t.DisplayName(), nil
	}
	for i, k := range e.Keys {
		e.Keys[i].Team = names[k.Team]
	}
	return e
}

// AmbiguousTeams reports whether the entries may be those that an earlier build logged in
// place of others: without teams, or with names of teams that repeat or are empty.
func (e Entries) AmbiguousTeams() bool {
	names := map[string]bool{"": true}
	for _, t := range e.Teams {
		if names[t.Name] {
			return true
		}
		names[t.Name] = true
	}
	return len(e.Teams) == 0 && !e.KeysRequired
}
