package relay

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/version"
)

// TestTeamsOfOneName guards against a team that spends the tokens of another one with the
// same name, and against public requests that spend those of a team without a name.
func TestTeamsOfOneName(t *testing.T) {
	m := newMesh(t, version.Idempotent, 0, 1)
	entries := m.state.Entries()
	public := entries.Routes[0]
	public.Name, public.Path, public.Access = "public", "/public/", version.Open
	entries.Routes = append(entries.Routes, public)
	teams := []version.Team{{Name: "team", Rate: 1, Burst: 1}, {Name: "team", Rate: 2, Burst: 2}, {Rate: 3, Burst: 3}, {Name: "unlimited"}}
	var keys [][]string
	for i := range teams {
		keys = append(keys, []string{version.HashKey(fmt.Sprint("key-", i))})
	}
	entries.SetTeams(teams, keys)
	state, err := version.Initial().ApplyOrder(&version.Order{Configuration: &version.FullConfiguration{Revision: 1, Entries: entries}})
	must.NoError(t, err)
	m.state = state
	tokens := make(map[float64]int)
	m.takeToken = func(team string) error {
		limited, ok := state.Team(team)
		must.True(t, ok)
		tokens[limited.Rate]++
		return nil
	}
	for i, name := range []string{"team", "team", "", "unlimited"} {
		for range i + 1 {
			resp, _ := m.send(m.instances[0], "GET", "/p/x", map[string]string{"Teaselrack-Key": fmt.Sprint("key-", i)}, "")
			must.Eq(t, http.StatusOK, resp.StatusCode)
		}
		got := lastRequest(m.instances[0].stub)
		must.Eq(t, name, got.Header.Get("Teaselrack-Team"))
	}
	resp, _ := m.send(m.instances[0], "GET", "/public/x", nil, "")
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.Eq(t, "", lastRequest(m.instances[0].stub).Header.Get("Teaselrack-Team"))
	must.Eq(t, map[float64]int{1: 1, 2: 2, 3: 3}, tokens)
}

func lastRequest(s *stub) *http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[len(s.requests)-1]
}

// TestTeamsWhoseNameCannotStandInAHeader guards against a name that adds headers, or a whole
// request, to what a target gets. All other names reach it as they are.
func TestTeamsWhoseNameCannotStandInAHeader(t *testing.T) {
	m := newMesh(t, version.Idempotent, 0, 1)
	outside := m.addRemote()
	entries := m.state.Entries()
	for name, want := range map[string]int{
		"a\r\nX-Evil: 1": http.StatusForbidden, "a\x00": http.StatusForbidden, "a\x7f": http.StatusForbidden,
		"a\tb": http.StatusOK, "a b": http.StatusOK, "caf\u00e9": http.StatusOK, "%0d%0a": http.StatusOK,
	} {
		entries.SetTeams([]version.Team{{Name: name}}, [][]string{{version.HashKey(key)}})
		state, err := version.Initial().ApplyOrder(&version.Order{Configuration: &version.FullConfiguration{Revision: 1, Entries: entries}})
		must.NoError(t, err)
		m.state = state
		for _, from := range []*instance{m.instances[0], outside} {
			before := m.instances[0].stub.count()
			resp, _ := m.send(from, "GET", "/p/x", nil, "")
			must.Eq(t, want, resp.StatusCode, must.Sprintf("%q", name))
			if want != http.StatusOK {
				must.Eq(t, before, m.instances[0].stub.count())
				continue
			}
			must.Eq(t, []string{name}, lastRequest(m.instances[0].stub).Header["Teaselrack-Team"])
		}
	}
}
