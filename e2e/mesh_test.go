package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Offsets of the ports of a machine from its first port.
const (
	controlPort = iota
	entryPort
	peerPort
	readyPort
	targetPort
	firstInternalPort
)

const (
	meshPorts   = firstInternalPort + 16
	metricsPort = firstInternalPort + 10
	// formTimeout is how long a mesh may take until it accepts the first order.
	formTimeout = 30 * time.Second
	// operatorTimeout is how long an operator waits for a replica before it asks another.
	operatorTimeout = time.Second
)

// mesh is a system of the platform's processes on loopback addresses: replicas, which
// found and repair their group without an operator, and daemons without targets.
type mesh struct {
	t        *testing.T
	program  string
	folder   string
	port     int
	replicas []*meshProcess
	daemons  []*meshProcess
	client   *http.Client
	limits   meshLimits
	// maxBodyBytes is the limit of request bodies in the configurations.
	maxBodyBytes int
}

// meshLimits are the limits in the settings of the processes.
type meshLimits struct {
	memoryMB, descriptors int
}

// meshProcess is one process of a mesh with an address of its own.
type meshProcess struct {
	mesh     *mesh
	name     string
	domain   string
	ip       string
	replica  bool
	started  bool
	command  *exec.Cmd
	finished chan struct{}
	// targetStarted is when the target beside the process started, in Unix milliseconds, and
	// heartbeats is the number of heartbeats that it has sent.
	targetStarted int64
	heartbeats    atomic.Int64
}

// startMesh starts five replicas and the given number of daemons in four failure domains.
func startMesh(t *testing.T, daemons int) *mesh {
	t.Helper()
	return startMeshWith(t, daemons, meshLimits{memoryMB: 280, descriptors: 4096})
}

