package e2e

import (
	"net"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// tcpProxy forwards connections to one address. It can blackhole connections: it
// then still reads what both ends send, but forwards nothing. A blackholed
// connection never recovers.
type tcpProxy struct {
	listener net.Listener
	// upstreamAddress is the IP:port that the proxy forwards connections to.
	upstreamAddress string

	mu    sync.Mutex
	conns []*proxiedConn
	// blackholeNew is true if new connections are blackholed from the start.
	blackholeNew bool
}

// proxiedConn is one connection through the proxy.
type proxiedConn struct {
	mu         sync.Mutex
	blackholed bool
	ends       [2]net.Conn
}

func newTCPProxy(t *testing.T, upstreamAddress string) *tcpProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &tcpProxy{listener: ln, upstreamAddress: upstreamAddress}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *tcpProxy) accept() {
	for {
		downstream, err := p.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", p.upstreamAddress)
		if err != nil {
			_ = downstream.Close()
			continue
		}
		c := &proxiedConn{ends: [2]net.Conn{downstream, upstream}}
		p.mu.Lock()
		c.blackholed = p.blackholeNew
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		go c.forward(downstream, upstream)
		go c.forward(upstream, downstream)
	}
}

// forward copies from one end to the other until a read fails, and then closes the
// other end. A blackholed connection drops the bytes and does not propagate
// the close.
func (c *proxiedConn) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !c.isBlackholed() {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
			}
			if err != nil {
				_ = to.Close()
			}
		}
		if err != nil {
			return
		}
	}
}

func (c *proxiedConn) isBlackholed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blackholed
}

// blackholeOpen blackholes all connections accepted so far, for good, and returns
// their number.
func (p *tcpProxy) blackholeOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.mu.Lock()
		c.blackholed = true
		c.mu.Unlock()
	}
	return len(p.conns)
}

// setBlackholeNew sets whether new connections are blackholed. Connections that
// are blackholed already stay so.
func (p *tcpProxy) setBlackholeNew(blackhole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholeNew = blackhole
}

func (p *tcpProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		for _, end := range c.ends {
			_ = end.Close()
		}
	}
}
