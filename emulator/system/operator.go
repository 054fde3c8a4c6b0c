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

// Environment returns the variables that the operators' command reads.
func (l *Layout) Environment() []string {
	return []string{
		"TEASELRACK_REPLICAS=" + strings.Join(l.Replicas(), ","),
		"TEASELRACK_CA=" + l.File("mesh", "ca.pem"),
		"TEASELRACK_CERT=" + l.File("mesh", "operator.pem"),
		"TEASELRACK_KEY=" + l.File("mesh", "operator.key"),
	}
}

// Operate runs the operators' command and returns its standard output.
func (l *Layout) Operate(args ...string) (string, error) {
	return l.operate(l.Environment(), args)
}

func (l *Layout) offline(args ...string) (string, error) { return l.operate(nil, args) }

func (l *Layout) operate(environment, args []string) (string, error) {
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

// AddKey makes a caller's key for a team and keeps it under name.
func (l *Layout) AddKey(name, team string) error {
	out, err := l.offline("key", "new", "--team", team)
	if err != nil {
		return err
	}
	key := CallerKey{Team: team}
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
		return fmt.Errorf("teaselrack key new wrote no key: %q", out)
	}
	l.Keys[name] = key
	return l.Save()
}

// KeyID returns the public id of the key kept under name.
func (l *Layout) KeyID(name string) string {
	_, rest, _ := strings.Cut(l.Keys[name].Line, "sha256:")
	return rest[:16]
}

// WriteNote writes a release note and returns its path.
func (l *Layout) WriteNote(number int, sections string) (string, error) {
	file := l.File(fmt.Sprintf("note-%d.yaml", number))
	text := fmt.Sprintf("number: %d\n%s", number, sections)
	return file, os.WriteFile(file, []byte(text), fileMode)
}

// Apply writes a release note and puts it in force everywhere.
func (l *Layout) Apply(number int, sections string) error {
	file, err := l.WriteNote(number, sections)
	if err != nil {
		return err
	}
	_, err = l.Operate("apply", "--wait", "-f", file)
	return err
}

// Status is the part of the status that the tests look at.
type Status struct {
	Version   uint64 `json:"version"`
	Confirmed bool   `json:"confirmed"`
	InForce   bool   `json:"in_force"`
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

// Status reads the status of the whole system.
func (l *Layout) Status() (Status, error) {
	var status Status
	out, err := l.Operate("status", "--json")
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal([]byte(out), &status)
}

// pollInterval is the time between two looks at a condition.
const pollInterval = 100 * time.Millisecond

// Await looks at a condition until it holds, at most for limit. The condition
// returns nil, or what is missing.
func Await(limit time.Duration, condition func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %v: %w", limit, err)
		}
		time.Sleep(pollInterval)
	}
}
