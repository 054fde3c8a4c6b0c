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
	cc    *http.ClientConn
	meter *meter.Conn
	// checked is the connection that meter measures.
	checked *checkedConn
	pool    *pool
	opened  time.Time
	// used is true if the connection has carried a request before the current
	// one. It changes only while no request holds the connection.
	used bool

	// The pool's lock guards the fields below.
	idleSince time.Time
	// sentAt is when the request that waits for its response was sent; zero if
	// there is none.
	sentAt  time.Time
	removed bool
}

func (c *conn) idleFor() time.Duration { return time.Since(c.idleSince) }

// roundTrip sends r on the reserved connection. sent is false only if no byte of
// r can have left this process.
func (c *conn) roundTrip(r *http.Request, idempotent bool) (resp *http.Response, sent bool, err error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	start := time.Now()
	stop := c.watchForStall(start, cancel, idempotent)
	writtenBefore := c.meter.Written()
	c.checked.expectHead()
	resp, err = c.cc.RoundTrip(r.WithContext(ctx))
	stop()
	if err != nil {
		if errors.Is(context.Cause(ctx), meter.ErrSilent) {
			err = meter.ErrSilent
		}
		cancel(err)
		sent = c.meter.StopWrites() != writtenBefore
		_ = c.cc.Close()
		c.pool.remove(c)
		return nil, sent, err
	}
	c.pool.recordResponse(c, time.Since(start))
	resp.Body = &body{ReadCloser: resp.Body, conn: c, cancel: cancel, complete: resp.Body == http.NoBody}
	return resp, true, nil
}

// watchForStall reports a stall to the pool if no response begins within the
// first-byte timeout. New connections are not watched: a late response there says
// nothing about the connection.
func (c *conn) watchForStall(start time.Time, cancel context.CancelCauseFunc, idempotent bool) (stop func()) {
	if !c.used {
		return func() {}
	}
	if !idempotent {
		cancel = nil
	}
	timer := time.AfterFunc(c.pool.recordSend(c, start), func() { c.pool.recordStall(c, start, cancel) })
	return func() { timer.Stop() }
}

// release returns the connection to the pool if the response was read to its end
// and closes the connection otherwise.
func (c *conn) release(complete bool) {
	if complete && c.cc.Err() == nil {
		c.pool.put(c)
		return
	}
	_ = c.cc.Close()
	c.pool.remove(c)
}

// body is a response body that releases its connection when it is closed.
type body struct {
	io.ReadCloser
	conn     *conn
	cancel   context.CancelCauseFunc
	once     sync.Once
	complete bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		b.conn.release(b.complete)
		b.cancel(nil)
	})
	return err
}

// classify wraps err with the error kind for a failed request. sent says whether
// any byte of the request may have been sent.
func classify(ctx context.Context, err error, sent bool) error {
	switch {
	case ctx.Err() != nil:
		return fault.OfContext(ctx, err, sent)
	case sent:
		return fault.Wrap(fault.ConnectionLost, err, "the connection to the target was lost")
	}
	return fault.Wrap(fault.ConnectFailed, err, "the request was not sent to the target")
}
