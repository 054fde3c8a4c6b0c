package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// conn is one connection; it carries one request at a time.
type conn struct {
	raw    net.Conn
	counts *counted
	reader *bufio.Reader
	writer *bufio.Writer
	pool   *pool
	// keep is how long the other end keeps the connection idle.
	keep time.Duration
	// used is true once an answer was read whole.
	used bool
	// idleSince and answered are guarded by the pool's lock while idle.
	idleSince time.Time
	answered  time.Time
}

// counted counts the bytes that were written.
type counted struct {
	net.Conn
	written int64
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

func newConn(raw net.Conn, p *pool) *conn {
	counts := &counted{Conn: raw}
	return &conn{
		raw:      raw,
		counts:   counts,
		reader:   bufio.NewReaderSize(raw, bufferSize),
		writer:   bufio.NewWriterSize(counts, bufferSize),
		pool:     p,
		keep:     idleLife,
		answered: time.Now(),
	}
}

func (c *conn) close() { _ = c.raw.Close() }

// usable reports whether the connection is open and nothing has come on it
// since its last answer.
func (c *conn) usable() bool {
	return c.reader.Buffered() == 0 && quiet(c.raw)
}

// roundTrip sends r and returns its answer. On failure the connection is gone.
func (c *conn) roundTrip(ctx context.Context, r *Request, idHeader string) (*http.Response, error) {
	stop := context.AfterFunc(ctx, c.close)
	began := time.Now()
	before := c.counts.written
	wrote := c.send(r)
	resp, err := c.receive(r, idHeader)
	if err != nil {
		stop()
		c.close()
		sent := c.counts.written != before
		if c.used && sent {
			c.pool.retire(began)
		}
		return nil, classify(ctx, err, sent)
	}
	c.keep = keepAlive(resp.Header)
	resp.Body = &body{ReadCloser: resp.Body, conn: c, stop: stop, wrote: wrote, reusable: !resp.Close, whole: resp.Body == http.NoBody}
	return resp, nil
}

// send writes r and returns a function that reports whether all of it was
// written. A body that is still coming in is written beside the reading, as the
// other end may answer before it has the whole body. The error of a write is
// not looked at: the read that follows fails or finds an early answer. Where
// the body cannot be read to its end the connection is closed, as the other end
// would wait for the rest.
func (c *conn) send(r *Request) (wrote func() bool) {
	c.writer.Reset(c.counts)
	if r.Rest == nil {
		err := r.writeTo(c.writer)
		return func() bool { return err == nil }
	}
	var mu sync.Mutex
	whole := false
	go func() {
		err := r.writeTo(c.writer)
		if err != nil {
			c.close()
		}
		mu.Lock()
		defer mu.Unlock()
		whole = err == nil
	}()
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return whole
	}
}

// receive reads the answer to r. Answers to earlier requests of this
// connection are passed over.
func (c *conn) receive(r *Request, idHeader string) (*http.Response, error) {
	for range maxSkipped {
		resp, err := c.readFinal(r)
		if err != nil {
			return nil, err
		}
		id := ""
		if idHeader != "" {
			id = resp.Header.Get(idHeader)
		}
		if id == "" || id == r.ID {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
		if resp.Close {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return nil, errors.New("only answers to other requests came")
}

// readFinal reads one answer, informational ones left out.
func (c *conn) readFinal(r *Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the other end switched protocols")
		}
	}
}

// release makes the connection idle where it can carry another request.
func (c *conn) release(reusable bool) {
	if !reusable {
		c.close()
		return
	}
	c.used = true
	c.answered = time.Now()
	c.pool.put(c)
}

// keepAlive returns how long the other end says that it keeps an idle
// connection, less a margin for a request that is on its way.
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
	return idleLife
}

// body releases its connection once it is closed.
type body struct {
	io.ReadCloser
	conn     *conn
	stop     func() bool
	wrote    func() bool
	reusable bool
	whole    bool
	once     sync.Once
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close gives the connection back where the answer was read to its end and the
// request was written to its end.
func (b *body) Close() error {
	b.once.Do(func() {
		canceled := !b.stop()
		b.conn.release(b.whole && b.reusable && !canceled && b.wrote())
	})
	return nil
}

// classify gives an error of a connection its kind.
func classify(ctx context.Context, err error, sent bool) error {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case expired && sent:
		return fault.Wrap(fault.DeadlineUnknown, err, "the deadline passed before an answer came")
	case expired:
		return fault.Wrap(fault.DeadlineNotRun, err, "the deadline passed before the request was sent")
	case ctx.Err() != nil:
		return fault.Wrap(fault.CallerGone, err, "the caller left")
	case sent:
		return fault.Wrap(fault.ConnectionLost, err, "the connection was lost: %s", err)
	}
	return fault.Wrap(fault.ConnectFailed, err, "the request was not sent: %s", err)
}
