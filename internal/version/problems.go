package version

import (
	"fmt"
	"strings"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// problems collects everything that is wrong with a note, so that an operator
// sees all of it at once.
type problems struct {
	lines []string
}

func (p *problems) add(format string, args ...any) {
	p.lines = append(p.lines, fmt.Sprintf(format, args...))
}

func (p *problems) asError() error {
	if len(p.lines) == 0 {
		return nil
	}
	return fault.New(fault.NoteInvalid, "%s", strings.Join(p.lines, "\n"))
}
