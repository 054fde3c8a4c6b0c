package settings

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/strictyaml"
)

// MaxSize is the largest settings file in bytes.
const MaxSize = 64 << 10

// Load reads the settings in file, fills in defaults and validates them. On
// failure it returns one SettingsInvalid error that lists every problem with file,
// line and field.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, err, "read the settings file %s: %s", file, err)
	}
	if len(text) > MaxSize {
		return nil, fault.New(fault.SettingsInvalid, "%s has %d bytes, the limit is %d", file, len(text), MaxSize)
	}
	s := new(Settings)
	d, err := strictyaml.Decode(text, "settings file", s)
	if err != nil {
		return nil, syntaxError(file, err)
	}
	s.Provision(filepath.Dir(file))
	s.validate(d)
	if err := problemsOf(file, d); err != nil {
		return nil, err
	}
	return s, nil
}

func syntaxError(file string, err error) error {
	var syntax *strictyaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Line > 0 {
		return fault.New(fault.SettingsInvalid, "%s:%d: %s", file, syntax.Line, syntax.Message)
	}
	return fault.New(fault.SettingsInvalid, "%s: %s", file, err)
}

// problemsOf returns all problems of d as one SettingsInvalid error, or nil.
// Problems without a line are reported at line 1.
func problemsOf(file string, d *strictyaml.Document) error {
	var lines []string
	for _, p := range d.Problems() {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", file, max(p.Line, 1), cmp.Or(p.Path, "settings"), p.Message))
	}
	if len(lines) == 0 {
		return nil
	}
	return fault.New(fault.SettingsInvalid, "%s", strings.Join(lines, "\n"))
}
