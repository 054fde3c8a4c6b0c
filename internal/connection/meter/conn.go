// Package meter wraps network connections to measure their traffic: the number of bytes
// written, which shows whether any part of a request was sent, and the time since data
// was last received.
package meter

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

// ErrSilent is the cause of the error of a request that was abandoned because its
// connection was silent: no data was received on it for too long. It says nothing about
// the other end, which may be healthy.
var ErrSilent = errors.New("no data received on the connection for too long")

// IsSilent reports whether err is ErrSilent, or an error with a fault kind whose cause is
// ErrSilent. errors.Is alone is not enough, because errorx hides the causes of its errors
// from it.
func IsSilent(err error) bool {
	var typed *errorx.Error
	if errors.As(err, &typed) {
		return errors.Is(typed.Cause(), ErrSilent)
	}
	return errors.Is(err, ErrSilent)
}

// Conn is a network connection that measures its traffic. It is safe for concurrent use.
type Conn struct {
	net.Conn
	// lastRead is the time of the last read that returned data, in nanoseconds since the
	// Unix epoch.
	lastRead atomic.Int64

	mu            sync.Mutex
	written       int64
	writesStopped bool
}

// New wraps conn. The time since data was last received starts at zero.
func New(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

// Read reads from the connection and records the time if it returns data.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write writes to the connection. All bytes of b are counted as written even if the
// write fails, because some of them may have been sent.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.writesStopped {
		c.mu.Unlock()
		return 0, os.ErrClosed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// ReadIdle returns the time since data was last read.
func (c *Conn) ReadIdle() time.Duration {
	return time.Since(time.Unix(0, c.lastRead.Load()))
}

// Written returns the number of bytes that have been passed to Write.
func (c *Conn) Written() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// StopWrites makes all later writes fail and returns the number of bytes written. If this
// number has not increased since a request began, no byte of that request was sent.
func (c *Conn) StopWrites() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesStopped = true
	return c.written
}

// DialFunc is the type of functions that open a connection to address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

type captureKey struct{}

// Capture returns a context with which a function returned by Dialer also stores the
// connection that it opens in *conn.
func Capture(ctx context.Context, conn **Conn) context.Context {
	return context.WithValue(ctx, captureKey{}, conn)
}

// Dialer returns a function that opens connections with dial and wraps them in a Conn.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := New(raw)
		if captured, ok := ctx.Value(captureKey{}).(**Conn); ok {
			*captured = conn
		}
		return conn, nil
	}
}
