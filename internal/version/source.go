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
// none, and all but one of the routes that have the same name. It returns s itself if
// nothing is missing or the text cannot be read.
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
	complete.KeysRequired = complete.KeysRequired || content.KeysRequired && len(complete.Teams) == 0
	if reflect.DeepEqual(complete, s.Entries()) {
		return s
	}
	stored := s.stored()
	stored.Entries = complete
	return build(stored)
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
