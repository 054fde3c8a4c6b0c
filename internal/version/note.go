package version

import "github.com/teaselrack/teaselrack/internal/fault"

// Digest returns the digest of the note's content. It does not depend on the
// layout of the YAML.
func (n *Note) Digest() string { return digestOf(n) }

// Encode returns the canonical CBOR encoding of the note, compressed if it has at
// least compressMinBytes.
func (n *Note) Encode() ([]byte, error) {
	return encode("note", n)
}

// DecodeNote decodes the result of Encode, compressed or not. It does not
// validate the note.
func DecodeNote(b []byte) (*Note, error) {
	n := new(Note)
	if err := decode(b, n); err != nil {
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
