package version

import (
	"fmt"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/strictyaml"
)

// MaxNoteSize is the largest release note, in bytes of YAML.
const MaxNoteSize = 1 << 20

// ParseNote reads a release note from YAML and checks everything that can be
// told from the note alone. The NoteInvalid error names every problem, each
// with its line and field.
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
		return nil, fault.New(fault.NoteInvalid, "the file holds 0 YAML documents, a note is exactly one")
	}
	presence(d, "added", &n.Added)
	presence(d, "changed", &n.Changed)
	n.setDefaults()
	n.validate(d)
	if err := problemsOf(d); err != nil {
		return nil, err
	}
	return n, nil
}

// presence demands fields that must be written, and sets defaults where a zero
// that is written differs from a field that is not.
func presence(d *strictyaml.Document, section string, e *Entries) {
	for i := range e.Routes {
		if !d.Present(fmt.Sprintf("%s.routes[%d].retries", section, i)) {
			e.Routes[i].Retries = DefaultRetries
		}
	}
	demandInService(d, section+".failure_domains", len(e.FailureDomains))
	demandInService(d, section+".targets", len(e.Targets))
}

func demandInService(d *strictyaml.Document, list string, count int) {
	for i := range count {
		item := fmt.Sprintf("%s[%d]", list, i)
		if d.Present(item) && !d.Present(item+".in_service") {
			d.Add(item+".in_service", "must be written as true or false")
		}
	}
}
