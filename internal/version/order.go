package version

import "github.com/teaselrack/teaselrack/internal/fault"

// Order is a change that names what it builds on in its own terms instead of
// the number of the note before. Exactly one field is set.
type Order struct {
	// Whole replaces the teams, keys, routes, services and limits.
	Whole *Whole `cbor:"1,keyasint,omitempty"`
	// Domain puts one failure domain in service, or takes it out.
	Domain *FailureDomain `cbor:"2,keyasint,omitempty"`
}

// Whole is a configuration that is sent as a whole and built on a base.
type Whole struct {
	// Revision is the number that the sender gave to the configuration.
	Revision uint64 `cbor:"1,keyasint"`
	// Base is the revision that the sender built on; 0 for the first.
	Base uint64 `cbor:"2,keyasint"`
	// Entries is the content. Failure domains and targets are not part of it.
	Entries Entries `cbor:"3,keyasint"`
	// Source is the text that the configuration was read from. It is opaque
	// here and is handed back to whoever reads the configuration.
	Source []byte `cbor:"4,keyasint"`
}

// AcceptedRevision remembers a whole configuration that was accepted, so that
// the same one is acknowledged again.
type AcceptedRevision struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Digest is the digest of the Whole.
	Digest string `cbor:"2,keyasint"`
}

// keptRevisions bounds the remembered revisions: more than an operator can
// still have in flight.
const keptRevisions = 4096

// Digest identifies the content of w.
func (w *Whole) Digest() string { return digestOf(w) }

// Revision is the revision of the whole configuration in force, 0 before the
// first.
func (s *State) Revision() uint64 { return s.revision }

// Source is the text of the whole configuration in force.
func (s *State) Source() []byte { return s.source }

// Holds reports whether the order changes nothing because it was carried out
// before.
func (s *State) Holds(o *Order) bool {
	switch {
	case o.Whole != nil:
		return s.acceptedRevision(o.Whole)
	case o.Domain != nil:
		d, ok := s.domains[o.Domain.Name]
		return ok && d.InService == o.Domain.InService || !ok && o.Domain.InService
	}
	return false
}

func (s *State) acceptedRevision(w *Whole) bool {
	digest := ""
	for _, a := range s.accepted {
		if a.Revision != w.Revision {
			continue
		}
		if digest == "" {
			digest = w.Digest()
		}
		if a.Digest == digest {
			return true
		}
	}
	return false
}

// Carry returns the state after the order. Errors: RevisionConflict where a
// whole configuration does not build on the revision in force, NoteInvalid.
func (s *State) Carry(o *Order) (*State, error) {
	switch {
	case o.Whole != nil:
		return s.replace(o.Whole)
	case o.Domain != nil:
		return s.withDomain(*o.Domain), nil
	}
	return nil, fault.New(fault.NoteInvalid, "the order is empty")
}

func (s *State) replace(w *Whole) (*State, error) {
	if w.Base != s.revision {
		return nil, fault.New(fault.RevisionConflict, "the configuration builds on revision %d, revision %d is in force", w.Base, s.revision)
	}
	if w.Revision <= s.revision {
		return nil, fault.New(fault.NoteInvalid, "revision %d is not above revision %d, which is in force", w.Revision, s.revision)
	}
	e := w.Entries
	e.FailureDomains = sortedValues(s.domains)
	e.Targets = sortedValues(s.targets)
	accepted := append(append([]AcceptedRevision(nil), s.accepted...), AcceptedRevision{w.Revision, w.Digest()})
	if len(accepted) > keptRevisions {
		accepted = accepted[len(accepted)-keptRevisions:]
	}
	return build(image{
		Number: s.number + 1, NoteDigest: digestOf(w), Entries: e,
		Revision: w.Revision, Source: w.Source, Accepted: accepted,
	}), nil
}

func (s *State) withDomain(d FailureDomain) *State {
	img := s.image()
	img.Number++
	img.NoteDigest = digestOf(d)
	// The last entry of a name counts.
	img.Entries.FailureDomains = append(img.Entries.FailureDomains, d)
	return build(img)
}
