package e2e

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// sampleInterval is the time between two readings of what a process uses.
	sampleInterval = 20 * time.Millisecond
	// lastSamples is the number of readings after stop is called.
	lastSamples = 5
)

// tcpListen is the state of a listening socket in /proc/net/tcp.
const tcpListen = "0A"

// resourceUse is the largest use of one process.
type resourceUse struct {
	pid int
	// local are the beginnings of the local addresses of the process's connections, as
	// /proc/net/tcp has them.
	local         []string
	done, stopped chan struct{}
	// memory are the resident and the unread bytes together, unread the part of them that was
	// unread.
	memory, unread, sockets int
}

// watchUse reads what a process uses until stop is called. addresses are its own: IP, or
// IP:port where other processes have the same.
func watchUse(t *testing.T, pid int, addresses ...string) *resourceUse {
	u := &resourceUse{pid: pid, done: make(chan struct{}), stopped: make(chan struct{})}
	for _, address := range addresses {
		ip, port, found := strings.Cut(address, ":")
		local := fmt.Sprintf("%08X:", binary.LittleEndian.Uint32(net.ParseIP(ip).To4()))
		if found {
			n, err := strconv.Atoi(port)
			must.NoError(t, err)
			local += fmt.Sprintf("%04X", n)
		}
		u.local = append(u.local, local)
	}
	go func() {
		defer close(u.stopped)
		for last := 0; last < lastSamples; {
			unread := u.unreadBytes()
			if memory := u.residentBytes() + unread; memory > u.memory {
				u.memory, u.unread = memory, unread
			}
			u.sockets = max(u.sockets, u.openSockets())
			time.Sleep(sampleInterval)
			select {
			case <-u.done:
				last++
			default:
			}
		}
	}()
	return u
}

// stop ends the readings.
func (u *resourceUse) stop() {
	close(u.done)
	<-u.stopped
}

func (u *resourceUse) proc(name string) string {
	return filepath.Join("/proc", strconv.Itoa(u.pid), name)
}

// residentBytes returns the resident memory of the process; 0 if it has ended.
func (u *resourceUse) residentBytes() int {
	text, err := os.ReadFile(u.proc("statm"))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}

// unreadBytes returns the bytes in the receive queues of the connections at the addresses of the
// process.
func (u *resourceUse) unreadBytes() int {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	total := 0
	for line := range bytes.Lines(text) {
		fields := strings.Fields(string(line))
		if len(fields) < 5 || fields[3] == tcpListen || !slices.ContainsFunc(u.local, func(own string) bool { return strings.HasPrefix(fields[1], own) }) {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
			total += int(n)
		}
	}
	return total
}

// openSockets returns the number of open sockets of the process.
func (u *resourceUse) openSockets() int {
	files, err := os.ReadDir(u.proc("fd"))
	if err != nil {
		return 0
	}
	count := 0
	for _, file := range files {
		if target, err := os.Readlink(filepath.Join(u.proc("fd"), file.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}

// runs reports whether the process has not ended.
func (p *meshProcess) runs() bool {
	select {
	case <-p.finished:
		return false
	default:
		return true
	}
}

// checkServes returns an error unless the target of the daemon responds to a request.
func (p *meshProcess) checkServes() error {
	return p.check(http.MethodGet, entryPort, routePath(1), "", "ok")
}

func (p *meshProcess) checkReady() error {
	return p.check(http.MethodGet, readyPort, "/-/ready", "", "")
}

func (p *meshProcess) checkMetrics() error {
	return p.check(http.MethodGet, metricsPort, "/metrics", "", "")
}

func (p *meshProcess) checkRead() error {
	return p.check(http.MethodGet, controlPort, "/-/config/get", "", "")
}

// checkHeartbeat sends a heartbeat of the target beside the daemon.
func (p *meshProcess) checkHeartbeat() error {
	body := fmt.Sprintf(`{"address":%q,"info":{"service":"s","version":"v1","zone":%q,"slots":16},"status":{"state":"ready","seq":%d,"cold_left_ms":0},"born":%d}`,
		p.address(targetPort), p.domain, p.heartbeats.Add(1), p.targetStarted)
	return p.check(http.MethodPost, controlPort, "/-/instances/i-1/heartbeat", body, "")
}

// check returns an error unless the process responds to a request with status 200 and the
// wanted body; any body if that is empty.
func (p *meshProcess) check(method string, port int, path, body, wanted string) error {
	request, err := http.NewRequest(method, "http://"+p.address(port)+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Host = "h.example"
	request.Header.Set("Request-Id", "ordinary")
	request.Header.Set("Deadline-Ms", "1000")
	response, err := p.mesh.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || wanted != "" && string(text) != wanted {
		return fmt.Errorf("%s %s of %s: status %d, %.200q", method, path, p.name, response.StatusCode, text)
	}
	return nil
}
