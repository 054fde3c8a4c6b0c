package e2e

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/emulator/system"
)

// TestRacingOperators guards against two accepted notes with the same number.
// Several operators concurrently apply different notes with one number, each of
// them twice, as after a lost response. Exactly one note must be accepted. The
// second attempt of its operator reports that the note was accepted before. The
// other operators get note_conflict both times.
func TestRacingOperators(t *testing.T) {
	h := start(t, nil)
	const operators = 4
	for number := 2; number <= 4; number++ {
		var race sync.WaitGroup
		var outs [operators][2]string
		var errs [operators][2]error
		for o := range operators {
			file := h.File(fmt.Sprintf("race-%d-%d.yaml", number, o))
			note := fmt.Sprintf("number: %d\nadded:\n  teams: [{name: race-%d-%d, rate: 1, burst: 1}]\n", number, number, o)
			must.NoError(t, os.WriteFile(file, []byte(note), 0o600))
			race.Go(func() {
				for attempt := range 2 {
					outs[o][attempt], errs[o][attempt] = h.RunCLI("apply", "-f", file)
				}
			})
		}
		race.Wait()
		accepted := 0
		for o := range operators {
			if errs[o][0] == nil {
				accepted++
				must.NoError(t, errs[o][1])
				must.StrContains(t, outs[o][1], "accepted before")
				continue
			}
			must.StrContains(t, errs[o][0].Error(), "note_conflict")
			must.StrContains(t, errs[o][1].Error(), "note_conflict")
		}
		must.Eq(t, 1, accepted, must.Sprintf("accepted variants of note %d", number))
	}
	export, err := h.RunCLI("export")
	must.NoError(t, err)
	for number := 2; number <= 4; number++ {
		must.Eq(t, 1, strings.Count(export, fmt.Sprintf("race-%d-", number)))
	}
}

// TestExportIsAValidNote checks that the exported configuration is a valid
// release note and contains no API key.
func TestExportIsAValidNote(t *testing.T) {
	h := start(t, nil)
	export, err := h.RunCLI("export")
	must.NoError(t, err)
	file := h.File("export.yaml")
	must.NoError(t, os.WriteFile(file, []byte(export), 0o600))
	_, err = h.RunCLI("check", file)
	must.NoError(t, err)
	must.StrNotContains(t, export, h.Keys["A"].Secret)
}

// TestRejectedNotesChangeNothing guards against invalid notes that are applied in
// part. Each note must be rejected as a whole. The configuration must stay the
// same, and requests must still run.
func TestRejectedNotesChangeNothing(t *testing.T) {
	h := start(t, nil)
	before, err := h.RunCLI("export")
	must.NoError(t, err)
	cases := []struct {
		name, note, want string
	}{
		{"gap", "number: 3\n", "note_gap"},
		{"unknown field", "number: 2\nremoved: {}\n", "note_invalid"},
		{"partly valid", "number: 2\nadded:\n  teams: [{name: good, rate: 1, burst: 1}]\n  keys: [{team: nobody, hash: \"sha256:" + strings.Repeat("ab", 32) + "\"}]\n", "note_invalid"},
		{"unknown team withdrawn", "number: 2\nwithdrawn:\n  teams: [nobody]\n", "note_invalid"},
		{"not YAML", "number: [", "note_invalid"},
		{"oversized", "number: 2\ncomment: " + strings.Repeat("x", 2<<20) + "\n", "note_invalid"},
	}
	for _, tc := range cases {
		file := h.File("refused.yaml")
		must.NoError(t, os.WriteFile(file, []byte(tc.note), 0o600))
		_, err := h.RunCLI("apply", "-f", file)
		must.Error(t, err, must.Sprint(tc.name))
		must.StrContains(t, err.Error(), tc.want, must.Sprint(tc.name))
	}
	after, err := h.RunCLI("export")
	must.NoError(t, err)
	must.Eq(t, before, after)
	response := h.do(system.Request{Ingress: h.Instances[0].Ingress, Method: "GET", Path: "/slots?after", Key: h.Keys["A"].Secret})
	must.Eq(t, 200, response.Status)
}
