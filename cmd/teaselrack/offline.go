package main

import (
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/operate"
	"github.com/teaselrack/teaselrack/internal/process/settings"
	"github.com/teaselrack/teaselrack/internal/version"
)

// meshInit creates the mesh's authority.
type meshInit struct {
	global *globalOptions
	Dir    string `long:"dir" default:"mesh" description:"folder for the files"`
	Name   string `long:"name" default:"teaselrack" description:"name of the authority"`
}

// Execute implements flags.Commander.
func (c *meshInit) Execute([]string) error {
	files, err := operate.InitMesh(c.Dir, c.Name, time.Now())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.global.out, "wrote %s and %s; keep the key away from the instances\n", files.Certificate, files.Key)
	return err
}

// meshIssue issues the certificate of one process or operator.
type meshIssue struct {
	global *globalOptions
	Dir    string   `long:"dir" default:"mesh" description:"folder with the authority"`
	Role   string   `long:"role" required:"yes" choice:"daemon" choice:"replica" choice:"operator" description:"what the holder may do"`
	IPs    []string `long:"ip" description:"IP address on which the holder accepts links; may be repeated"`
	Args   struct {
		Name string `positional-arg-name:"NAME" description:"instance name, or the operator's name"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *meshIssue) Execute([]string) error {
	ips := make([]net.IP, 0, len(c.IPs))
	for _, text := range c.IPs {
		ip := net.ParseIP(text)
		if ip == nil {
			return usageError("--ip " + text + " is not an IP address")
		}
		ips = append(ips, ip)
	}
	if len(ips) == 0 && c.Role != string(mesh.Operator) {
		return usageError("a daemon or replica needs at least one --ip")
	}
	files, err := operate.IssueMesh(c.Dir, c.Args.Name, mesh.Role(c.Role), ips, time.Now())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.global.out, "wrote %s and %s\n", files.Certificate, files.Key)
	return err
}

// keyNew generates a caller's key.
type keyNew struct {
	global *globalOptions
	Team   string `long:"team" required:"yes" description:"team that the key belongs to"`
}

// Execute implements flags.Commander.
func (c *keyNew) Execute([]string) error {
	key, err := operate.GenerateKey(c.Team)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.global.out, "secret (shown once): %s\nid: %s\nentry for added.keys in a release note:\n%s\n", key.Secret, key.ID, key.Line)
	return err
}

// check validates a release note or a settings file, without a replica.
type check struct {
	global   *globalOptions
	Settings string `long:"settings" value-name:"FILE" description:"settings file of a daemon"`
	Args     struct {
		Note string `positional-arg-name:"NOTE" description:"release note"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *check) Execute([]string) error {
	switch {
	case (c.Settings == "") == (c.Args.Note == ""):
		return usageError("name one release note, or one settings file with --settings")
	case c.Settings != "":
		return c.checkSettings()
	default:
		return c.checkNote()
	}
}

func (c *check) checkSettings() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.global.out, "%s is valid: instance %s in failure domain %s\n", c.Settings, s.Instance, s.FailureDomain)
	return err
}

func (c *check) checkNote() error {
	text, err := readInput(c.Args.Note)
	if err != nil {
		return err
	}
	note, err := version.ParseNote(text)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.global.out, "%s is valid: note %d, digest %s\n", c.Args.Note, note.Number, note.Digest())
	return err
}

// versionCommand prints the version of this command.
type versionCommand struct {
	global *globalOptions
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	build := "unknown"
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		build = info.Main.Version
		goVersion = info.GoVersion
	}
	_, err := fmt.Fprintf(c.global.out, "teaselrack %s, built with %s\n", build, goVersion)
	return err
}
