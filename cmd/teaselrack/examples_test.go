package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/version"
)

const examples = "../../examples"

// TestExampleSettings checks the example settings of each role with the operators'
// command, using certificates issued as documented.
func TestExampleSettings(t *testing.T) {
	dir := t.TempDir()
	command := func(args ...string) {
		t.Helper()
		var stdout, stderr bytes.Buffer
		must.Eq(t, exitOK, run(args, &stdout, &stderr), must.Sprint(stderr.String()))
	}
	mesh := filepath.Join(dir, "mesh")
	command("mesh", "init", "--dir", mesh)
	command("mesh", "issue", "--dir", mesh, "--role", "replica", "--ip", "10.0.0.1", "tides-1")
	command("mesh", "issue", "--dir", mesh, "--role", "daemon", "--ip", "10.0.0.2", "tides-2")
	for _, name := range []string{"daemon.yaml", "replica.yaml"} {
		text, err := os.ReadFile(filepath.Join(examples, name))
		must.NoError(t, err)
		file := filepath.Join(dir, name)
		must.NoError(t, os.WriteFile(file, text, 0o600))
		command("check", "--settings", file)
	}
}

// TestExampleNotes applies the example notes in sequence.
func TestExampleNotes(t *testing.T) {
	state := version.Initial()
	for _, name := range []string{"release-note.yaml", "release-note-2.yaml"} {
		text, err := os.ReadFile(filepath.Join(examples, name))
		must.NoError(t, err)
		note, err := version.ParseNote(text)
		must.NoError(t, err)
		state, err = state.Apply(note)
		must.NoError(t, err)
	}
	must.Eq(t, 2, state.Number())
	must.False(t, state.DomainInService("split-b"))
}
