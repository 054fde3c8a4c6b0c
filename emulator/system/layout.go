package system

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

const fileMode = 0o600

// Spec says what a system consists of.
type Spec struct {
	Name    string
	Service string
	Domain  string
	// Replica gives the daemon the control role.
	Replica bool
	// Slots is what the stand-in target bears at once.
	Slots int
}

// Instance is one daemon with the stand-in target beside it.
type Instance struct {
	Spec
	Ingress, Peer, Control, Egress, Announce, Operators string
	// Target is where the stand-in serves, Admin where it shows its record.
	Target, Admin string
	// AdvertisedPeer is the peer address as others use it, where it differs.
	AdvertisedPeer string
	// ControlVia replaces the control replicas' addresses in the settings.
	ControlVia []string
}

// Layout is a whole system on loopback: addresses, files and commands.
type Layout struct {
	// Dir holds all files, Bin the programs.
	Dir       string
	Bin       string
	Instances []Instance
	// Keys holds the secrets of the callers' keys by name, such as "A".
	Keys map[string]CallerKey
	// Calls are the onward calls of the stand-in targets, "FROM=TO".
	Calls []string
}

// CallerKey is a caller's key.
type CallerKey struct {
	Team   string
	Secret string
	// Line is its entry in a release note.
	Line string
}

// Demo is the system of the demo: three services in two failure domains, with
// three of six daemons as control replicas.
func Demo() []Spec {
	return []Spec{
		{"tides-1", "tides", "split-a", true, 16},
		{"tides-2", "tides", "split-b", true, 16},
		{"blagajna-1", "blagajna", "split-a", true, 16},
		{"blagajna-2", "blagajna", "split-b", false, 16},
		{"oprema-1", "oprema", "split-a", false, 16},
		{"oprema-2", "oprema", "split-b", false, 16},
	}
}

// New lays the system out in dir, which must exist, and writes certificates,
// keys and settings. bin is the folder of the programs.
func New(dir, bin string, specs []Spec) (*Layout, error) {
	l := &Layout{Dir: dir, Bin: bin, Keys: make(map[string]CallerKey)}
	l.Calls = []string{"/slots=/prices", "/prices=/stock", "/book=/pay", "/pay=/gear"}
	ports, err := freeAddresses(len(specs) * portsEach)
	if err != nil {
		return nil, err
	}
	for i, spec := range specs {
		l.Instances = append(l.Instances, newInstance(spec, ports[i*portsEach:]))
	}
	if err := l.writeMesh(); err != nil {
		return nil, err
	}
	for _, i := range l.Instances {
		if err := l.WriteSettings(i); err != nil {
			return nil, err
		}
	}
	return l, l.Save()
}

func newInstance(spec Spec, ports []string) Instance {
	i := Instance{Spec: spec}
	i.Ingress, i.Peer, i.Egress, i.Announce = ports[0], ports[1], ports[2], ports[3]
	i.Operators, i.Target, i.Admin = ports[4], ports[5], ports[6]
	if spec.Replica {
		i.Control = ports[7]
	}
	return i
}

// Replicas are the control addresses of the control replicas.
func (l *Layout) Replicas() []string {
	var addresses []string
	for _, i := range l.Instances {
		if i.Replica {
			addresses = append(addresses, i.Control)
		}
	}
	return addresses
}

// Instance returns the instance with this name. It panics where there is none.
func (l *Layout) Instance(name string) *Instance {
	for i := range l.Instances {
		if l.Instances[i].Name == name {
			return &l.Instances[i]
		}
	}
	panic("no instance " + name)
}

// File returns the path of a file of the layout.
func (l *Layout) File(parts ...string) string {
	return filepath.Join(append([]string{l.Dir}, parts...)...)
}

// Program returns the path of a program.
func (l *Layout) Program(name string) string { return filepath.Join(l.Bin, name) }

func (l *Layout) writeMesh() error {
	mesh := l.File("mesh")
	if _, err := l.offline("mesh", "init", "--dir", mesh); err != nil {
		return err
	}
	if _, err := l.offline("mesh", "issue", "--dir", mesh, "--role", "operator", "operator"); err != nil {
		return err
	}
	for _, i := range l.Instances {
		role := "daemon"
		if i.Replica {
			role = "replica"
		}
		if _, err := l.offline("mesh", "issue", "--dir", mesh, "--role", role, "--ip", "127.0.0.1", i.Name); err != nil {
			return err
		}
	}
	return nil
}

// WriteSettings writes the settings file and the data folder of one daemon.
func (l *Layout) WriteSettings(i Instance) error {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("instance: %s", i.Name)
	line("failure_domain: %s", i.Domain)
	line("region: coast")
	line("mesh: {authority: mesh/ca.pem, certificate: mesh/%s.pem, key: mesh/%s.key}", i.Name, i.Name)
	line("listen:")
	line("  ingress: %s", i.Ingress)
	line("  peer: %s", i.Peer)
	line("  egress: %s", i.Egress)
	line("  announce: %s", i.Announce)
	line("  operators: %s", i.Operators)
	if i.Replica {
		line("  control: %s", i.Control)
		line("control: {enabled: true}")
		line("data: data-%s", i.Name)
	}
	if i.AdvertisedPeer != "" {
		line("advertise: {peer: %s}", i.AdvertisedPeer)
	}
	replicas := l.Replicas()
	if len(i.ControlVia) > 0 {
		replicas = i.ControlVia
	}
	line("replicas: [%s]", strings.Join(replicas, ", "))
	line("log: {format: json, level: info}")
	return os.WriteFile(l.settingsFile(i), []byte(b.String()), fileMode)
}

func (l *Layout) settingsFile(i Instance) string { return l.File(i.Name + ".yaml") }

// DaemonCommand is the command line of a daemon.
func (l *Layout) DaemonCommand(i Instance) []string {
	return []string{l.Program("teaselrackd"), "--settings", l.settingsFile(i)}
}

// TargetCommand is the command line of the stand-in target beside a daemon.
func (l *Layout) TargetCommand(i Instance) []string {
	command := []string{
		l.Program("standin"), "-name", i.Name, "-service", i.Service,
		"-listen", i.Target, "-admin", i.Admin, "-announce", i.Announce, "-egress", i.Egress,
		"-slots", fmt.Sprint(i.Slots),
	}
	for _, call := range l.Calls {
		command = append(command, "-call", call)
	}
	return command
}

const layoutFile = "layout.json"

// Save writes the layout for Open.
func (l *Layout) Save() error {
	b, err := json.MarshalIndent(l, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(l.File(layoutFile), b, fileMode)
}

// Open reads the layout that New wrote to dir.
func Open(dir string) (*Layout, error) {
	b, err := os.ReadFile(filepath.Join(dir, layoutFile))
	if err != nil {
		return nil, err
	}
	l := new(Layout)
	return l, json.Unmarshal(b, l)
}
