// Package e2e contains tests that run the system as separate processes on
// loopback. Each test starts its own system and stops its processes by process
// ID.
package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programDir is the directory of the programs under test.
var programDir string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run runs the tests with the programs in the directory TEASELRACK_BIN. If the
// variable is not set, it builds them into a temporary directory.
func run(m *testing.M) int {
	programDir = os.Getenv("TEASELRACK_BIN")
	if programDir != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "teaselrack")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/...", "./emulator/cmd/...")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, out)
		return 1
	}
	programDir = dir
	return m.Run()
}