func startMeshWith(t *testing.T, daemons int, limits meshLimits) *mesh {
	t.Helper()
	m := &mesh{t: t, limits: limits, maxBodyBytes: 1 << 20, program: filepath.Join(programDir, "teaselrackd"), folder: t.TempDir(), client: &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	for i := range 5 {
		m.replicas = append(m.replicas, m.newProcess(fmt.Sprint("replica-", i), i, i+1, true))
	}
	for i := range daemons {
		m.daemons = append(m.daemons, m.newProcess(fmt.Sprint("daemon-", i), i, i+11, false))
	}
	m.choosePorts()
	t.Cleanup(m.stop)
	for _, p := range m.processes() {
		p.start()
	}
	return m
}

func (m *mesh) newProcess(name string, domain, number int, replica bool) *meshProcess {
	return &meshProcess{mesh: m, name: name, domain: string(rune('a' + domain%4)), replica: replica, ip: fmt.Sprintf("127.%d.%d.%d", 80+os.Getpid()%40, os.Getpid()/40%250+1, number)}
}

func (m *mesh) processes() []*meshProcess {
	return append(append([]*meshProcess(nil), m.replicas...), m.daemons...)
}

// choosePorts finds a range of ports that is free on all addresses.
func (m *mesh) choosePorts() {
	for m.port = 20000 + os.Getpid()%200*32; m.port < 60000; m.port += meshPorts {
		if m.portsAreFree() {
			return
		}
	}
	m.t.Fatal("no free ports")
}

func (m *mesh) portsAreFree() bool {
	for _, p := range m.processes() {
		for port := range meshPorts {
			ln, err := net.Listen("tcp", p.address(port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func (p *meshProcess) address(offset int) string {
	return net.JoinHostPort(p.ip, strconv.Itoa(p.mesh.port+offset))
}

func (p *meshProcess) file(name string) string { return filepath.Join(p.mesh.folder, p.name, name) }

// settings returns the settings file of the process.
func (p *meshProcess) settings() string {
	var seeds []string
	for _, r := range p.mesh.replicas[:3] {
		seeds = append(seeds, strconv.Quote(r.address(controlPort)))
	}
	role := "sidecar"
	own := fmt.Sprintf("heartbeat_ms = 1000\nservice = \"s\"\napp_addr = %q\n", p.address(targetPort))
	listen := fmt.Sprintf("inbound = %q\noutbound = %q\nready = %q\n", p.address(peerPort), p.address(entryPort), p.address(readyPort))
	if p.replica {
		role, listen = "control", ""
		own = fmt.Sprintf("data_dir = %q\n", p.file("data"))
	}
	return fmt.Sprintf("node = %q\nserves = [%q]\nip = %q\nzone = %q\ninternal_ports = [%d,%d]\nseeds = [%s]\nbootstrap = %t\n", p.name, role, p.ip, p.domain,
		p.mesh.port+firstInternalPort, p.mesh.port+meshPorts-1, strings.Join(seeds, ","), !p.started) + own +
		"[zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\nd = \"r\"\n[listen]\n" + fmt.Sprintf("control = %q\n", p.address(controlPort)) + listen +
		fmt.Sprintf("[limits]\nmemory_mb = %d\nmax_fds = %d\n", p.mesh.limits.memoryMB, p.mesh.limits.descriptors) + "[tolerate]\nmachines = 2\n[bounds]\nack_ms = 4000\napply_ms = 2000\ncontact_ms = 3000\ngrace_s = 6\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 47\ncold_overage = 1.5\n"
}

func (p *meshProcess) start() {
	t := p.mesh.t
	must.NoError(t, os.MkdirAll(p.file("data"), 0o700))
	must.NoError(t, os.WriteFile(p.file("node.toml"), []byte(p.settings()), 0o600))
	log, err := os.OpenFile(p.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(t, err)
	defer func() { _ = log.Close() }()
	p.command = exec.Command(p.mesh.program, "--platform")
	p.command.Env = []string{"TEASELRACK_CONFIG=" + p.file("node.toml"), "GOMAXPROCS=2"}
	p.command.Stdout, p.command.Stderr = log, log
	must.NoError(t, p.command.Start())
	p.started = true
	finished, command := make(chan struct{}), p.command
	p.finished = finished
	go func() {
		_ = command.Wait()
		close(finished)
	}()
}

func (p *meshProcess) signal(sig syscall.Signal) {
	must.NoError(p.mesh.t, p.command.Process.Signal(sig))
}

// lose kills the process and removes its data.
func (p *meshProcess) lose() {
	p.signal(syscall.SIGKILL)
	<-p.finished
	must.NoError(p.mesh.t, os.RemoveAll(p.file("data")))
}

// stop ends all processes. It prints the end of their logs if the test has failed.
func (m *mesh) stop() {
	for _, p := range m.processes() {
		if p.command == nil {
			continue
		}
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.finished
		if !m.t.Failed() {
			continue
		}
		log, err := os.ReadFile(p.file("log"))
		m.t.Logf("log of %s (%v):\n%s", p.name, err, log[max(len(log)-logTailBytes, 0):])
	}
}

// putConfiguration sends the configuration of a revision to the replicas in turn until one
// acknowledges it, and returns that replica.
func (m *mesh) putConfiguration(revision int) *meshProcess {
	m.t.Helper()
	return m.put(revision, configuration(revision, m.maxBodyBytes))
}

// put sends the text of a revision to the replicas in turn until one acknowledges it, and
// returns that replica. A rejection fails the test.
func (m *mesh) put(revision int, body []byte) *meshProcess {
	m.t.Helper()
	for deadline := time.Now().Add(formTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, p := range m.replicas {
			response, err := m.client.Post("http://"+p.address(controlPort)+"/-/config/put", "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return p
			}
			must.NotEq(m.t, http.StatusUnprocessableEntity, response.StatusCode, must.Sprintf("revision %d", revision))
		}
	}
	m.t.Fatalf("revision %d was not acknowledged within %s", revision, formTimeout)
	return nil
}

// configuration returns a configuration with a public route for each number up to revision.
func configuration(revision, maxBodyBytes int) []byte {
	rows := [][]any{}
	for i := 1; i <= revision; i++ {
		rows = append(rows, []any{fmt.Sprint("r", i), "h.example", routePath(i), "safe", 2000, 500, 1, 2, true, "s"})
	}
	b, _ := json.Marshal(map[string]any{
		"version": fmt.Sprint("r", revision), "base_version": fmt.Sprint("r", revision-1),
		"routes":   map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout_ms", "goal_ms", "priority", "attempts", "public", "service"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_conns"}, "rows": [][]any{{"s", "/health", 100}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return b
}

func routePath(number int) string { return fmt.Sprintf("/new-%d/", number) }

// knows reports whether the daemon acts on a configuration with the route of that number. A
// request on a route that it does not know gets the status 404.
func (p *meshProcess) knows(number int) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+p.address(entryPort)+routePath(number), nil)
	must.NoError(p.mesh.t, err)
	request.Host = "h.example"
	response, err := p.mesh.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode != http.StatusNotFound
}

// metric returns a value that a process shows among its metrics; -1 if it does not.
func (p *meshProcess) metric(name string) float64 {
	response, err := p.mesh.client.Get("http://" + p.address(metricsPort) + "/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return -1
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			v, err := strconv.ParseFloat(value, 64)
			must.NoError(p.mesh.t, err)
			return v
		}
	}
	return -1
}
