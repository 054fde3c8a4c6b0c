package version

import (
	"fmt"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/strictyaml"
)

// MaxNoteSize is the largest release note, in bytes of YAML.
const MaxNoteSize = 1 << 20

// ParseNote reads a release note from YAML and checks every rule that depends on
// the note alone. The NoteInvalid error names every problem, each with its line
// and field.
func ParseNote(text []byte) (*Note, error) {
	if len(text) > MaxNoteSize {
		return nil, fault.New(fault.NoteInvalid, "the note has %d bytes, the limit is %d", len(text), MaxNoteSize)
	}
	n := new(Note)
	d, err := strictyaml.Decode(text, "note", n)
	if err != nil {
		return nil, fault.New(fault.NoteInvalid, "%s", err)
	}
	if d.Empty() {
		return nil, fault.New(fault.NoteInvalid, "the file contains 0 YAML documents, a note is exactly one")
	}
	checkPresence(d, "added", &n.Added)
	checkPresence(d, "changed", &n.Changed)
	n.setDefaults()
	n.validate(d)
	if err := problemsOf(d); err != nil {
		return nil, err
	}
	return n, nil
}

// checkPresence reports required fields that are absent, and sets the defaults of
// fields for which an explicit zero differs from absence.
func checkPresence(d *strictyaml.Document, section string, e *Entries) {
	for i := range e.Routes {
		if !d.Present(fmt.Sprintf("%s.routes[%d].retries", section, i)) {
			e.Routes[i].Retries = DefaultRetries
		}
	}
	requireInService(d, section+".failure_domains", len(e.FailureDomains))
	requireInService(d, section+".targets", len(e.Targets))
}

func requireInService(d *strictyaml.Document, list string, count int) {
	for i := range count {
		item := fmt.Sprintf("%s[%d]", list, i)
		if d.Present(item) && !d.Present(item+".in_service") {
			d.Add(item+".in_service", "must be set to true or false")
		}
	}
}
