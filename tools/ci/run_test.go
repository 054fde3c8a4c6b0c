package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// checkout returns a directory with .ci/run and a Makefile whose steps append their names to
// the file log, and then run the commands of this map.
func checkout(t *testing.T, commands map[string]string) (dir string) {
	dir = t.TempDir()
	script, err := os.ReadFile(filepath.Join("..", "..", ".ci", "run"))
	must.NoError(t, err)
	must.NoError(t, os.MkdirAll(filepath.Join(dir, ".ci"), 0o755))
	must.NoError(t, os.MkdirAll(filepath.Join(dir, "build", "bin"), 0o755))
	must.NoError(t, os.WriteFile(filepath.Join(dir, ".ci", "run"), script, 0o755))
	text := ".PHONY: fmt lint build test demo\n"
	for _, step := range []string{"fmt", "lint", "build", "test", "demo"} {
		text += step + ":\n\t@echo " + step + " >>log\n\t@" + commands[step] + "\n"
	}
	must.NoError(t, os.WriteFile(filepath.Join(dir, "Makefile"), []byte(text), 0o644))
	return dir
}

func run(t *testing.T, dir string) (output, log string, err error) {
	out, err := exec.Command(filepath.Join(dir, ".ci", "run")).CombinedOutput()
	steps, readErr := os.ReadFile(filepath.Join(dir, "log"))
	must.NoError(t, readErr)
	return string(out), string(steps), err
}

// TestFailedStepHidesOthers guards against a step that fails and keeps those after it from
// running. The run fails and names the step.
func TestFailedStepHidesOthers(t *testing.T) {
	for _, failing := range []string{"", "fmt", "lint", "test", "demo"} {
		dir := checkout(t, map[string]string{failing: "false"})
		output, steps, err := run(t, dir)
		must.Eq(t, "fmt\nlint\nbuild\ntest\ndemo\n", steps, must.Sprint(failing))
		if failing == "" {
			must.NoError(t, err, must.Sprint(output))
			continue
		}
		must.Error(t, err)
		must.StrContains(t, output, "failed: make-"+failing+"\n")
	}
}

// TestReadmeCommandsAreChecked guards against commands that the README names first and that
// no check runs.
func TestReadmeCommandsAreChecked(t *testing.T) {
	readme, err := os.ReadFile(filepath.Join("..", "..", "README.md"))
	must.NoError(t, err)
	_, tryIt, found := strings.Cut(string(readme), "\n## Try it\n")
	must.True(t, found)
	commands := regexp.MustCompile(`(?m)^    make (\S+) +#`).FindAllStringSubmatch(tryIt, -1)
	must.Len(t, 2, commands)
	_, steps, err := run(t, checkout(t, nil))
	must.NoError(t, err)
	for _, command := range commands {
		must.SliceContains(t, strings.Fields(steps), command[1])
	}
}

// TestProcessLeftRunning guards against a step that leaves a process of the checkout behind:
// the run fails and names it.
func TestProcessLeftRunning(t *testing.T) {
	sleeper, err := exec.LookPath("sleep")
	must.NoError(t, err)
	program, err := os.ReadFile(sleeper)
	must.NoError(t, err)
	dir := checkout(t, map[string]string{"demo": "true"})
	leftover := filepath.Join(dir, "build", "bin", "sleep")
	must.NoError(t, os.WriteFile(leftover, program, 0o755))
	process := exec.Command(leftover, "600")
	must.NoError(t, process.Start())
	output, _, err := run(t, dir)
	must.NoError(t, process.Process.Kill())
	_ = process.Wait()
	must.Error(t, err)
	must.StrContains(t, output, leftover)
	must.StrContains(t, output, "failed: process-left")
	_, _, err = run(t, dir)
	must.NoError(t, err)
}
