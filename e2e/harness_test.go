package e2e

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/emulator/system"
)

const (
	// stopTimeout limits the graceful shutdown of one process.
	stopTimeout = 20 * time.Second
	// logTailBytes is the number of bytes at the end of each log that a failed test
	// prints.
	logTailBytes = 3000
)

// harness runs the processes of one system.
type harness struct {
	*system.Layout
	t         *testing.T
	processes map[string]*process
	client    *system.Client
}

// process is one started program.
type process struct {
	command *exec.Cmd
	// done is closed after the process has exited.
	done chan struct{}
	// stopped is true if the test itself stops or kills the process. stopAll skips
	// such a process.
	stopped bool
}

// start writes the files of the demo system, starts its processes, founds the
// replica groups and applies the first release note. If adjust is not nil, it may
// change the layout before the settings are written.
func start(t *testing.T, adjust func(*system.Layout)) *harness {
	t.Helper()
	l, err := system.New(t.TempDir(), programDir, system.DemoSpecs())
	must.NoError(t, err)
	must.NoError(t, l.AddKey("A", "obala"))
	must.NoError(t, l.AddKey("B", "sidro"))
	if adjust != nil {
		adjust(l)
	}
	h := &harness{Layout: l, t: t, processes: make(map[string]*process), client: system.NewClient()}
	t.Cleanup(h.stopAll)
	for _, i := range l.Instances {
		must.NoError(t, l.WriteSettings(i))
		h.launch(targetProcess(i.Name), l.TargetCommand(i))
	}
	for _, i := range l.Instances {
		h.launchDaemon(i.Name)
	}
	must.NoError(t, l.Found())
	must.NoError(t, l.Apply(1, l.FirstNote()))
	return h
}

func targetProcess(name string) string { return "target-" + name }

func (h *harness) launchDaemon(name string) {
	h.t.Helper()
	h.launch(name, h.DaemonCommand(*h.Instance(name)))
}

