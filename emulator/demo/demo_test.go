package demo

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// checkout is a directory with the scripts of the demo and stand-ins for its programs.
type checkout struct {
	t   *testing.T
	dir string
}

// newCheckout returns a checkout whose layout program lists these processes, and whose demo
// program ends with this result.
func newCheckout(t *testing.T, processes string, result int) *checkout {
	c := &checkout{t: t, dir: t.TempDir()}
	scripts, err := filepath.Glob("*.sh")
	must.NoError(t, err)
	for _, name := range scripts {
		text, err := os.ReadFile(name)
		must.NoError(t, err)
		c.write("emulator/demo/"+name, string(text))
	}
	c.write("build/bin/layout", "#!/bin/sh\ncat >build/demo/processes <<END\n"+processes+"END\n")
	c.write("build/bin/demo", fmt.Sprintf("#!/bin/sh\nexit %d\n", result))
	c.copyProgram("sleep")
	c.copyProgram("ls")
	return c
}

func (c *checkout) write(name, text string) {
	file := filepath.Join(c.dir, name)
	must.NoError(c.t, os.MkdirAll(filepath.Dir(file), 0o755))
	must.NoError(c.t, os.WriteFile(file, []byte(text), 0o755))
}

// copyProgram copies a program of the system to build/bin.
func (c *checkout) copyProgram(name string) {
	file, err := exec.LookPath(name)
	must.NoError(c.t, err)
	program, err := os.ReadFile(file)
	must.NoError(c.t, err)
	c.write("build/bin/"+name, string(program))
}

// start starts a program in the checkout, as the demo does. It is killed at the end of the
// test.
func (c *checkout) start(program string) (pid int) {
	process := exec.Command(program, "600")
	process.Dir = c.dir
	must.NoError(c.t, process.Start())
	c.t.Cleanup(func() { _ = process.Process.Kill() })
	go func() { _ = process.Wait() }()
	return process.Process.Pid
}

// run runs one of the scripts.
func (c *checkout) run(script string) (output string, err error) {
	out, err := exec.Command(filepath.Join(c.dir, "emulator", "demo", script)).CombinedOutput()
	return string(out), err
}

func isRunning(pid int) bool {
	return exec.Command("ps", "-p", fmt.Sprint(pid)).Run() == nil
}

const twoProcesses = "target-a build/bin/sleep 600\ndaemon-a build/bin/sleep 601\n"

// TestDemoStopsWhatItStarted checks a run in an empty checkout, and one of a demo that fails.
func TestDemoStopsWhatItStarted(t *testing.T) {
	for _, result := range []int{0, 1} {
		c := newCheckout(t, twoProcesses, result)
		output, err := c.run("demo.sh")
		must.Eq(t, result == 0, err == nil, must.Sprint(output))
		must.StrContains(t, output, "all processes stopped, none had to be killed")
		must.StrNotContains(t, output, "has ended")
		must.FileNotExists(t, filepath.Join(c.dir, "build", "demo", "pids"))
	}
}

// TestFilesOfAnEarlierDemo guards against a demo that does not start because of the files of
// an earlier one: its processes have ended, and the ID of one belongs to another program,
// which must not be stopped.
func TestFilesOfAnEarlierDemo(t *testing.T) {
	for _, script := range []string{"demo.sh", "up.sh"} {
		c := newCheckout(t, twoProcesses, 0)
		other := c.start("sleep")
		c.write("build/demo/pids", fmt.Sprintf("%d daemon-a\n999999999 target-a\nx\n", other))
		c.write("build/demo/left", "")
		output, err := c.run(script)
		must.NoError(t, err, must.Sprint(output))
		must.True(t, isRunning(other))
		must.FileNotExists(t, filepath.Join(c.dir, "build", "demo", "left"))
		_, err = c.run("down.sh")
		must.NoError(t, err)
	}
}

// TestDemoBesideARunningSystem checks that the demo does not start while a daemon of an
// earlier one runs, and says how to stop it.
func TestDemoBesideARunningSystem(t *testing.T) {
	for _, script := range []string{"demo.sh", "up.sh"} {
		c := newCheckout(t, twoProcesses, 0)
		daemon := c.start("build/bin/sleep")
		c.write("build/demo/pids", fmt.Sprintf("999999999 target-a\n%d daemon-a\n", daemon))
		output, err := c.run(script)
		must.Error(t, err)
		must.StrContains(t, output, "the demo system is running already; stop it with: make down")
		must.True(t, isRunning(daemon))
		_, err = c.run("down.sh")
		must.NoError(t, err)
		must.False(t, isRunning(daemon))
		_, err = c.run("demo.sh")
		must.NoError(t, err)
	}
}

// TestDemoWithoutFreePorts checks that nothing is started if the system cannot be laid out.
func TestDemoWithoutFreePorts(t *testing.T) {
	c := newCheckout(t, twoProcesses, 0)
	c.write("build/bin/layout", "#!/bin/sh\necho 'not enough free loopback ports' >&2\nexit 1\n")
	output, err := c.run("demo.sh")
	must.Error(t, err)
	must.Eq(t, "not enough free loopback ports\n", output)
	must.FileNotExists(t, filepath.Join(c.dir, "build", "demo", "pids"))
}

// TestProcessThatEndedIsNamed guards against a failed demo that does not tell its cause: a
// process could not listen on its port and has ended.
func TestProcessThatEndedIsNamed(t *testing.T) {
	for _, script := range []string{"demo.sh", "up.sh"} {
		c := newCheckout(t, "target-a build/bin/sleep 600\ndaemon-a build/bin/ls ./absent\n", 1)
		c.write("build/bin/demo", "#!/bin/sh\nwhile ps -o args= -p $(tail -n 1 build/demo/pids | cut -d' ' -f1) | grep -q ^build; do sleep 0.1; done\nexit 1\n")
		output, err := c.run(script)
		must.Error(t, err)
		must.StrContains(t, output, "daemon-a has ended: ")
		must.StrContains(t, output, "./absent")
		must.False(t, strings.Contains(output, "target-a has ended"))
		must.StrContains(t, output, "the logs are in build/demo/log")
	}
}
