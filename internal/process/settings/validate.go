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

// electionHeartbeats is the least number of heartbeats in an election timeout.
const electionHeartbeats = 3

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var rules = newRules()

func newRules() *validator.Validate {
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

// advice says for each rule what the field must be. A %s stands for the
// parameter of the rule.
var advice = map[string]string{
	"required": "is missing",
	"name":     "must be lower-case letters, digits and hyphens, at most 63",
	"ipport":   "must be IP:port, such as 127.0.0.1:8001",
	"loopback": "must be a loopback address, such as 127.0.0.1:8201",
	"file":     "must name a file that exists",
	"oneof":    "must be one of: %s",
	"min":      "must be at least %s",
	"max":      "must be at most %s",
	"unique":   "must hold no value twice",
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
	if !errors.As(rules.Struct(s), &failed) {
		return
	}
	for _, f := range failed {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		if d.Failed(path) {
			continue
		}
		d.Add(path, "%s", strings.Replace(advice[f.Tag()], "%s", f.Param(), 1))
	}
}

// checkListeners refuses two listeners with one address.
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
	for _, one := range listeners {
		if first, taken := seen[one.address]; taken && one.address != "" {
			d.Add(one.path, "has the same address as %s", first)
			continue
		}
		seen[one.address] = one.path
	}
}

// checkAdvertised refuses an advertised address that no other process can use.
func (s *Settings) checkAdvertised(d *strictyaml.Document) {
	advertised := []struct{ path, address string }{
		{"advertise.peer", s.Advertise.Peer},
		{"advertise.control", s.Advertise.Control},
	}
	for _, one := range advertised {
		if a, err := netip.ParseAddrPort(one.address); err == nil && a.Addr().IsUnspecified() {
			d.Add(one.path, "%s cannot be reached by others; set a plain address", one.address)
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
	if s.Control.Election < electionHeartbeats*s.Control.Heartbeat {
		d.Add("control.election", "must be at least %d times control.heartbeat", electionHeartbeats)
	}
	s.checkData(d)
}

func (s *Settings) checkData(d *strictyaml.Document) {
	if s.Data == "" {
		if !d.Failed("data") {
			d.Add("data", "is missing; the control role needs a data folder")
		}
		return
	}
	info, err := os.Stat(s.Data)
	switch {
	case err == nil && !info.IsDir():
		d.Add("data", "%s is not a folder", s.Data)
	case err != nil && !isFolder(filepath.Dir(s.Data)):
		d.Add("data", "%s does not exist, nor does the folder around it", s.Data)
	}
}

// checkIdentity compares the mesh certificate with instance and role. Missing
// files have been reported before.
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
	if err := id.Peer.Allow(want, mesh.Replica); err != nil {
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

func isFolder(name string) bool {
	info, err := os.Stat(name)
	return err == nil && info.IsDir()
}
