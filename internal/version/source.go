package version

import (
	"maps"
	"reflect"
	"slices"
)

// SourceReader returns the content of the text of a full configuration. ok is false if
// the text cannot be read.
type SourceReader func(source []byte) (content Entries, ok bool)

// CompletedFromSource returns the state with what earlier builds left out of the stored
// form of a full configuration, although its text has it: that it declares teams, but has
// none, and all but one of the teams and of the routes that have the same name. It returns
// s itself if nothing is missing or the text cannot be read.
func (s *State) CompletedFromSource(read SourceReader) *State {
	if len(s.source) == 0 {
		return s
	}
	content, ok := read(s.source)
	if !ok {
		return s
	}
	complete := s.Entries()
	complete.Routes = slices.Concat(sortedValues(s.routesCompletedBy(content.Routes))...)
	if s.hasTeamsOf(content.asOfEarlierBuilds()) {
		complete.Teams, complete.Keys = content.Teams, content.Keys
	}
	complete.KeysRequired = complete.KeysRequired || content.KeysRequired && len(complete.Teams) == 0
	stored := s.stored()
	stored.Entries = complete
	if next := build(stored); next.digest != s.digest {
		return next
	}
	return s
}

// hasTeamsOf reports whether the state has just the teams and keys that remain of the entries
// when the last of each name is kept.
func (s *State) hasTeamsOf(e Entries) bool {
	teams := index(e.Teams, func(t Team) string { return t.Name })
	keys := index(e.Keys, func(k Key) string { return k.Hash })
	return reflect.DeepEqual(teams, s.teams) && reflect.DeepEqual(keys, s.keys)
}

// routesCompletedBy returns the routes by name. Where several of the given routes have one
// name, and the state holds just one of them, it holds all of them in the result.
func (s *State) routesCompletedBy(routes []Route) map[string][]Route {
	complete := maps.Clone(s.routes)
	for name, group := range groupRoutes(routes) {
		held := s.routes[name]
		isHeld := func(r Route) bool { return reflect.DeepEqual(r, held[0]) }
		if len(held) == 1 && slices.ContainsFunc(group, isHeld) {
			complete[name] = group
		}
	}
	return complete
}
