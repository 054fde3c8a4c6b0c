package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/targetlog"
)

// TestSnapshotOfAnEarlierBuild checks that a replica starts from a snapshot without a target
// log, and that one with a target log restores both.
func TestSnapshotOfAnEarlierBuild(t *testing.T) {
	newMachine := func() *stateMachine { return &stateMachine{configuration.NewMachine(4), targetlog.NewMachine()} }
	earlier, err := configuration.NewMachine(4).Snapshot()
	must.NoError(t, err)
	m := newMachine()
	must.NoError(t, m.Restore(earlier))
	command, err := targetlog.Command{Departure: &targetlog.Departure{Instance: "i", Incarnations: []string{"a/1"}}}.Encode(0)
	must.NoError(t, err)
	m.Apply(1, append([]byte{targetLogMarker}, command...))
	snapshot, err := m.Snapshot()
	must.NoError(t, err)
	restored := newMachine()
	must.NoError(t, restored.Restore(snapshot))
	must.Eq(t, []string{"a/1"}, restored.targets.Departed("i"))
	must.Error(t, restored.Restore([]byte{targetLogMarker, 0xff}))
	must.Error(t, restored.Restore(nil))
}
