package version

import (
	"fmt"
	"strings"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/strictyaml"
)

// maxProblems bounds the number of problems that one error lists, and maxProblemBytes the
// length of each.
const (
	maxProblems     = 50
	maxProblemBytes = 1 << 10
)

// problems collects every problem of a note, so that an operator sees all of them
// at once.
type problems struct {
	list []string
}

func (p *problems) add(format string, args ...any) {
	p.list = append(p.list, fault.Excerpt(fmt.Sprintf(format, args...), maxProblemBytes))
}

// asError returns all problems as one NoteInvalid error, or nil.
func (p *problems) asError() error {
	if len(p.list) == 0 {
		return nil
	}
	lines := p.list
	if more := len(lines) - maxProblems; more > 0 {
		lines = append(lines[:maxProblems:maxProblems], fmt.Sprintf("and %d more", more))
	}
	return fault.New(fault.NoteInvalid, "%s", strings.Join(lines, "\n"))
}

// problemsOf returns all problems of d as one NoteInvalid error, or nil.
func problemsOf(d *strictyaml.Document) error {
	var errs problems
	for _, p := range d.Problems() {
		text := p.Message
		if p.Path != "" {
			text = p.Path + ": " + text
		}
		if p.Line > 0 {
			text = fmt.Sprintf("line %d: %s", p.Line, text)
		}
		errs.add("%s", text)
	}
	return errs.asError()
}
