// Package rpc implements JSON-RPC 2.0 between processes, over mutual TLS or, with a
// plain identity, over TCP alone. A link is one connection that carries concurrent
// calls. While a call waits for its reply, the client probes the link. If the other end
// does not reply to a probe, the client closes the link, and all its pending calls fail
// with ConnectionLost. Links between replicas without TLS are compressed; with TLS, the
// lengths of compressed messages would tell something about their content.
package rpc

import (
	"net"
	"time"
)

// Timeouts of a link.
const (
	// DialTimeout limits the time for connecting, including the TLS handshake.
	DialTimeout = 500 * time.Millisecond
	// ProbeAfter is the time that a call waits for its reply before the link is probed.
	ProbeAfter = 300 * time.Millisecond
	// ProbeTimeout is the time within which the other end must reply to a probe.
	ProbeTimeout = 400 * time.Millisecond
	// writeTimeout limits the time of one write to the connection.
	writeTimeout = 1 * time.Second
	// frameTimeout is the time within which a frame must arrive whose length has.
	frameTimeout = 30 * time.Second
)

// methodProbe checks that the other end responds. methodCompress asks it to send
// compressed frames, and to accept them; a build without compression does not know
// the method.
const (
	methodProbe    = "link.probe"
	methodCompress = "link.compress"
)

// deadlineConn sets a deadline for each write, so that a full send buffer cannot block
// a link indefinitely.
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

// discardLogger discards the messages that the JSON-RPC library logs about closed
// links. Callers get errors from their calls instead.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
