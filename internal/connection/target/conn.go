package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/meter"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// conn is one HTTP/1.1 connection; it carries one request at a time.
type conn struct {
	cc     *http.ClientConn
	meter  *meter.Conn
	pool   *pool
	opened time.Time
	// used is true once the connection has carried a request. It is changed
	// only while no request holds the connection.
	used bool

	// Guarded by the pool's lock.
	idleSince time.Time
	// sent is when the request was sent that has no answer yet.
	sent  time.Time
	ended bool
}

func (c *conn) idleFor() time.Duration { return time.Since(c.idleSince) }

// roundTrip sends r on its reserved place. sent is false where certainly no
// byte of r left this process.
func (c *conn) roundTrip(r *http.Request, repeatable bool) (resp *http.Response, sent bool, err error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	start := time.Now()
	stop := c.watch(start, cancel, repeatable)
	before := c.meter.Written()
	resp, err = c.cc.RoundTrip(r.WithContext(ctx))
	stop()
	if err != nil {
		if errors.Is(context.Cause(ctx), meter.ErrSilent) {
			err = meter.ErrSilent
		}
		cancel(err)
		sent = c.meter.Seal() != before
		_ = c.cc.Close()
		c.pool.end(c)
		return nil, sent, err
	}
	c.pool.answered(c, time.Since(start))
	resp.Body = &body{ReadCloser: resp.Body, conn: c, cancel: cancel, whole: resp.Body == http.NoBody}
	return resp, true, nil
}

// watch tells the pool where no answer begins in the usual time. On a new
// connection nothing is concluded from that.
func (c *conn) watch(start time.Time, cancel context.CancelCauseFunc, repeatable bool) (stop func()) {
	if !c.used {
		return func() {}
	}
	if !repeatable {
		cancel = nil
	}
	timer := time.AfterFunc(c.pool.sending(c, start), func() { c.pool.stall(c, start, cancel) })
	return func() { timer.Stop() }
}

// release gives the connection back where the answer was read to its end, and
// ends it otherwise.
func (c *conn) release(whole bool) {
	if whole && c.cc.Err() == nil {
		c.pool.put(c)
		return
	}
	_ = c.cc.Close()
	c.pool.end(c)
}

// body releases its connection once it is closed.
type body struct {
	io.ReadCloser
	conn   *conn
	cancel context.CancelCauseFunc
	once   sync.Once
	whole  bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		b.conn.release(b.whole)
		b.cancel(nil)
	})
	return err
}

// classify gives an error of a connection its kind.
func classify(ctx context.Context, err error, sent bool) error {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case expired && sent:
		return fault.Wrap(fault.DeadlineUnknown, err, "the deadline passed while the target ran the request")
	case expired:
		return fault.Wrap(fault.DeadlineNotRun, err, "the deadline passed before the target was given the request")
	case ctx.Err() != nil:
		return fault.Wrap(fault.CallerGone, err, "the caller left")
	case sent:
		return fault.Wrap(fault.ConnectionLost, err, "the connection to the target was lost")
	}
	return fault.Wrap(fault.ConnectFailed, err, "the target was not given the request")
}
