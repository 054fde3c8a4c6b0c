package settings

import (
	"os"
	"path/filepath"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// MaxSize is the largest settings file in bytes.
const MaxSize = 64 << 10

// Load reads, provisions and validates the settings in file. It starts nothing.
// On failure it returns one SettingsInvalid error that lists every problem with
// file, line and field.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, err, "read the settings %s: %s", file, err)
	}
	if len(text) > MaxSize {
		return nil, fault.New(fault.SettingsInvalid, "%s has %d bytes, the limit is %d", file, len(text), MaxSize)
	}
	s := new(Settings)
	d := newDocument(file)
	d.decode(text, s)
	if d.broken {
		return nil, d.asError()
	}
	s.Provision(filepath.Dir(file))
	s.validate(d)
	if err := d.asError(); err != nil {
		return nil, err
	}
	return s, nil
}
