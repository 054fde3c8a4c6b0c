package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/emulator/system"
)

const (
	// crowdMemoryMB and crowdDescriptors are the limits in the settings of the processes that
	// the crowd reaches. The process may use no more, with the bytes that it has not read.
	crowdMemoryMB    = 64
	crowdDescriptors = 600
	// reservedDescriptors are those of crowdDescriptors that are not for sockets.
	reservedDescriptors = 200
	// daemonMemoryMB is what a daemon may use by default.
	daemonMemoryMB = 256
	// daemonConnections is the limit of connections in the settings of a daemon.
	daemonConnections = 300
	// crowdSize is the number of clients that misbehave at the same time, crowdRounds how many
	// connections each opens, one after the other, and crowdBytes how much it sends on each.
	crowdSize   = 500
	crowdRounds = 3
	crowdBytes  = 2 << 20
	blockBytes  = 32 << 10
	// stalledWrite is the time without progress after which a client stops sending and keeps
	// its connection open.
	stalledWrite = 500 * time.Millisecond
)

// misbehavior is what a client sends: begin once, then repeat without end.
type misbehavior struct {
	name          string
	begin, repeat string
	// daemon is true for those that the product's own interface is tested with too.
	daemon bool
}

const (
	// headBegin is the beginning of a request for the path that replaces PATH.
	headBegin = "POST PATH HTTP/1.1\r\nHost: h.example\r\nRequest-Id: i\r\nDeadline-Ms: 2000\r\n"
	// http2Begin is the preface of an HTTP/2 connection, an empty SETTINGS frame and a HEADERS
	// frame for stream 1 that does not end the header block.
	http2Begin = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00\x00\x00\x01\x01\x00\x00\x00\x00\x01\x82"
)

