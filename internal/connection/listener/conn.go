package listener

import (
	"bytes"
	"context"
	"errors"
	"net"
	"time"
)

const (
	// writeTimeout is the time within which a client takes writeBytes of a response, or the
	// rest of it.
	writeTimeout = 10 * time.Second
	writeBytes   = 16 << 10
	// lineBytes is the memory that each line of a request head takes besides its text.
	lineBytes = 128
	// http2Bytes is the memory that an HTTP/2 connection takes for the heads that it
	// decompresses, and for the bytes in its receive window.
	http2Bytes = 128 << 10
	// http2Prefix is the beginning of an HTTP/2 connection. No method of HTTP/1 begins so.
	http2Prefix = "PRI"
)

var lineEnd = []byte("\n")

// errNoRoom is the error of a connection whose request head does not fit beside those of
// others.
var errNoRoom = errors.New("the request heads that are being received exceed the limit of the process")

// connKey is the key of the *conn in the context of a request.
type connKey struct{}

// connOf returns the connection of a request; nil if no guard protects its server.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// guardedConn returns the connection below c that a guardedListener accepted, or nil.
func guardedConn(c net.Conn) *conn {
	for {
		switch wrapped := c.(type) {
		case *conn:
			return wrapped
		case interface{ NetConn() net.Conn }:
			c = wrapped.NetConn()
		default:
			return nil
		}
	}
}

// conn is an accepted connection. Its methods accept nil.
type conn struct {
	net.Conn
	listener *guardedListener

	// The guard's mutex protects the fields below. served is true while a request is being
	// served; otherwise the connection has waited for one since waitingSince.
	served       bool
	waitingSince time.Time
	// prefix is the beginning of what has arrived.
	prefix []byte
	// received is the memory for what has arrived of the next request head, head the part
	// of it that counts toward the capacity.
	received, head int64
	// longBody is true if the connection has the receive buffer for long bodies.
	longBody bool
}

// Read implements net.Conn. It counts what it reads of a request head.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.listener.guard.countHead(c, b[:n]) {
		_ = c.Close()
		return 0, errNoRoom
	}
	return n, err
}

// Write implements net.Conn. It fails if the client does not read for writeTimeout. Links have
// their own time limits.
func (c *conn) Write(b []byte) (int, error) {
	if !c.listener.countsHeads {
		return c.Conn.Write(b)
	}
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(written+writeBytes, len(b))])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	g := c.listener.guard
	g.mu.Lock()
	g.forget(c)
	g.mu.Unlock()
	return c.Conn.Close()
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) setServed() {
	if c == nil {
		return
	}
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.served = true
}

func (c *conn) setWaiting() {
	if c == nil {
		return
	}
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.served, c.waitingSince = false, time.Now()
	if !c.isHTTP2() {
		g.heads -= c.head
		c.received, c.head = 0, 0
	}
}

func (c *conn) isHTTP2() bool { return string(c.prefix) == http2Prefix }

// memoryFor returns the memory that what was read takes.
func (c *conn) memoryFor(read []byte) int64 {
	if missing := len(http2Prefix) - len(c.prefix); missing > 0 {
		c.prefix = append(c.prefix, read[:min(missing, len(read))]...)
		if c.isHTTP2() {
			return http2Bytes
		}
	}
	if c.isHTTP2() {
		return 0
	}
	return int64(len(read) + lineBytes*bytes.Count(read, lineEnd))
}

// countHead counts more bytes of a request head. If there is no room for them, it closes the
// connection with the longest incomplete head. It returns false if that is c.
func (g *Guard) countHead(c *conn, read []byte) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.served || !c.listener.countsHeads {
		return true
	}
	if c.received += c.memoryFor(read); c.received <= freeHeadBytes {
		return true
	}
	if _, open := g.conns[c]; !open {
		return false
	}
	counted := c.received - freeHeadBytes
	g.heads += counted - c.head
	c.head = counted
	for g.heads > g.capacity.HeadBytes {
		longest := c
		for other := range g.conns {
			if !other.served && (other.head > longest.head || other.head == longest.head && other.waitingSince.Before(longest.waitingSince)) {
				longest = other
			}
		}
		g.forget(longest)
		g.replaced++
		if longest == c {
			return false
		}
		_ = longest.Conn.Close()
	}
	return true
}

// Served marks a connection of a guarded listener as in use for good. It has no effect on
// others.
func Served(c net.Conn) { guardedConn(c).setServed() }