// launch starts a process. Its standard output and standard error are appended to
// the file NAME.log.
func (h *harness) launch(name string, command []string) {
	h.t.Helper()
	log, err := os.OpenFile(h.File(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(h.t, err)
	defer func() { _ = log.Close() }()
	p := &process{command: exec.Command(command[0], command[1:]...), done: make(chan struct{})}
	p.command.Stdout = log
	p.command.Stderr = log
	must.NoError(h.t, p.command.Start())
	h.processes[name] = p
	go func() {
		_ = p.command.Wait()
		close(p.done)
	}()
}

func (h *harness) signal(name string, sig syscall.Signal) {
	h.t.Helper()
	must.NoError(h.t, h.processes[name].command.Process.Signal(sig))
}

// freeze sends SIGSTOP to a process and returns once all its threads have
// stopped. The signal alone does not stop them at once: on a busy machine some
// run on for a while, and may still serve a request that is sent right after it.
func (h *harness) freeze(name string) {
	h.t.Helper()
	h.signal(name, syscall.SIGSTOP)
	pid := h.processes[name].command.Process.Pid
	must.NoError(h.t, system.Await(settleTimeout, func() error { return checkThreadsStopped(pid) }))
}

// checkThreadsStopped returns an error if a thread of the process is not in the
// state stopped, as the third field of /proc/PID/task/TID/stat shows it.
func checkThreadsStopped(pid int) error {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return fmt.Errorf("process %d has no threads", pid)
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		// The second field is the name in parentheses and may contain spaces.
		if end := bytes.LastIndex(stat, []byte(") ")); end < 0 || !bytes.HasPrefix(stat[end+2:], []byte("T")) {
			return fmt.Errorf("a thread has not stopped: %s", stat)
		}
	}
	return nil
}

// kill ends a process with SIGKILL and waits until it has exited.
func (h *harness) kill(name string) {
	h.t.Helper()
	h.processes[name].stopped = true
	h.signal(name, syscall.SIGKILL)
	<-h.processes[name].done
}

// terminate sends SIGTERM to a process and returns its exit code. If the process
// does not exit within stopTimeout, terminate kills it and returns -1.
func (h *harness) terminate(name string) int {
	p := h.processes[name]
	p.stopped = true
	_ = p.command.Process.Signal(syscall.SIGTERM)
	return p.wait()
}

// wait returns the exit code of the process. If the process does not exit within
// stopTimeout, wait kills it and returns -1.
func (p *process) wait() int {
	select {
	case <-p.done:
		return p.command.ProcessState.ExitCode()
	case <-time.After(stopTimeout):
		_ = p.command.Process.Kill()
		<-p.done
		return -1
	}
}

// stopAll stops the processes that still run, daemons first. The test fails if a
// process has exited by itself before, does not stop with exit code 0, or has
// logged an API key.
func (h *harness) stopAll() {
	h.client.Close()
	var daemons, targets []string
	for _, i := range h.Instances {
		daemons = append(daemons, i.Name)
		targets = append(targets, targetProcess(i.Name))
	}
	h.stopTogether(daemons)
	h.stopTogether(targets)
	h.searchLogs()
	if h.t.Failed() {
		h.showLogs()
	}
}

// searchLogs fails the test if a log contains the secret of an API key.
func (h *harness) searchLogs() {
	for name := range h.processes {
		text, err := os.ReadFile(h.File(name + ".log"))
		must.NoError(h.t, err)
		for _, key := range h.Keys {
			must.False(h.t, bytes.Contains(text, []byte(key.Secret)), must.Sprintf("the log of %s contains an API key", name))
		}
	}
}

// stopTogether sends SIGTERM to all of the named processes that still run, and
// then waits for each of them.
func (h *harness) stopTogether(names []string) {
	var stopping []string
	for _, name := range names {
		p, started := h.processes[name]
		if !started || p.stopped {
			continue
		}
		select {
		case <-p.done:
			h.t.Errorf("%s exited before it was stopped: %v", name, p.command.ProcessState)
			continue
		default:
		}
		// A process that the test has frozen must continue before it can handle
		// SIGTERM.
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Signal(syscall.SIGTERM)
		stopping = append(stopping, name)
	}
	for _, name := range stopping {
		if code := h.processes[name].wait(); code != 0 {
			h.t.Errorf("%s stopped with exit code %d", name, code)
		}
	}
}

func (h *harness) showLogs() {
	for name := range h.processes {
		text, err := os.ReadFile(h.File(name + ".log"))
		if err != nil || len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		h.t.Logf("log of %s:\n%s", name, text[max(0, len(text)-logTailBytes):])
	}
}

// do sends one request and fails the test if there is no response.
func (h *harness) do(request system.Request) system.Response {
	h.t.Helper()
	response, err := h.client.Do(request)
	must.NoError(h.t, err)
	return response
}

// settleTimeout limits the time until the system recovers after a failure.
const settleTimeout = 20 * time.Second

var errNoLeader = errors.New("no replica leads the configuration group")

// leader waits until the configuration group has a leader, and returns the name
// of its instance.
func (h *harness) leader() string {
	h.t.Helper()
	var name string
	must.NoError(h.t, system.Await(settleTimeout, func() error {
		status, err := h.Status()
		if err != nil {
			return err
		}
		if name = h.leaderIn(status); name == "" {
			return errNoLeader
		}
		return nil
	}))
	return name
}

// leaderIn returns the name of the instance that leads the first group, which is
// the configuration group, or "" if the status shows no leader.
func (h *harness) leaderIn(status system.Status) string {
	for _, replica := range status.Replicas {
		if len(replica.Groups) > 0 && replica.Groups[0].Role == "leader" {
			return h.instanceAtControl(replica.Address)
		}
	}
	return ""
}

// instanceAtControl returns the name of the instance with this control address, or
// "" if there is none.
func (h *harness) instanceAtControl(address string) string {
	for _, i := range h.Instances {
		if i.Control == address {
			return i.Name
		}
	}
	return ""
}