var misbehaviors = []misbehavior{
	{"silence", "", "", true},
	{"request line without end", "GET /", strings.Repeat("x", 1<<10), false},
	{"empty lines without end", "", strings.Repeat("\r\n", 1<<9), false},
	{"header without end", headBegin + "A: ", strings.Repeat("x", 1<<10), false},
	{"header lines without end", headBegin, strings.Repeat("A: b\r\n", 1<<8), true},
	{"body of another length", headBegin + "Content-Length: 1000000000\r\n\r\n", strings.Repeat("x", 1<<10), false},
	{"chunks without end", headBegin + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", true},
	{"chunk extension without end", headBegin + "Transfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 1<<10), false},
	{"requests without reading", "", headBegin + "Content-Length: 0\r\n\r\n", true},
	{"HTTP/2 header block without end", http2Begin, "\x00\x00\x0a\x09\x00\x00\x00\x00\x01" + "\x00\x01a\x06abcdef", true},
}

// TestMisbehavingClients guards against clients whose bytes and connections end a process.
// The process lives, its memory with the bytes that it has not read and its sockets stay within
// its limits, and it answers an ordinary request while the crowd's connections are still open.
func TestMisbehavingClients(t *testing.T) {
	for _, b := range misbehaviors {
		t.Run(b.name, func(t *testing.T) {
			m := startMeshWith(t, 1, meshLimits{memoryMB: crowdMemoryMB, descriptors: crowdDescriptors})
			daemon, replica := m.daemons[0], m.replicas[0]
			m.putConfiguration(1)
			startMeshTarget(t, daemon)
			must.NoError(t, system.Await(formTimeout, daemon.checkServes))
			for _, l := range []struct {
				name     string
				process  *meshProcess
				port     int
				path     string
				ordinary func() error
			}{
				{"callers", daemon, entryPort, "/new-1/x", daemon.checkServes},
				{"peers", daemon, peerPort, "/new-1/x", daemon.checkServes},
				{"readiness", daemon, readyPort, "/-/ready", daemon.checkReady},
				{"heartbeats", daemon, controlPort, "/-/instances/i-2/heartbeat", daemon.checkHeartbeat},
				{"metrics", daemon, metricsPort, "/metrics", daemon.checkMetrics},
				{"operators", replica, controlPort, "/-/config/put", replica.checkRead},
				{"links", replica, firstInternalPort, "/", replica.checkRead},
			} {
				t.Run(l.name, func(t *testing.T) {
					use := watchUse(t, l.process.command.Process.Pid, l.process.ip)
					c := sendCrowd(t, l.process.address(l.port), b.at(l.path))
					must.NoError(t, system.Await(settleTimeout, l.ordinary))
					use.stop()
					c.leave()
					t.Logf("%s of memory, %s of it unread bytes, %d sockets", megabytes(use.memory), megabytes(use.unread), use.sockets)
					must.True(t, l.process.runs(), must.Sprintf("%s has ended", l.process.name))
					must.LessEq(t, crowdMemoryMB<<20, use.memory)
					must.LessEq(t, crowdDescriptors-reservedDescriptors, use.sockets)
				})
			}
		})
	}
}

// TestMisbehavingClientsOfADaemon is TestMisbehavingClients for the product's own interface, where
// the limit of memory is the default.
func TestMisbehavingClientsOfADaemon(t *testing.T) {
	for _, b := range misbehaviors {
		if !b.daemon {
			continue
		}
		t.Run(b.name, func(t *testing.T) {
			h := start(t, func(l *system.Layout) { l.Instance("tides-1").Connections = daemonConnections })
			i := h.Instance("tides-1")
			for _, l := range []struct{ name, address, path string }{
				{"callers", i.Ingress, "/slots"},
				{"peers", i.Peer, "/slots"},
				{"calls of the target", i.Egress, "/prices"},
				{"announcements", i.Announce, "/v1/target"},
				{"operators", i.Operators, "/debug/vars"},
				{"links", i.Control, "/"},
			} {
				t.Run(l.name, func(t *testing.T) {
					p := h.processes[i.Name]
					use := watchUse(t, p.command.Process.Pid, i.Ingress, i.Peer, i.Egress, i.Announce, i.Operators, i.Control)
					c := sendCrowd(t, l.address, b.at(l.path))
					must.NoError(t, system.Await(settleTimeout, func() error {
						response, err := h.client.Do(system.Request{Ingress: i.Ingress, Method: "GET", Path: "/slots", Key: h.Keys["A"].Secret})
						if err == nil && response.Status != http.StatusOK {
							err = fmt.Errorf("status %d", response.Status)
						}
						return err
					}))
					use.stop()
					c.leave()
					t.Logf("%s of memory, %s of it unread bytes, %d sockets", megabytes(use.memory), megabytes(use.unread), use.sockets)
					select {
					case <-p.done:
						t.Fatalf("%s has ended", i.Name)
					default:
					}
					must.LessEq(t, daemonMemoryMB<<20, use.memory)
				})
			}
		})
	}
}

func megabytes(n int) string { return fmt.Sprintf("%.1f MB", float64(n)/(1<<20)) }

// crowd holds the last connections of clients that misbehave.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// sendCrowd returns once each client has sent what it could on its last connection.
func sendCrowd(t *testing.T, address string, b misbehavior) *crowd {
	c := new(crowd)
	t.Cleanup(c.leave)
	var clients sync.WaitGroup
	for range crowdSize {
		clients.Go(func() {
			for round := range crowdRounds {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					continue
				}
				b.send(conn)
				if round < crowdRounds-1 {
					_ = conn.Close()
					continue
				}
				c.mu.Lock()
				c.conns = append(c.conns, conn)
				c.mu.Unlock()
			}
		})
	}
	clients.Wait()
	return c
}

// leave closes the connections.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// at returns the misbehavior with requests for path.
func (b misbehavior) at(path string) misbehavior {
	b.begin, b.repeat = strings.ReplaceAll(b.begin, "PATH", path), strings.ReplaceAll(b.repeat, "PATH", path)
	return b
}

// send writes until the connection ends, is stalled, or crowdBytes are written.
func (b *misbehavior) send(conn net.Conn) {
	block := ""
	if b.repeat != "" {
		block = strings.Repeat(b.repeat, blockBytes/len(b.repeat)+1)
	}
	text := b.begin + block
	for sent := 0; sent < crowdBytes && text != ""; sent += len(text) {
		if conn.SetWriteDeadline(time.Now().Add(stalledWrite)) != nil {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		text = block
	}
}

// startMeshTarget starts a target for the daemon in the test's process. It responds to each
// request and sends heartbeats until the test ends.
func startMeshTarget(t *testing.T, p *meshProcess) {
	startMeshTargetWith(t, p, respondWell)
}

func respondWell(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Stamp", "stamp")
	w.Header().Set("Instance-Id", "i-1")
	_, _ = io.WriteString(w, "ok")
}

func startMeshTargetWith(t *testing.T, p *meshProcess, respond http.HandlerFunc) {
	ln, err := net.Listen("tcp", p.address(targetPort))
	must.NoError(t, err)
	server := &http.Server{Handler: respond}
	go func() { _ = server.Serve(ln) }()
	p.targetStarted = time.Now().UnixMilli()
	done := make(chan struct{})
	go func() {
		for {
			if err := p.checkHeartbeat(); err != nil {
				t.Log("heartbeat:", err)
			}
			select {
			case <-done:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	t.Cleanup(func() {
		close(done)
		_ = server.Close()
	})
}
