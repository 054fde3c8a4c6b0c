package version

import (
	"slices"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Order is a change whose note number the control replicas assign. It does not
// build on the number of the preceding note, but on what it changes: a full
// configuration names the revision that it builds on, and a change of a failure domain
// the generation. So an order that arrives late, after another one, has no effect.
// Exactly one of Configuration and Domain is set.
type Order struct {
	// Configuration replaces the teams, keys, routes, services and limits.
	Configuration *FullConfiguration `cbor:"1,keyasint,omitempty"`
	// Domain takes one failure domain into or out of service.
	Domain *FailureDomain `cbor:"2,keyasint,omitempty"`
	// IfGeneration is the generation of the failure domain that Domain builds on. It is
	// nil for a configuration, and in the logs of earlier builds.
	IfGeneration *uint64 `cbor:"3,keyasint,omitempty"`
}

// FullConfiguration is a configuration that is sent complete and builds on a base
// revision.
type FullConfiguration struct {
	// Revision is the number that the sender gave to the configuration.
	Revision uint64 `cbor:"1,keyasint"`
	// Base is the revision that the sender built on; 0 for the first.
	Base uint64 `cbor:"2,keyasint"`
	// Entries is the content. Failure domains and targets are not part of it.
	Entries Entries `cbor:"3,keyasint"`
	// Source is the text that the configuration was read from. It is opaque to
	// this package and is returned to clients that read the configuration.
	Source []byte `cbor:"4,keyasint"`
}

// AcceptedRevision records a full configuration that was accepted, so that the
// same one is acknowledged when it is sent again.
type AcceptedRevision struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Digest is the digest of the FullConfiguration.
	Digest string `cbor:"2,keyasint"`
}

// maxAcceptedRevisions bounds the recorded revisions. It is more than an
// operator can still have in flight.
const maxAcceptedRevisions = 4096

// Digest returns the digest of the content of c.
func (c *FullConfiguration) Digest() string { return digestOf(c) }

// Revision returns the revision of the full configuration in effect, 0 before
// the first.
func (s *State) Revision() uint64 { return s.revision }

// Source returns the text of the full configuration in effect.
func (s *State) Source() []byte { return s.source }

// AlreadyApplied reports whether the order would change nothing: its
// configuration was accepted before, or its failure domain is already in or out
// of service as ordered.
func (s *State) AlreadyApplied(o *Order) bool {
	switch {
	case o.Configuration != nil:
		return s.isAccepted(o.Configuration)
	case o.Domain != nil:
		return s.DomainInService(o.Domain.Name) == o.Domain.InService
	}
	return false
}

func (s *State) isAccepted(c *FullConfiguration) bool {
	var digests []string
	for _, a := range s.accepted {
		if a.Revision != c.Revision {
			continue
		}
		if digests == nil {
			digests = c.acceptedDigests()
		}
		if slices.Contains(digests, a.Digest) {
			return true
		}
	}
	return false
}

// acceptedDigests returns the digests with which c may have been accepted: its own, and
// that of earlier builds. These logged different configurations as the same entries, but the
// text tells them apart, so the second digest is left out where there is no text.
func (c *FullConfiguration) acceptedDigests() []string {
	digests := []string{c.Digest()}
	if len(c.Source) > 0 {
		earlier := *c
		earlier.Entries = c.Entries.asOfEarlierBuilds()
		digests = append(digests, earlier.Digest())
	}
	return digests
}

// ApplyOrder returns the state after the order. Errors: RevisionConflict where a
// full configuration does not build on the revision in effect, and NoteInvalid
// where its own revision is not above that one or the order is empty.
func (s *State) ApplyOrder(o *Order) (*State, error) {
	switch {
	case o.Configuration != nil:
		return s.replaceConfiguration(o.Configuration)
	case o.Domain != nil:
		return s.withDomain(*o.Domain), nil
	}
	return nil, fault.New(fault.NoteInvalid, "the order is empty")
}

func (s *State) replaceConfiguration(c *FullConfiguration) (*State, error) {
	if c.Base != s.revision {
		return nil, fault.New(fault.RevisionConflict, "the configuration builds on revision %d, revision %d is in force", c.Base, s.revision)
	}
	if c.Revision <= s.revision {
		return nil, fault.New(fault.NoteInvalid, "revision %d is not above revision %d, which is in force", c.Revision, s.revision)
	}
	e := c.Entries
	e.FailureDomains = sortedValues(s.domains)
	e.Targets = sortedValues(s.targets)
	accepted := append(append([]AcceptedRevision(nil), s.accepted...), AcceptedRevision{c.Revision, c.Digest()})
	if len(accepted) > maxAcceptedRevisions {
		accepted = accepted[len(accepted)-maxAcceptedRevisions:]
	}
	return build(storedState{
		Number: s.number + 1, NoteDigest: digestOf(c), Entries: e,
		Revision: c.Revision, Source: c.Source, Accepted: accepted,
	}), nil
}

func (s *State) withDomain(d FailureDomain) *State {
	stored := s.stored()
	stored.Number++
	stored.NoteDigest = digestOf(d)
	// build keeps the last entry of each name.
	stored.Entries.FailureDomains = append(stored.Entries.FailureDomains, d)
	return build(stored)
}
