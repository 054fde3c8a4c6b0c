package configuration

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// noteOf returns a note that adds one team, whose name contains content.
func noteOf(number uint64, content string) *version.Note {
	team := version.Team{Name: fmt.Sprintf("team-%d-%s", number, content), Rate: 1, Burst: 1, Weight: 1}
	return &version.Note{Number: number, Added: version.Entries{Teams: []version.Team{team}}}
}

// propose applies n to m, as after its proposal was committed.
func propose(t must.T, m *Machine, n *version.Note) Result {
	t.Helper()
	command, err := n.Encode()
	must.NoError(t, err)
	r, err := DecodeResult(m.Apply(0, command))
	must.NoError(t, err)
	return r
}

// machineAt returns a state machine that has applied the notes up to number.
func machineAt(t must.T, historySize int, number uint64) *Machine {
	t.Helper()
	m := NewMachine(historySize)
	for i := range number {
		must.NoError(t, propose(t, m, noteOf(i+1, "a")).Err())
	}
	return m
}

func TestMachineReturnsResultOfNote(t *testing.T) {
	accepted := func(number uint64) string { return noteOf(number, "a").Digest() }
	cases := []struct {
		name    string
		number  uint64
		content string
		want    Result
	}{
		{"successor", 6, "b", Result{Number: 6, Digest: noteOf(6, "b").Digest()}},
		{"repeated", 5, "a", Result{Number: 5, Digest: accepted(5), Repeated: true}},
		{"repeated later", 3, "a", Result{Number: 3, Digest: accepted(3), Repeated: true}},
		{"other content", 5, "b", Result{Number: 5, Digest: accepted(5), Kind: fault.NoteConflict}},
		{"other content later", 3, "b", Result{Number: 3, Digest: accepted(3), Kind: fault.NoteConflict}},
		{"no longer kept", 2, "a", Result{Number: 2, Kind: fault.NoteGap}},
		{"gap", 7, "a", Result{Number: 7, Kind: fault.NoteGap}},
		{"no number", 0, "a", Result{Kind: fault.NoteInvalid}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := machineAt(t, 3, 5)
			r := propose(t, m, noteOf(c.number, c.content))
			must.Eq(t, c.want.Kind, fault.KindOf(r.Err()))
			if c.want.Kind == fault.NoteConflict {
				must.StrContains(t, r.Message, c.want.Digest)
			}
			r.Message = ""
			must.Eq(t, c.want, r)
		})
	}
}

func TestARejectedNoteChangesNothing(t *testing.T) {
	m := machineAt(t, 10, 2)
	before := m.State().Digest()
	sameTeam := noteOf(2, "a")
	sameTeam.Number = 3
	must.Eq(t, fault.NoteInvalid, propose(t, m, sameTeam).Kind)
	r, err := DecodeResult(m.Apply(0, []byte("no CBOR")))
	must.NoError(t, err)
	must.Eq(t, fault.NoteInvalid, r.Kind)
	must.Eq(t, before, m.State().Digest())
}

func TestNotesSinceReturnsOnlyMatchingNotes(t *testing.T) {
	m := machineAt(t, 3, 5)
	for number := range uint64(7) {
		state := machineAt(t, 3, number).State()
		notes, ok := m.NotesSince(number, state.Digest())
		must.Eq(t, number >= 2 && number <= 5, ok)
		if ok {
			must.Len(t, int(5-number), notes)
		}
		_, ok = m.NotesSince(number, "other")
		must.False(t, ok)
	}
	digest, ok := m.AcceptedDigest(4)
	must.True(t, ok)
	must.Eq(t, noteOf(4, "a").Digest(), digest)
	_, ok = m.AcceptedDigest(2)
	must.False(t, ok)
}

func TestSnapshotKeepsResultsAndNotes(t *testing.T) {
	m := machineAt(t, 3, 300)
	snapshot, err := m.Snapshot()
	must.NoError(t, err)
	restored := NewMachine(3)
	must.NoError(t, restored.Restore(snapshot))
	must.Eq(t, m.State().Digest(), restored.State().Digest())
	must.True(t, propose(t, restored, noteOf(298, "a")).Repeated)
	must.NoError(t, propose(t, restored, noteOf(301, "a")).Err())
	must.NoError(t, propose(t, m, noteOf(301, "a")).Err())
	must.Eq(t, m.State().Digest(), restored.State().Digest())

	damaged := append([]byte(nil), snapshot...)
	damaged[len(damaged)/2] ^= 1
	must.Eq(t, fault.Damaged, fault.KindOf(restored.Restore(damaged)))
	must.Eq(t, 301, restored.State().Number())
}
