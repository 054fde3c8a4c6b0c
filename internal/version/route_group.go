package version

import (
	"cmp"
	"slices"
)

// groupRoutes returns the routes by name, those of one name in a fixed order.
//
// A release note names each route once. A full configuration may use a name for several
// routes, which differ in host or path.
func groupRoutes(routes []Route) map[string][]Route {
	groups := make(map[string][]Route, len(routes))
	for i := range routes {
		groups[routes[i].Name] = append(groups[routes[i].Name], routes[i])
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b Route) int {
			return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Path, b.Path), slices.Compare(a.Methods, b.Methods))
		})
	}
	return groups
}

// identifiedRoutes returns the routes of all groups with their IDs, in the order of their
// names. The ID of a route is its name if it has one and no other route has it, otherwise its
// host and path. It is never empty: daemons send it to each other at the end of a header.
func identifiedRoutes(groups map[string][]Route) []Route {
	routes := slices.Concat(sortedValues(groups)...)
	taken := make(map[string]bool, len(routes))
	for name := range groups {
		taken[name] = true
	}
	for i := range routes {
		r := &routes[i]
		r.ID = r.Name
		if r.Name != "" && len(groups[r.Name]) == 1 {
			continue
		}
		for r.ID = r.Host + r.Path; taken[r.ID]; {
			r.ID += "/"
		}
		taken[r.ID] = true
	}
	return routes
}
