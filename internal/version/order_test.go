package version

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
)

func configurationOrder(revision, base uint64) *Order {
	return &Order{Configuration: &FullConfiguration{
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

func TestFullConfigurationsBuildOnEachOther(t *testing.T) {
	first, err := Initial().ApplyOrder(configurationOrder(7, 0))
	must.NoError(t, err)
	must.Eq(t, uint64(1), first.Number())
	must.Eq(t, uint64(7), first.Revision())
	must.True(t, first.AlreadyApplied(configurationOrder(7, 0)))
	must.False(t, first.AlreadyApplied(configurationOrder(7, 1)))
	_, err = first.ApplyOrder(configurationOrder(9, 5))
	must.Eq(t, fault.RevisionConflict, fault.KindOf(err))
	_, err = first.ApplyOrder(configurationOrder(7, 7))
	must.Eq(t, fault.NoteInvalid, fault.KindOf(err))
	second, err := first.ApplyOrder(configurationOrder(12, 7))
	must.NoError(t, err)
	must.True(t, second.AlreadyApplied(configurationOrder(7, 0)), must.Sprint("an earlier revision is still recorded"))
	_, err = second.ApplyOrder(&Order{})
	must.Eq(t, fault.NoteInvalid, fault.KindOf(err))
}

func TestStateWithOrdersSurvivesItsStoredForm(t *testing.T) {
	state, err := Initial().ApplyOrder(configurationOrder(7, 0))
	must.NoError(t, err)
	state, err = state.ApplyOrder(&Order{Domain: &FailureDomain{Name: "z"}})
	must.NoError(t, err)
	encoded, err := state.Encode()
	must.NoError(t, err)
	again, err := DecodeState(encoded)
	must.NoError(t, err)
	must.Eq(t, state.Digest(), again.Digest())
	must.Eq(t, []byte{7}, again.Source())
	must.True(t, again.AlreadyApplied(configurationOrder(7, 0)))
	must.False(t, again.DomainInService("z"))
	note := &Note{Number: again.Number() + 1, Added: Entries{Services: []Service{{Name: "u"}}}}
	after, err := again.Apply(note)
	must.NoError(t, err)
	must.Eq(t, uint64(7), after.Revision(), must.Sprint("a note does not change the revision"))
	must.Eq(t, []string{"s", "t", "u"}, after.ServiceNames())
}

func TestRouteForHost(t *testing.T) {
	state, err := Initial().ApplyOrder(configurationOrder(7, 0))
	must.NoError(t, err)
	for path, want := range map[string]string{"/a/b/c": "long", "/a/b/": "long", "/a/x": "short", "/a/b": "short"} {
		r, ok := state.RouteForHost("h", path)
		must.True(t, ok)
		must.Eq(t, want, r.Name)
	}
	for host, path := range map[string]string{"h": "/a", "other": "/a/x"} {
		_, ok := state.RouteForHost(host, path)
		must.False(t, ok)
	}
}

// TestHostsThatDifferInCaseOrByAPort guards against a 404 for a host that only its letter case or
// a port tells from that of a route. A route that names the host as it is goes first.
func TestHostsThatDifferInCaseOrByAPort(t *testing.T) {
	order := configurationOrder(7, 0)
	order.Configuration.Entries.Routes = []Route{
		{Name: "lower", Host: "a.example", Path: "/"}, {Name: "upper", Host: "A.example", Path: "/"}, {Name: "mixed", Host: "B.example", Path: "/"},
		{Name: "port", Host: "c.example:8080", Path: "/"}, {Name: "address", Host: "::1", Path: "/"},
	}
	state, err := Initial().ApplyOrder(order)
	must.NoError(t, err)
	for host, want := range map[string]string{
		"a.example": "lower", "A.example": "upper", "b.EXAMPLE": "mixed", "b.example:80": "mixed", "B.Example:8443": "mixed",
		"c.example:8080": "port", "C.example:8080": "port", "c.example": "", "c.example:80": "", "[::1]:80": "address",
		"d.example": "", "": "", "b.example:80:80": "",
	} {
		r, ok := state.RouteForHost(host, "/x")
		must.Eq(t, want != "", ok, must.Sprint(host))
		must.Eq(t, want, r.Name)
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

// TestRank checks that the rank of the team takes precedence over that of the
// route, and that the rank of the route decides between teams of equal rank. It
// guards against a team's rank that replaces the rank of the route, so that all
// routes of the team are shed alike.
func TestRank(t *testing.T) {
	rank := func(n int) *int { return &n }
	urgent, lesser := Route{Name: "u", Access: Keyed}, Route{Name: "l", Access: Keyed, Rank: 5}
	e := Entries{
		Teams:  []Team{{Name: "a", Rank: rank(0)}, {Name: "b", Rank: rank(2)}, {Name: "c", Rank: rank(2)}},
		Routes: []Route{urgent, lesser, {Name: "open", Access: Open, Rank: 7}},
	}
	state := build(storedState{Entries: e})
	order := []int{state.Rank("a", &urgent), state.Rank("a", &lesser), state.Rank("b", &urgent), state.Rank("c", &lesser)}
	for i, r := range order {
		must.Eq(t, len(order)-1-i, state.RankPosition(r))
	}
	must.Eq(t, state.Rank("b", &lesser), state.Rank("c", &lesser))
	must.Eq(t, 20005, state.Rank("b", &lesser))
}

// TestRankPosition checks that the rank of the route is used where a team has no
// rank.
func TestRankPosition(t *testing.T) {
	rank := func(n int) *int { return &n }
	route := Route{Name: "r", Access: Keyed, Rank: 5}
	e := Entries{
		Teams:  []Team{{Name: "a", Rank: rank(0)}, {Name: "b", Rank: rank(2)}},
		Routes: []Route{route},
	}
	state := build(storedState{Entries: e})
	must.Eq(t, 1, state.RankPosition(state.Rank("a", &route)))
	must.Eq(t, 0, state.RankPosition(state.Rank("b", &route)))
	e.Teams[1].Rank = nil
	state = build(storedState{Entries: e})
	must.Eq(t, 0, state.RankPosition(state.Rank("b", &route)))
	must.Eq(t, 1, state.RankPosition(state.Rank("a", &route)))
	must.Eq(t, 50005, state.Rank("b", &route))
	must.Eq(t, 0, state.RankPosition(99_999), must.Sprint("an unknown rank is the least urgent"))
}
