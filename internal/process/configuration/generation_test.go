package configuration

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// domainOrder returns an order that takes failure domain z into or out of service, on top of a
// generation.
func domainOrder(inService bool, generation uint64) *version.Note {
	return &version.Note{Order: &version.Order{Domain: &version.FailureDomain{Name: "z", InService: inService}, IfGeneration: &generation}}
}

// restored returns a state machine with the snapshot of m.
func restored(t must.T, m *Machine) *Machine {
	t.Helper()
	snapshot, err := m.Snapshot()
	must.NoError(t, err)
	other := NewMachine(m.historySize)
	must.NoError(t, other.Restore(snapshot))
	return other
}

// TestOrderIsOutdatedAfterTheNext guards against an order about a failure domain that takes
// effect after a later one, whatever it was that came later.
func TestOrderIsOutdatedAfterTheNext(t *testing.T) {
	later := map[string]*version.Note{
		"order":                       domainOrder(false, 1),
		"order that changes nothing":  domainOrder(true, 1),
		"release note":                {Number: 3, Changed: version.Entries{FailureDomains: []version.FailureDomain{{Name: "z"}}}},
		"release note that withdraws": {Number: 3, Withdrawn: version.WithdrawnNames{FailureDomains: []string{"z"}}},
	}
	for name, next := range later {
		t.Run(name, func(t *testing.T) {
			m := NewMachine(DefaultHistory)
			must.NoError(t, propose(t, m, noteOf(1, "a")).Err())
			must.NoError(t, propose(t, m, domainOrder(true, 0)).Err())
			must.NoError(t, propose(t, m, &version.Note{Number: 2, Added: version.Entries{FailureDomains: []version.FailureDomain{{Name: "z", InService: true}}}}).Err())
			_, generation := m.Domain("z")
			must.Eq(t, uint64(2), generation)
			if next.Order != nil {
				next.Order.IfGeneration = &generation
			}
			must.NoError(t, propose(t, m, next).Err())
			inService, current := m.Domain("z")
			must.Eq(t, generation+1, current)
			for _, replica := range []*Machine{m, restored(t, m)} {
				must.Eq(t, fault.OrderOutdated, propose(t, replica, domainOrder(!inService, generation)).Kind)
				repeat := propose(t, replica, domainOrder(inService, generation))
				must.NoError(t, repeat.Err())
				must.True(t, repeat.Repeated)
				after, last := replica.Domain("z")
				must.Eq(t, inService, after)
				must.Eq(t, current, last, must.Sprint("a repeat outdates nothing"))
				must.Eq(t, replica.State().Number(), m.State().Number())
			}
		})
	}
}

// TestOrdersOfEarlierBuilds checks that a log of a build that knew no generations leads to the
// same generations as a snapshot of that build.
func TestOrdersOfEarlierBuilds(t *testing.T) {
	m := NewMachine(DefaultHistory)
	for _, inService := range []bool{false, true, false} {
		note := domainOrder(inService, 0)
		note.Order.IfGeneration = nil
		must.NoError(t, propose(t, m, note).Err())
	}
	inService, generation := m.Domain("z")
	must.False(t, inService)
	must.Eq(t, uint64(0), generation)
}
