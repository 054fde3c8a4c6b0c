package version

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// maxProblems bounds the problems that one error names.
const maxProblems = 50

// problems collects everything that is wrong with a note, so that an operator
// sees all of it at once.
type problems struct {
	list []problem
}

// problem is one message; line is 0 where it belongs to no line.
type problem struct {
	line int
	text string
}

func (p *problems) add(format string, args ...any) {
	p.list = append(p.list, problem{text: fmt.Sprintf(format, args...)})
}

// addAt adds a message about one field at one line.
func (p *problems) addAt(line int, path, message string) {
	text := fmt.Sprintf("line %d: %s", line, message)
	if path != "" {
		text = fmt.Sprintf("line %d: %s: %s", line, path, message)
	}
	p.list = append(p.list, problem{line, text})
}

// asError returns all problems as one NoteInvalid error, in the order of their
// lines, or nil.
func (p *problems) asError() error {
	if len(p.list) == 0 {
		return nil
	}
	slices.SortStableFunc(p.list, func(a, b problem) int { return cmp.Compare(a.line, b.line) })
	shown := p.list[:min(len(p.list), maxProblems)]
	lines := make([]string, 0, len(shown)+1)
	for _, one := range shown {
		lines = append(lines, one.text)
	}
	if more := len(p.list) - len(shown); more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return fault.New(fault.NoteInvalid, "%s", strings.Join(lines, "\n"))
}
