package settings

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/strictyaml"
)

// electionHeartbeats is the minimum number of heartbeat intervals in an election
// timeout.
const electionHeartbeats = 3

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(strictyaml.FieldName)
	register(v, "name", namePattern.MatchString)
	register(v, "ipport", isAddress)
	register(v, "loopback", isLoopback)
	register(v, "file", isFile)
	return v
}

func register(v *validator.Validate, tag string, check func(string) bool) {
	err := v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return check(f.Field().String()) })
	if err != nil {
		panic(err)
	}
}

// ruleMessages holds the message for each validation rule. %s stands for the
// parameter of the rule.
var ruleMessages = map[string]string{
	"required": "is missing",
	"name":     "must be lower-case letters, digits and hyphens, at most 63",
	"ipport":   "must be IP:port, such as 127.0.0.1:8001",
	"loopback": "must be a loopback address, such as 127.0.0.1:8201",
	"file":     "must name a file that exists",
	"oneof":    "must be one of: %s",
	"min":      "must be at least %s",
	"max":      "must be at most %s",
	"unique":   "must not contain a value twice",
}

func (s *Settings) validate(d *strictyaml.Document) {
	s.checkRules(d)
	s.checkListeners(d)
	s.checkAdvertised(d)
	s.checkControl(d)
	s.checkIdentity(d)
}

func (s *Settings) checkRules(d *strictyaml.Document) {
	var failed validator.ValidationErrors
	if !errors.As(structValidator.Struct(s), &failed) {
		return
	}
	for _, f := range failed {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		if d.Failed(path) {
			continue
		}
		d.Add(path, "%s", strings.Replace(ruleMessages[f.Tag()], "%s", f.Param(), 1))
	}
}

// checkListeners reports listeners that have the same address.
func (s *Settings) checkListeners(d *strictyaml.Document) {
	l := s.Listen
	listeners := []struct{ path, address string }{
		{"listen.ingress", l.Ingress},
		{"listen.peer", l.Peer},
		{"listen.control", l.Control},
		{"listen.egress", l.Egress},
		{"listen.announce", l.Announce},
		{"listen.operators", l.Operators},
	}
	seen := make(map[string]string)
	for _, listener := range listeners {
		if first, taken := seen[listener.address]; taken && listener.address != "" {
			d.Add(listener.path, "has the same address as %s", first)
			continue
		}
		seen[listener.address] = listener.path
	}
}

// checkAdvertised reports advertised addresses that are unspecified, such as
// 0.0.0.0, which other processes cannot connect to.
func (s *Settings) checkAdvertised(d *strictyaml.Document) {
	advertised := []struct{ path, address string }{
		{"advertise.peer", s.Advertise.Peer},
		{"advertise.control", s.Advertise.Control},
	}
	for _, advertisement := range advertised {
		if a, err := netip.ParseAddrPort(advertisement.address); err == nil && a.Addr().IsUnspecified() {
			d.Add(advertisement.path, "%s cannot be reached by other processes; set a specific address", advertisement.address)
		}
	}
}

func (s *Settings) checkControl(d *strictyaml.Document) {
	if !s.Control.Enabled {
		if s.Listen.Control != "" {
			d.Add("listen.control", "is set, but control.enabled is false")
		}
		return
	}
	if s.Listen.Control == "" && !d.Failed("listen.control") {
		d.Add("listen.control", "is missing; the control role needs it")
	}
	if s.Control.ElectionTimeout < electionHeartbeats*s.Control.HeartbeatInterval {
		d.Add("control.election", "must be at least %d times control.heartbeat", electionHeartbeats)
	}
	s.checkDataDir(d)
}

func (s *Settings) checkDataDir(d *strictyaml.Document) {
	if s.DataDir == "" {
		if !d.Failed("data") {
			d.Add("data", "is missing; the control role needs a data directory")
		}
		return
	}
	info, err := os.Stat(s.DataDir)
	switch {
	case err == nil && !info.IsDir():
		d.Add("data", "%s is not a directory", s.DataDir)
	case err != nil && !isDir(filepath.Dir(s.DataDir)):
		d.Add("data", "neither %s nor its parent directory exists", s.DataDir)
	}
}

// checkIdentity checks that the mesh certificate matches the instance and the
// role. It skips missing files, which checkRules has reported.
func (s *Settings) checkIdentity(d *strictyaml.Document) {
	if !isFile(s.Mesh.Authority) || !isFile(s.Mesh.Certificate) || !isFile(s.Mesh.Key) {
		return
	}
	id, err := mesh.LoadIdentity(s.Mesh.Authority, s.Mesh.Certificate, s.Mesh.Key)
	if err != nil {
		d.Add("mesh", "%s", fault.Message(err))
		return
	}
	if s.Instance != "" && id.Peer.Name != s.Instance {
		d.Add("instance", "is %q, but the mesh certificate was issued to %q", s.Instance, id.Peer.Name)
	}
	want := mesh.Daemon
	if s.Control.Enabled {
		want = mesh.Replica
	}
	if err := id.Peer.RequireRole(want, mesh.Replica); err != nil {
		d.Add("mesh.certificate", "has the role %q, this process needs %q", id.Peer.Role, want)
	}
}

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

func isLoopback(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Addr().IsLoopback()
}

func isFile(name string) bool {
	info, err := os.Stat(name)
	return err == nil && info.Mode().IsRegular()
}

func isDir(name string) bool {
	info, err := os.Stat(name)
	return err == nil && info.IsDir()
}
