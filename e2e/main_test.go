// Package e2e holds tests that run the system as separate processes on
// loopback. Each test starts its own system and stops it by process id.
package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programs is the folder of the programs under test.
var programs string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run uses the programs in TEASELRACK_BIN, or builds them.
func run(m *testing.M) int {
	programs = os.Getenv("TEASELRACK_BIN")
	if programs != "" {
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
	programs = dir
	return m.Run()
}
