package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Snapshot is the state of a Table in the form that is stored.
type Snapshot struct {
	ListVersion uint64             `cbor:"1,keyasint,omitempty"`
	Reports     []storedReport     `cbor:"2,keyasint,omitempty"`
	Verdicts    map[uint64]verdict `cbor:"3,keyasint,omitempty"`
}

type storedReport struct {
	Incarnation string        `cbor:"1,keyasint"`
	Received    time.Duration `cbor:"2,keyasint"`
	Suspects    []uint64      `cbor:"3,keyasint,omitempty"`
	Familiar    []uint64      `cbor:"4,keyasint,omitempty"`
	Cleared     []uint64      `cbor:"5,keyasint,omitempty"`
}

// Snapshot returns a copy of the state. Equal states have equal copies.
func (t *Table) Snapshot() Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Snapshot{ListVersion: t.listVersion, Verdicts: maps.Clone(t.verdicts)}
	for _, incarnation := range slices.Sorted(maps.Keys(t.reports)) {
		r := t.reports[incarnation]
		s.Reports = append(s.Reports, storedReport{
			incarnation, r.received, slices.Sorted(maps.Keys(r.suspects)), slices.Sorted(maps.Keys(r.familiar)), slices.Sorted(maps.Keys(r.cleared)),
		})
	}
	return s
}

// Restore replaces the state.
func (t *Table) Restore(s Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	t.listVersion = s.ListVersion
	t.verdicts = make(map[uint64]verdict)
	maps.Copy(t.verdicts, s.Verdicts)
	t.reports, t.suspected = make(map[string]*report), make(map[uint64]int)
	for _, stored := range s.Reports {
		r := &report{suspects: setOf(stored.Suspects), familiar: setOf(stored.Familiar), cleared: setOf(stored.Cleared), received: stored.Received}
		t.reports[stored.Incarnation] = r
		for content := range r.suspects {
			t.suspected[content]++
		}
	}
}

func setOf(contents []uint64) map[uint64]bool {
	set := make(map[uint64]bool, len(contents))
	for _, content := range contents {
		set[content] = true
	}
	return set
}
