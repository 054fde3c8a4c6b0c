package e2e

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/emulator/system"
)

// TestRestartAfterHundredsOfChanges guards against lost or changed configuration
// after a restart from the data directories. It applies hundreds of notes, kills
// all daemons with SIGKILL and starts them again. The export is the same as
// before, a new note is accepted, and requests run.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	h := start(t, nil)
	const lastNote = 300
	file := h.File("change.yaml")
	for number := 2; number <= lastNote; number++ {
		note := fmt.Sprintf("number: %d\nadded:\n  teams: [{name: team-%d, rate: 1, burst: 1}]\n", number, number)
		if number > 2 {
			note += fmt.Sprintf("withdrawn:\n  teams: [team-%d]\n", number-1)
		}
		must.NoError(t, os.WriteFile(file, []byte(note), 0o600))
		_, err := h.RunCLI("apply", "-f", file)
		must.NoError(t, err)
	}
	before, err := h.RunCLI("export")
	must.NoError(t, err)
	must.Eq(t, 1, strings.Count(before, "name: team-"))
	for _, i := range h.Instances {
		h.kill(i.Name)
	}
	for _, i := range h.Instances {
		h.launchDaemon(i.Name)
	}
	var after string
	must.NoError(t, system.Await(settleTimeout, func() error {
		var err error
		after, err = h.RunCLI("export")
		return err
	}))
	must.Eq(t, before, after)
	must.NoError(t, h.Apply(lastNote+1, "comment: after the restart\n"))
	must.NoError(t, system.Await(settleTimeout, func() error {
		response := h.do(system.Request{Ingress: h.Instances[0].Ingress, Method: "GET", Path: "/slots?again", Key: h.Keys["A"].Secret})
		if response.Status != 200 {
			return fmt.Errorf("%s", response)
		}
		return nil
	}))
}
