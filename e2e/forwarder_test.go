package e2e

import (
	"net"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// forwarder passes connections on to one address. Forget makes the open ones
// silent for good: it still takes what they send, and passes nothing on.
type forwarder struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns []*forwarded
	// cut makes new connections silent too.
	cut bool
}

// forwarded is one connection with its two ends.
type forwarded struct {
	mu     sync.Mutex
	silent bool
	ends   [2]net.Conn
}

func newForwarder(t *testing.T, to string) *forwarder {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	f := &forwarder{listener: ln, to: to}
	go f.accept()
	t.Cleanup(f.close)
	return f
}

func (f *forwarder) accept() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", f.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &forwarded{ends: [2]net.Conn{near, far}}
		f.mu.Lock()
		c.silent = f.cut
		f.conns = append(f.conns, c)
		f.mu.Unlock()
		go c.pass(near, far)
		go c.pass(far, near)
	}
}

// pass copies from one end to the other. A silent connection swallows its
// bytes and its close.
func (c *forwarded) pass(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !c.isSilent() {
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

func (c *forwarded) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// forget makes every open connection silent and returns their number.
func (f *forwarder) forget() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(f.conns)
}

// setCut says whether new connections are silent as well. Those that became
// silent before stay so.
func (f *forwarder) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func (f *forwarder) close() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		for _, end := range c.ends {
			_ = end.Close()
		}
	}
}
