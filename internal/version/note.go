package version

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/goccy/go-yaml"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// MaxNoteSize is the largest release note, in bytes of YAML.
const MaxNoteSize = 1 << 20

// ParseNote reads a release note from YAML. An unknown field, a wrong type or
// a value out of range is a NoteInvalid error that names line and field.
func ParseNote(text []byte) (*Note, error) {
	if len(text) > MaxNoteSize {
		return nil, fault.New(fault.NoteInvalid, "the note has %d bytes, the limit is %d", len(text), MaxNoteSize)
	}
	n := new(Note)
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := decoder.Decode(n); err != nil {
		return nil, fault.New(fault.NoteInvalid, "%s", yaml.FormatError(err, false, false))
	}
	n.setDefaults()
	return n, nil
}

// Digest is the digest of the note's content, apart from its layout.
func (n *Note) Digest() string { return digestOf(n) }

// Encode returns the canonical CBOR form of the note.
func (n *Note) Encode() ([]byte, error) {
	b, err := canonical.Marshal(n)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode the note")
	}
	return b, nil
}

// DecodeNote reads what Encode wrote.
func DecodeNote(b []byte) (*Note, error) {
	n := new(Note)
	if err := cbor.Unmarshal(b, n); err != nil {
		return nil, fault.Wrap(fault.NoteInvalid, err, "decode the note")
	}
	return n, nil
}

func (n *Note) setDefaults() {
	for _, e := range []*Entries{&n.Added, &n.Changed} {
		for i := range e.Teams {
			if e.Teams[i].Weight == 0 {
				e.Teams[i].Weight = 1
			}
		}
		for i := range e.Keys {
			e.Keys[i].ID = KeyID(e.Keys[i].Hash)
		}
		for i := range e.Routes {
			e.Routes[i].setDefaults()
		}
	}
}

func (r *Route) setDefaults() {
	if r.Importance == 0 {
		r.Importance = Normal
	}
	if r.Mode == "" {
		r.Mode = Idempotent
	}
	if r.Access == "" {
		r.Access = Keyed
	}
	if r.Timeout == 0 {
		r.Timeout = DefaultTimeout
	}
}
