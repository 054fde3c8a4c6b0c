package version

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// routesByPath returns a full configuration with routes that all have one name.
func routesByPath(revision uint64, routes map[string]Route) *Order {
	e := Entries{Services: []Service{{Name: "s"}, {Name: "t"}}}
	for path, r := range routes {
		r.Name, r.Host, r.Path, r.Access = "r", "h", path, Open
		e.Routes = append(e.Routes, r)
	}
	return &Order{Configuration: &FullConfiguration{Revision: revision, Base: revision - 1, Entries: e, Source: []byte{byte(revision)}}}
}

// TestRoutesOfOneName guards against a route that is lost because another one has its name.
// Each keeps its own service, mode and timeout, in what is stored and in what daemons
// receive, while others of its name are added, moved, changed and removed.
func TestRoutesOfOneName(t *testing.T) {
	orders := Route{Service: "s", Mode: Once, Timeout: time.Second}
	stock := Route{Service: "t", Mode: Idempotent, Timeout: 2 * time.Second, Objective: time.Second}
	moved, slower := stock, orders
	moved.Service = "s"
	slower.Timeout = 3 * time.Second
	steps := []map[string]Route{
		{"/orders/": orders, "/stock/": stock},
		{"/orders/": orders, "/stock/": moved},
		{"/orders/": slower, "/stock/": stock, "/new/": orders},
		{"/stock/": stock, "/new/": orders},
		{"/orders/": stock, "/new/": orders},
		{"/orders/": orders},
		{"/stock/": stock},
		{"/stock/": stock, "/orders/": orders},
		{},
	}
	all := []string{"/orders/", "/stock/", "/new/"}
	state, held := Initial(), Initial()
	for i, want := range steps {
		next, err := state.ApplyOrder(routesByPath(uint64(i+1), want))
		must.NoError(t, err)
		update, err := UpdateBetween(state, next).Encode()
		must.NoError(t, err)
		decoded, err := DecodeUpdate(update)
		must.NoError(t, err)
		held, state = held.ApplyUpdate(decoded), next
		stored, err := state.Encode()
		must.NoError(t, err)
		restarted, err := DecodeState(stored)
		must.NoError(t, err)
		must.Eq(t, state.Digest(), restarted.Digest())
		must.Eq(t, state.ContentDigest(), held.ContentDigest())
		for _, s := range []*State{state, held, restarted} {
			ids := make(map[string]bool)
			for _, path := range all {
				got, ok := s.RouteForHost("h", path+"x")
				expected, exists := want[path]
				must.Eq(t, exists, ok, must.Sprintf("step %d, %s", i, path))
				must.Eq(t, expected.Services(), got.Services())
				must.Eq(t, expected.Mode, got.Mode)
				must.Eq(t, expected.Timeout, got.Timeout)
				must.Eq(t, expected.Objective, got.Objective)
				ids[got.ID] = exists
			}
			delete(ids, "")
			must.MapLen(t, len(want), ids, must.Sprint("each route has an ID of its own"))
		}
	}
}

// TestRouteIDs checks that no name that a configuration chooses is the ID of another route.
func TestRouteIDs(t *testing.T) {
	routes := []Route{
		{Name: "a", Host: "h", Path: "/1/"}, {Name: "a", Host: "h", Path: "/2/"},
		{Name: "h/1/", Host: "h", Path: "/3/"}, {Name: "h/1//", Host: "h", Path: "/4/"},
		{Name: "", Host: "h", Path: "/5/"}, {Name: "", Host: "", Path: "/5/"}, {Name: "b", Host: "h", Path: "/6/"},
	}
	must.Eq(t, "h/1/", identifiedRoutes(groupRoutes([]Route{{Host: "h", Path: "/1/"}}))[0].ID)
	ids := make(map[string]string)
	for _, r := range identifiedRoutes(groupRoutes(routes)) {
		must.MapNotContainsKey(t, ids, r.ID)
		ids[r.ID] = r.Host + r.Path
	}
	must.Eq(t, map[string]string{
		"h/1///": "h/1/", "h/2/": "h/2/", "h/1/": "h/3/", "h/1//": "h/4/", "h/5/": "h/5/", "/5/": "/5/", "b": "h/6/",
	}, ids)
}

// TestNotesAndRoutesOfOneName checks what release notes do to routes of one name.
func TestNotesAndRoutesOfOneName(t *testing.T) {
	state, err := Initial().ApplyOrder(routesByPath(1, map[string]Route{"/a/": {Service: "s"}, "/b/": {Service: "t"}}))
	must.NoError(t, err)
	other, err := state.Apply(&Note{Number: 2, Added: Entries{Routes: []Route{{Name: "n", Path: "/n"}}}})
	must.NoError(t, err)
	must.Len(t, 3, other.Entries().Routes)
	_, err = state.Apply(&Note{Number: 2, Changed: Entries{Routes: []Route{{Name: "r", Path: "/c"}}}})
	must.Eq(t, fault.NoteInvalid, fault.KindOf(err))
	must.StrContains(t, err.Error(), `changed route "r" is ambiguous: 2 entries in force have this name`)
	without, err := other.Apply(&Note{Number: 3, Withdrawn: WithdrawnNames{Routes: []string{"r"}}})
	must.NoError(t, err)
	must.Len(t, 1, without.Entries().Routes)
	changes := Diff(other, without)
	must.Len(t, 1, changes)
	for _, path := range []string{"/a/", "/b/"} {
		must.StrContains(t, changes[0].Before, "path: "+path)
	}
}

// TestHostsAndPathsAreNotMixed guards against routes of different places that are refused
// because their host and path read the same.
func TestHostsAndPathsAreNotMixed(t *testing.T) {
	full := routesByPath(1, map[string]Route{"/a/b/": {Service: "s", Timeout: 1}, "/b/": {Service: "t", Timeout: 1}}).Configuration
	for i := range full.Entries.Routes {
		full.Entries.Routes[i].Host = map[string]string{"/a/b/": "h", "/b/": "h/a"}[full.Entries.Routes[i].Path]
	}
	must.NoError(t, full.Validate())
	full.Entries.Routes[1].Host, full.Entries.Routes[1].Path = full.Entries.Routes[0].Host, full.Entries.Routes[0].Path
	must.Eq(t, fault.NoteInvalid, fault.KindOf(full.Validate()))
}

// TestManyRoutesWithoutNames checks a configuration whose routes all have the same name.
func TestManyRoutesWithoutNames(t *testing.T) {
	const routes = 2000
	full := &FullConfiguration{Revision: 1}
	for i := range routes {
		full.Entries.Routes = append(full.Entries.Routes, Route{Host: "h", Path: fmt.Sprintf("/%d/", i)})
	}
	state, err := Initial().ApplyOrder(&Order{Configuration: full})
	must.NoError(t, err)
	must.Len(t, routes, Initial().ApplyUpdate(UpdateBetween(Initial(), state)).Entries().Routes)
	r, ok := state.RouteForHost("h", "/1999/x")
	must.True(t, ok)
	must.Eq(t, "h/1999/", r.ID)
}
