package system

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

const fileMode = 0o600

// Spec describes one instance of a system.
type Spec struct {
	Name    string
	Service string
	// Domain is the name of the failure domain.
	Domain string
	// Replica makes the daemon a control replica.
	Replica bool
	// Slots is the number of slots that the stand-in target announces: the
	// number of requests that it can run at the same time.
	Slots int
}

// Instance is one daemon and its local stand-in target. All addresses are
// IP:port.
type Instance struct {
	Spec
	Ingress, Peer, Control, Egress, Announce, Operators string
	// Target is the address where the stand-in target serves requests. Admin is the
	// address of its admin listener (records, counters, behaviour, state).
	Target, Admin string
	// AdvertisedPeer is the peer address that other daemons connect to. If it is
	// empty, they use Peer.
	AdvertisedPeer string
	// ControlVia replaces the addresses of the control replicas in the daemon's
	// settings, if it is not empty.
	ControlVia []string
	// Connections is the daemon's limit of open connections; 0 leaves the default.
	Connections int
}

// Layout describes a system on loopback: its addresses, files and commands.
// It is stored as JSON under the names of its fields.
type Layout struct {
	// Dir is the directory of all files of the system.
	Dir string
	// Bin is the directory of the programs.
	Bin       string
	Instances []Instance
	// Keys maps a name, such as "A", to an API key.
	Keys map[string]APIKey
	// Calls are the downstream calls of the stand-in targets, as "FROM=TO": a
	// request for path FROM calls path TO.
	Calls []string
}

// APIKey is the API key of a client.
type APIKey struct {
	Team   string
	Secret string
	// Line is the line that adds the key in a release note. It contains the hash of
	// the secret.
	Line string
}

// DemoSpecs returns the instances of the demo system: three services in two
// failure domains, with three of the six daemons as control replicas.
func DemoSpecs() []Spec {
	return []Spec{
		{"tides-1", "tides", "split-a", true, 16},
		{"tides-2", "tides", "split-b", true, 16},
		{"blagajna-1", "blagajna", "split-a", true, 16},
		{"blagajna-2", "blagajna", "split-b", false, 16},
		{"oprema-1", "oprema", "split-a", false, 16},
		{"oprema-2", "oprema", "split-b", false, 16},
	}
}

// New assigns addresses to the instances and writes the certificates, the
// settings and the stored layout to dir, which must exist. bin is the directory
// of the programs. The layout has no API keys yet.
func New(dir, bin string, specs []Spec) (*Layout, error) {
	l := &Layout{Dir: dir, Bin: bin, Keys: make(map[string]APIKey)}
	l.Calls = []string{"/slots=/prices", "/prices=/stock", "/book=/pay", "/pay=/gear"}
	addresses, err := freeAddresses(len(specs) * portsPerInstance)
	if err != nil {
		return nil, err
	}
	for i, spec := range specs {
		l.Instances = append(l.Instances, newInstance(spec, addresses[i*portsPerInstance:]))
	}
	if err := l.issueCertificates(); err != nil {
		return nil, err
	}
	for _, i := range l.Instances {
		if err := l.WriteSettings(i); err != nil {
			return nil, err
		}
	}
	return l, l.Save()
}

func newInstance(spec Spec, addresses []string) Instance {
	i := Instance{Spec: spec}
	i.Ingress, i.Peer, i.Egress, i.Announce = addresses[0], addresses[1], addresses[2], addresses[3]
	i.Operators, i.Target, i.Admin = addresses[4], addresses[5], addresses[6]
	if spec.Replica {
		i.Control = addresses[7]
	}
	return i
}

// Replicas returns the control addresses of the control replicas.
func (l *Layout) Replicas() []string {
	var addresses []string
	for _, i := range l.Instances {
		if i.Replica {
			addresses = append(addresses, i.Control)
		}
	}
	return addresses
}

// Instance returns the instance with this name. It panics if there is none.
func (l *Layout) Instance(name string) *Instance {
	for i := range l.Instances {
		if l.Instances[i].Name == name {
			return &l.Instances[i]
		}
	}
	panic("no instance " + name)
}

// File returns the path of a file below Dir.
func (l *Layout) File(parts ...string) string {
	return filepath.Join(append([]string{l.Dir}, parts...)...)
}

// Program returns the path of a program in Bin.
func (l *Layout) Program(name string) string { return filepath.Join(l.Bin, name) }

// issueCertificates creates the mesh authority and issues the certificates of the
// operator and of each instance.
func (l *Layout) issueCertificates() error {
	mesh := l.File("mesh")
	if _, err := l.runOfflineCLI("mesh", "init", "--dir", mesh); err != nil {
		return err
	}
	if _, err := l.runOfflineCLI("mesh", "issue", "--dir", mesh, "--role", "operator", "operator"); err != nil {
		return err
	}
	for _, i := range l.Instances {
		role := "daemon"
		if i.Replica {
			role = "replica"
		}
		if _, err := l.runOfflineCLI("mesh", "issue", "--dir", mesh, "--role", role, "--ip", "127.0.0.1", i.Name); err != nil {
			return err
		}
	}
	return nil
}

// WriteSettings writes the settings file of one daemon. The settings of a control
// replica also name its data directory, which the daemon creates.
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
	if i.Connections > 0 {
		line("limits: {connections: %d}", i.Connections)
	}
	line("log: {format: json, level: info}")
	return os.WriteFile(l.settingsFile(i), []byte(b.String()), fileMode)
}

func (l *Layout) settingsFile(i Instance) string { return l.File(i.Name + ".yaml") }

// DaemonCommand returns the command line of a daemon.
func (l *Layout) DaemonCommand(i Instance) []string {
	return []string{l.Program("teaselrackd"), "--settings", l.settingsFile(i)}
}

// TargetCommand returns the command line of the instance's stand-in target.
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

// Save stores the layout in Dir, where Open reads it.
func (l *Layout) Save() error {
	b, err := json.MarshalIndent(l, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(l.File(layoutFile), b, fileMode)
}

// Open reads the layout that is stored in dir.
func Open(dir string) (*Layout, error) {
	b, err := os.ReadFile(filepath.Join(dir, layoutFile))
	if err != nil {
		return nil, err
	}
	l := new(Layout)
	return l, json.Unmarshal(b, l)
}
