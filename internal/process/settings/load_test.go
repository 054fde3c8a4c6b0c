package settings

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const validSettings = `instance: tides-1
failure_domain: split-a
mesh: {authority: ca.pem, certificate: tides-1.pem, key: tides-1.key}
listen:
  ingress: 127.0.0.1:8001
  peer: 127.0.0.1:8101
  control: 127.0.0.1:8401
  egress: 127.0.0.1:8201
  announce: 127.0.0.1:8301
  operators: 127.0.0.1:8501
replicas: [127.0.0.1:8401]
data: data
control: {enabled: true, heartbeat: 50ms}
`

func TestLoadFillsDefaults(t *testing.T) {
	file := writeSettings(t, validSettings)
	s, err := Load(file)
	must.NoError(t, err)
	must.Eq(t, DefaultRegion, s.Region)
	must.Eq(t, 50*time.Millisecond, s.Control.HeartbeatInterval)
	must.Eq(t, DefaultElectionTimeout, s.Control.ElectionTimeout)
	must.Eq(t, "127.0.0.1:8101", s.Advertise.Peer)
	must.Eq(t, filepath.Join(filepath.Dir(file), "tides-1.key"), s.Mesh.Key)
	must.Eq(t, DefaultBodyBytes, s.Limits.BodyBytes)
}

func TestLoadReportsEveryProblem(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           []string
	}{
		{"unknown field", "data: data", "date: data", []string{":12: date: unknown field", ": data: is missing; the control role"}},
		{"unknown nested field", "  peer: ", "  pier: ", []string{":6: listen.pier: unknown field", ":4: listen.peer: is missing"}},
		{"wrong type", "enabled: true", "enabled: [1]", []string{":13: control.enabled: must be true or false, not a list"}},
		{"number for text", "split-a", "12", []string{`:2: failure_domain: must be text, not integer "12"`}},
		{"number for duration", "50ms", "50", []string{`:13: control.heartbeat: must be a duration such as 500ms or 2s, not integer "50"`}},
		{"bad duration", "50ms", "50parsecs", []string{":13: control.heartbeat: must be a duration"}},
		{"mapping for text", "instance: tides-1", "instance: {a: 1}", []string{":1: instance: must be text, not a mapping"}},
		{"host name", "127.0.0.1:8001", "localhost:8001", []string{":5: listen.ingress: must be IP:port"}},
		{"no port", "127.0.0.1:8101", "127.0.0.1", []string{":6: listen.peer: must be IP:port"}},
		{"not loopback", "127.0.0.1:8201", "10.0.0.1:8201", []string{":8: listen.egress: must be a loopback address"}},
		{"same address", "127.0.0.1:8301", "127.0.0.1:8201", []string{":9: listen.announce: has the same address as listen.egress"}},
		{"unspecified", "127.0.0.1:8101", "0.0.0.0:8101", []string{"advertise.peer: 0.0.0.0:8101 cannot be reached"}},
		{"bad replica", "replicas: [127.0.0.1:8401]", "replicas:\n  - 127.0.0.1:8401\n  - here", []string{":13: replicas[1]: must be IP:port"}},
		{"no replica", "replicas: [127.0.0.1:8401]\n", "", []string{"replicas: is missing"}},
		{"missing files", "ca.pem, certificate: tides-1.pem", "no.pem, certificate: nor.pem", []string{":3: mesh.authority: must name a file", ":3: mesh.certificate: must name a file"}},
		{"other name", "tides-1\n", "tides-2\n", []string{`:1: instance: is "tides-2", but the mesh certificate was issued to "tides-1"`}},
		{"missing data", "data: data\n", "", []string{"data: is missing; the control role needs"}},
		{"no control address", "  control: 127.0.0.1:8401\n", "", []string{":4: listen.control: is missing"}},
		{"control address unused", "enabled: true", "enabled: false", []string{":7: listen.control: is set, but"}},
		{"short election", "50ms", "300ms", []string{"control.election: must be at least 3 times"}},
		{"log format", "data: data", "data: data\nlog: {format: xml}", []string{":13: log.format: must be one of: json console"}},
		{"several", "  operators: 127.0.0.1:8501\nreplicas: [127.0.0.1:8401]", "replicas: [a]\nrenew: 1h", []string{"listen.operators: is missing", "replicas[0]: must be", "renew: must be at most"}},
		{"no YAML", "instance: tides-1", "instance: [", []string{"settings.yaml: "}},
		{"duplicate", "data: data", "data: data\ndata: other", []string{"settings.yaml"}},
		{"two documents", "data: data", "data: data\n---\na: 1", []string{"more than one YAML document"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			must.StrContains(t, validSettings, tc.old)
			s, err := Load(writeSettings(t, strings.Replace(validSettings, tc.old, tc.new, 1)))
			must.Nil(t, s)
			must.Eq(t, fault.SettingsInvalid, fault.KindOf(err))
			for _, want := range tc.want {
				must.StrContains(t, fault.Message(err), want)
			}
		})
	}
	_, err := Load(filepath.Join(t.TempDir(), "none.yaml"))
	must.Eq(t, fault.SettingsInvalid, fault.KindOf(err))
	_, err = Load(writeSettings(t, ""))
	must.StrContains(t, fault.Message(err), "instance: is missing")
}

func FuzzLoad(f *testing.F) {
	f.Add(validSettings)
	f.Add("replicas: {a: [")
	f.Add("listen: &a {peer: *a}")
	f.Add("- 1\n- 2")
	dir := f.TempDir()
	f.Fuzz(func(t *testing.T, text string) {
		file := filepath.Join(dir, "fuzz.yaml")
		must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		s, err := Load(file)
		must.True(t, (s == nil) == (err != nil))
	})
}

// writeSettings writes text to a settings file, in the same directory as a valid set of
// mesh files, and returns the name of the settings file.
func writeSettings(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	ca, err := mesh.NewAuthority("mesh", time.Now())
	must.NoError(t, err)
	pair, err := ca.Issue("tides-1", mesh.Replica, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now())
	must.NoError(t, err)
	files := map[string][]byte{"ca.pem": ca.Certificate, "tides-1.pem": pair.Certificate, "tides-1.key": pair.Key, "settings.yaml": []byte(text)}
	for name, content := range files {
		must.NoError(t, os.WriteFile(filepath.Join(dir, name), content, 0o600))
	}
	return filepath.Join(dir, "settings.yaml")
}
