package quarantine

// contentSetSlots is the number of slots of a contentSet. Each fingerprint has one slot
// that it may have.
const contentSetSlots = 8192

// contentSet remembers fingerprints in bounded memory: one is forgotten when another that
// has the same slot is added. The zero value is empty.
type contentSet struct {
	slots *[contentSetSlots]Fingerprint
}

func (s *contentSet) add(content Fingerprint) {
	if s.slots == nil {
		s.slots = new([contentSetSlots]Fingerprint)
	}
	s.slots[content%contentSetSlots] = content
}

func (s *contentSet) has(content Fingerprint) bool {
	return s.slots != nil && s.slots[content%contentSetSlots] == content
}
