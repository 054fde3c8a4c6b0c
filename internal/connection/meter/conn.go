// Package meter wraps network connections to know what has passed over them:
// whether anything was written for a request, and when the other end was last
// heard.
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

// ErrSilent is the cause of errors of requests that were given up because their
// connection is taken to be silent: the other end may be well.
var ErrSilent = errors.New("nothing was heard on the connection")

// IsSilent reports whether err is ErrSilent, or of a fault kind with ErrSilent
// as its cause; errorx hides the causes of its errors from errors.Is.
func IsSilent(err error) bool {
	var typed *errorx.Error
	if errors.As(err, &typed) {
		return errors.Is(typed.Cause(), ErrSilent)
	}
	return errors.Is(err, ErrSilent)
}

// Conn is a connection that counts. It may be used by any number of
// goroutines.
type Conn struct {
	net.Conn
	// lastRead is the time of the last read that returned data, in nanoseconds
	// since 1970.
	lastRead atomic.Int64

	mu      sync.Mutex
	written int64
	sealed  bool
}

// New wraps conn; it counts as heard now.
func New(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

// Read reads from the connection and notes when data came.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write writes to the connection. Every byte that it is given counts as
// written, also where the write fails: some of it may have left.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, os.ErrClosed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Silence returns how long nothing has been read.
func (c *Conn) Silence() time.Duration {
	return time.Since(time.Unix(0, c.lastRead.Load()))
}

// Written returns the number of bytes given to Write so far.
func (c *Conn) Written() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// Seal lets no further byte out and returns the number of bytes written. A
// request for which the number has not grown was certainly never sent.
func (c *Conn) Seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// Dial opens a connection to address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

type captureKey struct{}

// Capture returns a context under which Dialer hands the connection that it
// opens to the caller as well, in *conn.
func Capture(ctx context.Context, conn **Conn) context.Context {
	return context.WithValue(ctx, captureKey{}, conn)
}

// Dialer wraps the connections that dial opens.
func Dialer(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := New(raw)
		if slot, ok := ctx.Value(captureKey{}).(**Conn); ok {
			*slot = conn
		}
		return conn, nil
	}
}
