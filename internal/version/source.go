package version

import "reflect"

// SourceReader returns the content of the text of a full configuration. ok is false if
// the text cannot be read.
type SourceReader func(source []byte) (content Entries, ok bool)

// CompletedFromSource returns the state with what earlier builds left out of the stored
// form of a full configuration, although its text has it: that it declares teams, but has
// none. It returns s itself if nothing is missing or the text cannot be read.
func (s *State) CompletedFromSource(read SourceReader) *State {
	if len(s.source) == 0 {
		return s
	}
	content, ok := read(s.source)
	if !ok {
		return s
	}
	complete := s.Entries()
	complete.KeysRequired = complete.KeysRequired || content.KeysRequired && len(complete.Teams) == 0
	if reflect.DeepEqual(complete, s.Entries()) {
		return s
	}
	stored := s.stored()
	stored.Entries = complete
	return build(stored)
}
