package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/responsehead"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// conn is one connection; it carries one request at a time.
type conn struct {
	raw     net.Conn
	counter *countingConn
	reader  *bufio.Reader
	writer  *bufio.Writer
	pool    *pool
	// peerIdleTimeout is how long the server keeps the connection open while it
	// is idle.
	peerIdleTimeout time.Duration
	// used is true once the connection has carried a complete request and
	// response.
	used bool
	// While the connection is idle, the pool's lock guards idleSince and
	// lastResponse. lastResponse is when the last response was read, or when
	// the connection was opened.
	idleSince    time.Time
	lastResponse time.Time
}

// errHeadTooLong is the cause of the error of a request whose response does not begin
// within maxHeadBytes.
var errHeadTooLong = fmt.Errorf("the response head has more than %d bytes", maxHeadBytes)

// errNoID is the cause of the error of a request on a used connection whose response has
// no ID. It may be the response to an earlier request, even one that was not run.
var errNoID = errors.New("the response on a used connection has no request ID")

// errMalformed replaces the errors with which net/http refuses a response: they quote it.
var errMalformed = errors.New("the response is malformed")

// countingConn counts the bytes of a connection and limits those of response heads.
type countingConn struct {
	net.Conn
	address        string
	sent, received func(address string, n int)
	// headBudget is how many more bytes may be read while a head is expected. It is
	// negative while there is no limit. Only the goroutine that reads uses it.
	headBudget int
	// head checks what is read while a head is expected.
	head responsehead.Scanner
	// readErr is the error of the last read. Only the goroutine that reads uses it.
	readErr error
	// written is the number of bytes written. A body that is still being sent is
	// written by another goroutine than the one that reads the counter.
	written atomic.Int64
	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of the first write that failed. writing guards it.
	writeErr error
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.written.Add(int64(n))
	c.sent(c.address, n)
	return n, err
}

// writeFailed reports whether the connection has failed a write.
func (c *countingConn) writeFailed() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr != nil
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.read(b)
	c.readErr = err
	return n, err
}

func (c *countingConn) read(b []byte) (int, error) {
	if c.headBudget == 0 {
		return 0, errHeadTooLong
	}
	if c.headBudget > 0 {
		b = b[:min(len(b), c.headBudget)]
	}
	n, err := c.Conn.Read(b)
	c.received(c.address, n)
	if c.headBudget > 0 {
		c.headBudget -= n
		if headErr := c.head.Scan(b[:n]); headErr != nil {
			return 0, headErr
		}
	}
	if errors.Is(err, io.EOF) {
		err = c.endOfStream()
	}
	return n, err
}

// endOfStream returns io.EOF if the server has ended its side of the connection, and otherwise
// the error that broke the connection. A socket reports that error once: if a write has
// returned it, later reads return io.EOF. EPIPE is the error of a connection that breaks after
// the server has ended its side.
func (c *countingConn) endOfStream() error {
	// A write in progress must return for its error to be known.
	if err := c.SetWriteDeadline(time.Now()); err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return c.writeErr
}

func newConn(raw net.Conn, p *pool, counter *countingConn) *conn {
	return &conn{
		raw:             raw,
		counter:         counter,
		reader:          bufio.NewReaderSize(counter, bufferSize),
		writer:          bufio.NewWriterSize(counter, bufferSize),
		pool:            p,
		peerIdleTimeout: idleTimeout,
		lastResponse:    time.Now(),
	}
}

func (c *conn) close() { _ = c.raw.Close() }

// usable reports whether the connection is open and no data has arrived on it
// since the last response.
func (c *conn) usable() bool {
	return c.reader.Buffered() == 0 && isIdle(c.raw)
}

// roundTrip sends r and returns its response. On failure the connection is
// closed.
func (c *conn) roundTrip(ctx context.Context, r *Request, idHeader string) (*http.Response, error) {
	stop := context.AfterFunc(ctx, c.close)
	start := time.Now()
	r.Progress.Sending()
	writtenBefore := c.counter.written.Load()
	upload := c.send(r)
	resp, err := c.receive(r, idHeader)
	if err != nil {
		stop()
		c.close()
		sent := c.counter.written.Load() != writtenBefore
		if c.used && sent {
			c.pool.closeStale(start)
		}
		return nil, classify(ctx, err, sent)
	}
	c.peerIdleTimeout = keepAlive(resp.Header)
	b := &body{ReadCloser: resp.Body, conn: c, ctx: ctx, stop: stop, upload: upload, reusable: !resp.Close}
	if resp.Body == http.NoBody {
		b.setComplete()
	}
	resp.Body = b
	return resp, nil
}

// upload is the writing of one request.
type upload struct {
	// done is closed once nothing more is written. err is the error then.
	done chan struct{}
	err  error
}

// complete reports whether the whole request has been written.
func (u *upload) complete() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// send writes r. A body that is still arriving is written in another goroutine,
// because the server may respond before it has the complete body. Write errors
// are not returned: the read that follows fails or finds an early response, which
// closing the connection would discard. If the body cannot be read to its end, the
// connection is closed, because the server would wait for the rest.
func (c *conn) send(r *Request) *upload {
	c.writer.Reset(c.counter)
	u := &upload{done: make(chan struct{})}
	if r.Rest == nil {
		u.err = r.writeTo(c.writer)
		close(u.done)
		return u
	}
	go func() {
		defer close(u.done)
		u.err = r.writeTo(c.writer)
		if u.err != nil && !c.counter.writeFailed() {
			c.close()
		}
	}()
	return u
}

