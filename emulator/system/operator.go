package system

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"time"
)

// Environment returns the environment variables that the operators' command
// reads.
func (l *Layout) Environment() []string {
	return []string{
		"TEASELRACK_REPLICAS=" + strings.Join(l.Replicas(), ","),
		"TEASELRACK_CA=" + l.File("mesh", "ca.pem"),
		"TEASELRACK_CERT=" + l.File("mesh", "operator.pem"),
		"TEASELRACK_KEY=" + l.File("mesh", "operator.key"),
	}
}

// RunCLI runs the operators' command (teaselrack) against this system and
// returns its standard output. The error of a failed command contains what it
// wrote to standard output and standard error.
func (l *Layout) RunCLI(args ...string) (string, error) {
	return l.runCLI(l.Environment(), args)
}

// runOfflineCLI runs an operators' command that does not connect to the system.
func (l *Layout) runOfflineCLI(args ...string) (string, error) { return l.runCLI(nil, args) }

func (l *Layout) runCLI(environment, args []string) (string, error) {
	command := exec.Command(l.Program("teaselrack"), args...)
	command.Env = append(os.Environ(), environment...)
	var stdout, stderr bytes.Buffer
	command.Stdout = &stdout
	command.Stderr = &stderr
	if err := command.Run(); err != nil {
		return stdout.String(), fmt.Errorf("teaselrack %s: %w: %s%s", strings.Join(args, " "), err, stdout.String(), stderr.String())
	}
	return stdout.String(), nil
}

// AddKey creates an API key for a team, stores it under name and saves the layout.
func (l *Layout) AddKey(name, team string) error {
	out, err := l.runOfflineCLI("key", "new", "--team", team)
	if err != nil {
		return err
	}
	key := APIKey{Team: team}
	for line := range strings.Lines(out) {
		line = strings.TrimSpace(line)
		if secret, ok := strings.CutPrefix(line, "secret (shown once): "); ok {
			key.Secret = secret
		}
		if strings.HasPrefix(line, "- {") {
			key.Line = line
		}
	}
	if key.Secret == "" || key.Line == "" {
		return fmt.Errorf("no secret or no entry in the output of teaselrack key new: %q", out)
	}
	l.Keys[name] = key
	return l.Save()
}

// KeyID returns the public ID of the API key stored under name: the first 16 hex
// digits of its hash. It panics if there is no such key.
func (l *Layout) KeyID(name string) string {
	_, rest, _ := strings.Cut(l.Keys[name].Line, "sha256:")
	return rest[:16]
}

// WriteNote writes a release note to a file and returns the file's path. sections
// is the YAML text of the note without its number.
func (l *Layout) WriteNote(number int, sections string) (string, error) {
	file := l.File(fmt.Sprintf("note-%d.yaml", number))
	text := fmt.Sprintf("number: %d\n%s", number, sections)
	return file, os.WriteFile(file, []byte(text), fileMode)
}

// Apply writes a release note, applies it and waits until it is in effect on all
// instances. See WriteNote for the parameters.
func (l *Layout) Apply(number int, sections string) error {
	file, err := l.WriteNote(number, sections)
	if err != nil {
		return err
	}
	_, err = l.RunCLI("apply", "--wait", "-f", file)
	return err
}

// Status is a part of the output of "teaselrack status --json".
type Status struct {
	Version   uint64 `json:"version"`
	Confirmed bool   `json:"confirmed"`
	InEffect  bool   `json:"in_force"`
	Replicas  []struct {
		Address string `json:"address"`
		Error   string `json:"error"`
		Groups  []struct {
			ID      string `json:"id"`
			Group   string `json:"group"`
			Role    string `json:"role"`
			Members []struct {
				ID      string `json:"id"`
				Address string `json:"address"`
				Learner bool   `json:"learner"`
			} `json:"members"`
		} `json:"groups"`
	} `json:"replicas"`
	Daemons []struct {
		Instance string `json:"instance"`
		Version  uint64 `json:"version"`
		Targets  []struct {
			Service string `json:"service"`
			State   string `json:"state"`
		} `json:"targets"`
	} `json:"daemons"`
}

// Status runs "teaselrack status" and returns the status of the system.
func (l *Layout) Status() (Status, error) {
	var status Status
	out, err := l.RunCLI("status", "--json")
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal([]byte(out), &status)
}

// pollInterval is the time between two evaluations of a condition.
const pollInterval = 100 * time.Millisecond

// Await polls a condition until it returns nil. After the timeout it returns an
// error that wraps the last error of the condition.
func Await(timeout time.Duration, condition func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %v: %w", timeout, err)
		}
		time.Sleep(pollInterval)
	}
}
