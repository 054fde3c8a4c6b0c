package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

// Offsets of the ports of a machine from its first port.
const (
	portControl  = 0
	portOutbound = 1
	portInbound  = 2
	portReady    = 3
	portApp      = 4
	portInternal = 10
	portCount    = 26
)

// machine is one machine of the deployment. Each has a loopback address of its own.
type machine struct {
	name, zone, ip string
	// service is that of the server on a sidecar machine; empty on a core machine.
	service string
	process *process
	// started is true once the process was started with bootstrap set.
	started bool
}

// process is one started program.
type process struct {
	command *exec.Cmd
	done    chan struct{}
}

// cluster is the deployment: the machines and the processes of the system on them.
type cluster struct {
	program string
	folder  string
	base    int
	record  *record

	mu       sync.Mutex
	machines []*machine
}

// newCluster returns a cluster without machines, with a temporary folder.
func newCluster(program string, r *record) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &cluster{program: program, folder: folder, record: r}, nil
}

// add adds a machine; service is empty for a core machine.
func (c *cluster) add(name, zone, service string) *machine {
	number := len(c.machines) + 1
	m := &machine{name: name, zone: zone, service: service, ip: fmt.Sprintf("127.77.%d.%d", os.Getpid()%200+1, number)}
	c.machines = append(c.machines, m)
	return m
}

// choosePorts finds ports that are free on all machines.
func (c *cluster) choosePorts() error {
	for base := 21000 + os.Getpid()%300*64; base < 60000; base += 64 {
		if c.free(base) {
			c.base = base
			return nil
		}
	}
	return errors.New("no free ports")
}

func (c *cluster) free(base int) bool {
	for _, m := range c.machines {
		for port := base; port < base+portCount; port++ {
			ln, err := net.Listen("tcp", net.JoinHostPort(m.ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func (c *cluster) address(m *machine, offset int) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(c.base+offset))
}

// settings returns the settings file of a machine, as DEPLOY.md shows it.
func (c *cluster) settings(m *machine) string {
	var seeds []string
	zones := make(map[string]bool)
	for _, other := range c.machines {
		zones[other.zone] = true
		if other.service == "" && len(seeds) < 3 {
			seeds = append(seeds, strconv.Quote(c.address(other, portControl)))
		}
	}
	class, serves := "core", "control"
	if m.service != "" {
		class, serves = "sidecar", "sidecar"
	}
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node = %q\nrole = %q\nmachine_class = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"r\"", m.name, class, class, serves, m.ip, m.zone)
	line("internal_ports = [%d,%d]\nseeds = [%s]\nbootstrap = %t\nloss_counts = %t", c.base+portInternal, c.base+portCount-1, strings.Join(seeds, ","), !m.started, m.service == "")
	line("discovery = \"static\"\nentry = \"static\"\nheartbeat_ms = %d", heartbeatInterval.Milliseconds())
	line(`contracts = ["base","drain","config","cost","retry","recover","pressure","tenants","quota","places"]`)
	if m.service != "" {
		line("app_addr = %q\nservice = %q", c.address(m, portApp), m.service)
	} else {
		line("data_dir = %q", filepath.Join(c.folder, m.name, "data"))
	}
	line("[zones]")
	for zone := range zones {
		line("%s = \"r\"", zone)
	}
	line("[listen]\ncontrol = %q", c.address(m, portControl))
	if m.service != "" {
		line("inbound = %q\noutbound = %q\nready = %q", c.address(m, portInbound), c.address(m, portOutbound), c.address(m, portReady))
	}
	line("[limits]\ncpu_share = 0.64\ncores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 256")
	line("[tolerate]\nmachines = 2\nzones = 1\nregions = 0")
	line("[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatchup_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\napply_ms = 2000")
	line("rollback_slack_ms = 250\nskew_max_ms = 5000\nrevoke_strict = false\nrevoke_ms = 5000\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 49")
	line("quota_window_s = 5\nquota_overage = 0.1\nquota_slack = 20\ncold_overage = %g\ncold_slack = %g\nevacuate_ms = 5000\nrecovery_s = 15", coldOverage, coldSlack)
	return b.String()
}

// start starts the process of a machine.
func (c *cluster) start(m *machine) error {
	folder := filepath.Join(c.folder, m.name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o700); err != nil {
		return err
	}
	path := filepath.Join(folder, "node.toml")
	if err := os.WriteFile(path, []byte(c.settings(m)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(c.program, "--platform")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "LANG=C", "GOMAXPROCS=2", "TEASELRACK_CONFIG=" + path}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{command: command, done: make(chan struct{})}
	go func() { _ = command.Wait(); close(p.done) }()
	c.mu.Lock()
	m.process, m.started = p, true
	c.mu.Unlock()
	return nil
}

// stop ends all processes and removes the temporary folder.
func (c *cluster) stop() {
	for _, m := range c.machines {
		if m.process != nil {
			_ = m.process.command.Process.Signal(syscall.SIGCONT)
			_ = m.process.command.Process.Kill()
			<-m.process.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}

func (c *cluster) of(service string) []*machine {
	var list []*machine
	for _, m := range c.machines {
		if m.service == service {
			list = append(list, m)
		}
	}
	return list
}
