package version

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestDeclaredTeamsRequireKeys guards against keyed routes that need no key because the last
// team is gone: through the log, what is stored, what daemons receive, and later changes.
func TestDeclaredTeamsRequireKeys(t *testing.T) {
	routes := []Route{{Name: "r", Host: "h", Path: "/", Service: "s", Access: Keyed, Timeout: time.Second}}
	teams := []Team{{Name: "team", Rate: 1, Burst: 1}}
	contents := map[string]Entries{
		"none":  {Routes: routes},
		"empty": {Routes: routes, KeysRequired: true},
		"one":   {Routes: routes, Teams: teams},
	}
	for _, names := range [][]string{{"empty"}, {"none", "empty"}, {"one", "empty"}, {"empty", "none"}, {"one", "none"}, {"empty", "one"}, {"empty", "one", "empty", "none", "empty"}} {
		state, held := Initial(), Initial()
		for i, name := range names {
			note := &Note{Number: state.Number() + 1, Order: &Order{Configuration: &FullConfiguration{
				Revision: uint64(i + 1), Base: uint64(i), Entries: contents[name], Source: []byte(name),
			}}}
			encoded, err := note.Encode()
			must.NoError(t, err)
			logged, err := DecodeNote(encoded)
			must.NoError(t, err)
			next, err := state.Apply(logged)
			must.NoError(t, err)
			held = held.ApplyUpdate(UpdateBetween(state, next))
			state = next
			want := name != "none"
			must.Eq(t, want, state.KeysRequired(), must.Sprint(names[:i+1]))
			must.Eq(t, want, held.KeysRequired(), must.Sprint(names[:i+1]))
			must.Eq(t, state.ContentDigest(), held.ContentDigest())
			stored, err := state.Encode()
			must.NoError(t, err)
			again, err := DecodeState(stored)
			must.NoError(t, err)
			must.Eq(t, want, again.KeysRequired())
			must.Eq(t, state.Digest(), again.Digest())
			evacuated, err := state.ApplyOrder(&Order{Domain: &FailureDomain{Name: "z"}})
			must.NoError(t, err)
			must.Eq(t, want, evacuated.KeysRequired())
			must.Eq(t, want, held.ApplyUpdate(UpdateBetween(held, evacuated)).KeysRequired())
		}
	}
}

// TestWithdrawnTeamsRequireKeys withdraws the last team of a full configuration by a note.
func TestWithdrawnTeamsRequireKeys(t *testing.T) {
	state, err := Initial().ApplyOrder(&Order{Configuration: &FullConfiguration{Revision: 1, Entries: Entries{Teams: []Team{{Name: "team"}}}}})
	must.NoError(t, err)
	after, err := state.Apply(&Note{Number: 2, Withdrawn: WithdrawnNames{Teams: []string{"team"}}})
	must.NoError(t, err)
	must.True(t, after.KeysRequired())
	must.True(t, Initial().ApplyUpdate(UpdateBetween(state, after)).KeysRequired())
	again, err := after.Apply(&Note{Number: 3, Added: Entries{Teams: []Team{{Name: "team"}}}})
	must.NoError(t, err)
	must.Eq(t, state.Entries(), again.Entries())
}

// TestDigestOfEarlierBuilds checks that a configuration that says nothing of its own about
// keys has the digest of earlier builds, so that mixed builds agree.
func TestDigestOfEarlierBuilds(t *testing.T) {
	withTeam := Entries{Teams: []Team{{Name: "team"}}}
	marked := withTeam
	marked.KeysRequired = true
	a, err := Initial().ApplyOrder(&Order{Configuration: &FullConfiguration{Revision: 1, Entries: withTeam}})
	must.NoError(t, err)
	b, err := Initial().ApplyOrder(&Order{Configuration: &FullConfiguration{Revision: 1, Entries: marked}})
	must.NoError(t, err)
	must.Eq(t, a.ContentDigest(), digestOf(storedState{Number: 1, NoteDigest: a.NoteDigest(), Entries: withTeam, Revision: 1}))
	must.Eq(t, a.Entries(), b.Entries())
}
