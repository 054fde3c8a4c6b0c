// Package connectiontest holds helpers for tests of connections.
package connectiontest

import (
	"net"
	"sync/atomic"
)

// CountingListener counts the bytes that its connections send and receive, TLS
// included.
type CountingListener struct {
	net.Listener
	bytes atomic.Int64
}

// NewCountingListener wraps l.
func NewCountingListener(l net.Listener) *CountingListener { return &CountingListener{Listener: l} }

// Bytes returns the number of bytes counted so far.
func (l *CountingListener) Bytes() int64 { return l.bytes.Load() }

// Accept implements net.Listener.
func (l *CountingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts before it writes: the receiver may read the count as soon as it has the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n - len(b)))
	return n, err
}
