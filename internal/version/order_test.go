package version

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
)

func whole(revision, base uint64) *Order {
	return &Order{Whole: &Whole{
		Revision: revision, Base: base, Source: []byte{byte(revision)},
		Entries: Entries{
			Services: []Service{{Name: "s"}, {Name: "t"}},
			Routes: []Route{
				{Name: "long", Host: "h", Path: "/a/b/", Service: "t", Timeout: time.Second},
				{Name: "short", Host: "h", Path: "/a/", Service: "s", Timeout: time.Second},
			},
		},
	}}
}

func TestWholeConfigurationsBuildOnEachOther(t *testing.T) {
	first, err := Initial().Carry(whole(7, 0))
	must.NoError(t, err)
	must.Eq(t, uint64(1), first.Number())
	must.Eq(t, uint64(7), first.Revision())
	must.True(t, first.Holds(whole(7, 0)))
	must.False(t, first.Holds(whole(7, 1)))
	_, err = first.Carry(whole(9, 5))
	must.Eq(t, fault.RevisionConflict, fault.KindOf(err))
	_, err = first.Carry(whole(7, 7))
	must.Eq(t, fault.NoteInvalid, fault.KindOf(err))
	second, err := first.Carry(whole(12, 7))
	must.NoError(t, err)
	must.True(t, second.Holds(whole(7, 0)), must.Sprint("an earlier one is still known"))
	_, err = second.Carry(&Order{})
	must.Eq(t, fault.NoteInvalid, fault.KindOf(err))
}

func TestStateWithOrdersSurvivesItsStoredForm(t *testing.T) {
	state, err := Initial().Carry(whole(7, 0))
	must.NoError(t, err)
	state, err = state.Carry(&Order{Domain: &FailureDomain{Name: "z"}})
	must.NoError(t, err)
	encoded, err := state.Encode()
	must.NoError(t, err)
	again, err := DecodeState(encoded)
	must.NoError(t, err)
	must.Eq(t, state.Digest(), again.Digest())
	must.Eq(t, []byte{7}, again.Source())
	must.True(t, again.Holds(whole(7, 0)))
	must.False(t, again.DomainInService("z"))
	note := &Note{Number: again.Number() + 1, Added: Entries{Services: []Service{{Name: "u"}}}}
	after, err := again.Apply(note)
	must.NoError(t, err)
	must.Eq(t, uint64(7), after.Revision(), must.Sprint("a note leaves the revision as it is"))
	must.Eq(t, []string{"s", "t", "u"}, after.ServiceNames())
}

func TestHostedRoute(t *testing.T) {
	state, err := Initial().Carry(whole(7, 0))
	must.NoError(t, err)
	for path, want := range map[string]string{"/a/b/c": "long", "/a/b/": "long", "/a/x": "short", "/a/b": "short"} {
		r, ok := state.HostedRoute("h", path)
		must.True(t, ok)
		must.Eq(t, want, r.Name)
	}
	for host, path := range map[string]string{"h": "/a", "other": "/a/x"} {
		_, ok := state.HostedRoute(host, path)
		must.False(t, ok)
	}
}

func TestServiceForFollowsTheWeights(t *testing.T) {
	r := Route{Split: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.ServiceFor(float64(i)/1000)]++
	}
	must.Eq(t, map[string]int{"a": 900, "b": 100}, counts)
	must.Eq(t, "s", Route{Service: "s"}.ServiceFor(0.5))
}

func TestRankPosition(t *testing.T) {
	rank := func(n int) *int { return &n }
	e := Entries{
		Teams:  []Team{{Name: "a", Rank: rank(0)}, {Name: "b", Rank: rank(2)}},
		Routes: []Route{{Name: "r", Access: Keyed, Rank: 5}},
	}
	state := build(image{Entries: e})
	must.Eq(t, 1, state.RankPosition(0))
	must.Eq(t, 0, state.RankPosition(2))
	e.Teams[1].Rank = nil
	state = build(image{Entries: e})
	must.Eq(t, 0, state.RankPosition(5), must.Sprint("routes count where a team has no rank"))
	must.Eq(t, 1, state.RankPosition(0))
}
