package targetlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

func depart(t *testing.T, m *Machine, now time.Duration, instance string, incarnations ...string) {
	t.Helper()
	command, err := Command{Departure: &Departure{instance, incarnations}}.Encode(now)
	must.NoError(t, err)
	must.Nil(t, m.Apply(0, command))
}

// TestDeparturesAreBounded checks that departures are kept for departureTTL, and not more of
// them than the bounds say, the newest ones.
func TestDeparturesAreBounded(t *testing.T) {
	m := NewMachine()
	depart(t, m, time.Second, "i", "a/1", "b/1")
	depart(t, m, 2*time.Second, "i", "a/1")
	must.Eq(t, []string{"b/1", "a/1"}, m.Departed("i"))
	depart(t, m, time.Second+departureTTL, "j", "c/1")
	must.Eq(t, []string{"a/1"}, m.Departed("i"))
	for n := range 2 * maxDepartures {
		depart(t, m, m.Now(), "i", fmt.Sprint("d/", n))
	}
	must.SliceLen(t, maxDepartures, m.Departed("i"))
	must.Eq(t, fmt.Sprint("d/", 2*maxDepartures-1), m.Departed("i")[maxDepartures-1])
	for n := range maxInstances {
		depart(t, m, m.Now()+time.Millisecond, fmt.Sprint("k", n), "e/1")
	}
	must.MapLen(t, maxInstances, m.departures)
	must.SliceEmpty(t, m.Departed("j"))
	must.Eq(t, []string{"e/1"}, m.Departed("k0"))
	depart(t, m, m.Now()+departureTTL, "i", "f/1")
	must.MapLen(t, 1, m.departures)
}

// TestSnapshotOfTheTargetLog checks that a restored state is the same, that an odd snapshot
// changes nothing, and that an odd command does not either.
func TestSnapshotOfTheTargetLog(t *testing.T) {
	m := NewMachine()
	depart(t, m, time.Minute, "i", "a/1")
	must.Nil(t, m.Apply(0, []byte("no CBOR")))
	snapshot, err := m.Snapshot()
	must.NoError(t, err)
	restored := NewMachine()
	must.NoError(t, restored.Restore(snapshot))
	must.Error(t, restored.Restore([]byte("no CBOR")))
	again, err := restored.Snapshot()
	must.NoError(t, err)
	must.Eq(t, snapshot, again)
	must.Eq(t, time.Minute, restored.Now())
	empty, err := NewMachine().Snapshot()
	must.NoError(t, err)
	must.NoError(t, restored.Restore(empty))
	depart(t, restored, 0, "i", "a/1")
}

// TestSnapshotAtTheDesignSize bounds the snapshot of a day of the design size: 420 targets
// leave, and 8 crash with 100 suspects each.
func TestSnapshotAtTheDesignSize(t *testing.T) {
	m := NewMachine()
	for n := range 420 {
		depart(t, m, time.Duration(n)*time.Millisecond, fmt.Sprint("daemon-", n), fmt.Sprintf("i-%010d/1775281379300", n))
	}
	for n := range 8 {
		c := protocol.CrashReport{Incarnation: fmt.Sprintf("i-%010d/1775281379300", n)}
		for i := range 100 {
			c.Suspects = append(c.Suspects, uint64(n*100+i)<<40)
		}
		command, err := Command{Crashes: []protocol.CrashReport{c}}.Encode(m.Now())
		must.NoError(t, err)
		must.LessEq(t, 1<<10, len(command), must.Sprint("one crash in the log"))
		m.Apply(0, command)
	}
	snapshot, err := m.Snapshot()
	must.NoError(t, err)
	t.Logf("%d bytes", len(snapshot))
	must.LessEq(t, 64<<10, len(snapshot))
}