// receive reads the response to r. Responses to earlier requests of this
// connection are discarded.
func (c *conn) receive(r *Request, idHeader string) (*http.Response, error) {
	c.counter.headBudget = maxHeadBytes
	defer func() { c.counter.headBudget = -1 }()
	for range maxStaleResponses {
		if err := c.expectHead(); err != nil {
			return nil, err
		}
		resp, err := c.readFinal(r)
		if err != nil {
			return nil, err
		}
		belongs, err := c.belongsTo(resp, r, idHeader)
		if err != nil {
			return nil, err
		}
		if belongs {
			return resp, nil
		}
		if err := c.discard(resp.Body); err != nil {
			return nil, err
		}
		if resp.Close {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return nil, errors.New("received only responses to other requests")
}

// expectHead begins to check the heads of a response, with what has been read ahead of them.
func (c *conn) expectHead() error {
	readAhead, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	c.counter.head = responsehead.Scanner{}
	return c.counter.head.Scan(readAhead)
}

// belongsTo reports whether resp is the response to r, and not a copy of an earlier one.
// The first response of a connection needs no ID for that.
func (c *conn) belongsTo(resp *http.Response, r *Request, idHeader string) (bool, error) {
	if idHeader == "" {
		return true, nil
	}
	id := resp.Header.Get(idHeader)
	if id == "" && c.used {
		return false, errNoID
	}
	return id == "" || id == r.ID, nil
}

// discard reads the body of a stale response to its end.
func (c *conn) discard(body io.Reader) error {
	budget := c.counter.headBudget
	c.counter.headBudget = -1
	defer func() { c.counter.headBudget = budget }()
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStaleBodyBytes))
	if err == nil && n == maxStaleBodyBytes {
		return fmt.Errorf("the body of a stale response has %d bytes or more", maxStaleBodyBytes)
	}
	return err
}

// readFinal reads the next final response and discards informational responses
// before it.
func (c *conn) readFinal(r *Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, c.withoutContent(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the server switched protocols")
		}
	}
}

// withoutContent returns err, the error of reading a response, if it is that of the connection,
// and errMalformed otherwise.
func (c *conn) withoutContent(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, c.counter.readErr) {
		return err
	}
	return errMalformed
}

// release returns the connection to the pool if it is reusable and closes it
// otherwise.
func (c *conn) release(reusable bool) {
	if !reusable {
		c.close()
		return
	}
	c.used = true
	c.lastResponse = time.Now()
	c.pool.put(c)
}

// keepAlive returns how long an idle connection may be used according to the
// server's Keep-Alive header: its timeout, less a fifth as a margin for a request
// in transit. Without a timeout it returns idleTimeout.
func keepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second * 4 / 5
		}
	}
	return idleTimeout
}

// body is a response body that releases its connection when it is closed.
type body struct {
	io.ReadCloser
	conn *conn
	// ctx is that of the request. stop ends its effect on the connection.
	ctx      context.Context
	stop     func() bool
	upload   *upload
	reusable bool
	complete bool
	// detached is true once the end of the context has no effect on the connection any more.
	detached bool
	once     sync.Once
}

// setComplete records that the whole response has been read. If the request is still being
// sent, its caller may have the response and leave: what has arrived of the body is for the
// server all the same.
func (b *body) setComplete() {
	b.complete = true
	if b.Uploading() {
		b.detached = b.stop()
	}
}

// Uploading reports whether the body of the request is still being written.
func (b *body) Uploading() bool {
	select {
	case <-b.upload.done:
		return false
	default:
		return true
	}
}

// AwaitUpload waits until the body of the request has been written, as far as it arrives and
// the server reads it, at most until the deadline of the request or the end of this process.
func (b *body) AwaitUpload() {
	var expired <-chan time.Time
	if deadline, ok := b.ctx.Deadline(); ok {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	ended := b.ctx.Done()
	for {
		select {
		case <-b.upload.done:
			return
		case <-expired:
			return
		case <-ended:
			if !b.detached || errors.Is(context.Cause(b.ctx), fault.ErrStopping) {
				return
			}
			ended = nil
		}
	}
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if !b.complete {
			b.setComplete()
		}
		return n, err
	}
	if err != nil {
		return n, b.conn.withoutContent(err)
	}
	return n, nil
}

// Close returns the connection to the pool if the request was written and the
// response was read to its end, and closes the connection otherwise.
func (b *body) Close() error {
	b.once.Do(func() {
		canceled := !b.detached && !b.stop()
		b.conn.release(b.complete && b.reusable && !canceled && b.upload.complete())
	})
	return nil
}

// classify wraps err with the error kind for a failed request. sent says whether
// any byte of the request may have been sent.
func classify(ctx context.Context, err error, sent bool) error {
	switch {
	case ctx.Err() != nil || fault.DeadlinePassed(ctx):
		return fault.OfContext(ctx, err, sent)
	case sent:
		return fault.Wrap(fault.ConnectionLost, err, "the connection was lost: %s", err)
	}
	return fault.Wrap(fault.ConnectFailed, err, "the request was not sent: %s", err)
}
