// Package rpc carries JSON-RPC 2.0 between processes over mutual TLS. A link
// that goes silent is found by a probe as soon as one of its calls waits, and
// every call on it then fails with ConnectionLost.
package rpc

import (
	"net"
	"time"
)

// Times of a link.
const (
	// DialTimeout bounds connecting and the TLS handshake.
	DialTimeout = 500 * time.Millisecond
	// SuspectAfter is how long a call waits before the link is probed.
	SuspectAfter = 300 * time.Millisecond
	// ProbeTimeout is how long the other end may take to answer a probe.
	ProbeTimeout = 400 * time.Millisecond
	// writeTimeout bounds one write to the connection.
	writeTimeout = 1 * time.Second
)

const methodProbe = "link.probe"

// deadlineConn bounds each write, so that a full send buffer can't block a
// link for good.
type deadlineConn struct {
	net.Conn
}

// Write implements net.Conn.
func (c deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// quiet drops what the JSON-RPC library logs of links that close; the callers
// learn of it as errors.
type quiet struct{}

// Printf implements jsonrpc2.Logger.
func (quiet) Printf(string, ...any) {}
