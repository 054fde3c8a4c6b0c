package memnet

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

var errReset = errors.New("connection reset by peer")

// Conn is one end of an in-memory connection.
type Conn struct {
	in, out *stream
	address addr
}

func newPair(latency time.Duration, address addr) (client, server *Conn) {
	a, b := newStream(latency), newStream(latency)
	return &Conn{in: a, out: b, address: address}, &Conn{in: b, out: a, address: address}
}

// Read blocks until data is available or the read deadline passes.
func (c *Conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write never blocks.
func (c *Conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close closes the connection. The other end reads the data written so far, then
// EOF.
func (c *Conn) Close() error {
	c.out.push(nil, io.EOF)
	c.in.closeRead(net.ErrClosed)
	c.out.closeWrite(net.ErrClosed)
	return nil
}

// Reset closes the connection with a reset error at both ends.
func (c *Conn) Reset() {
	c.out.push(nil, errReset)
	c.in.closeRead(errReset)
	c.out.closeWrite(errReset)
}

// LocalAddr returns the address that was dialed.
func (c *Conn) LocalAddr() net.Addr { return c.address }

// RemoteAddr returns the address that was dialed.
func (c *Conn) RemoteAddr() net.Addr { return c.address }

// SetDeadline sets the read deadline; writes never block.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline does nothing; writes never block.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline sets the time at which reads fail with os.ErrDeadlineExceeded.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// stream carries data in one direction. Writes never block.
type stream struct {
	latency time.Duration

	// changed wakes the reader after a change of the fields below.
	changed chan struct{}

	mu         sync.Mutex
	chunks     []chunk
	discarding bool
	readErr    error // if set, returned by all reads
	writeErr   error
	deadline   time.Time
}

type chunk struct {
	data       []byte
	err        error // ends the stream; set only if data is empty
	readableAt time.Time
}

func newStream(latency time.Duration) *stream {
	return &stream{latency: latency, changed: make(chan struct{}, 1)}
}

func (s *stream) write(b []byte) (int, error) {
	s.mu.Lock()
	err := s.writeErr
	s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	s.push(append([]byte(nil), b...), nil)
	return len(b), nil
}

func (s *stream) push(data []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.discarding || s.writeErr != nil {
		return
	}
	s.chunks = append(s.chunks, chunk{data, err, time.Now().Add(s.latency)})
	s.wakeReader()
}

func (s *stream) read(b []byte) (int, error) {
	for {
		n, wait, err := s.tryRead(b)
		if n > 0 || err != nil {
			return n, err
		}
		timer := time.NewTimer(wait)
		select {
		case <-s.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryRead reads without blocking. If nothing can be read yet, it returns how long
// to wait.
func (s *stream) tryRead(b []byte) (n int, wait time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	wait = time.Hour
	switch {
	case s.readErr != nil:
		return 0, 0, s.readErr
	case !s.deadline.IsZero() && !now.Before(s.deadline):
		return 0, 0, os.ErrDeadlineExceeded
	case len(s.chunks) > 0 && !now.Before(s.chunks[0].readableAt):
		n, err = s.take(b)
		return n, 0, err
	}
	if len(s.chunks) > 0 {
		wait = s.chunks[0].readableAt.Sub(now)
	}
	if !s.deadline.IsZero() {
		wait = min(wait, s.deadline.Sub(now))
	}
	return 0, wait, nil
}

func (s *stream) take(b []byte) (int, error) {
	first := &s.chunks[0]
	if first.err != nil {
		return 0, first.err
	}
	n := copy(b, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		s.chunks = s.chunks[1:]
	}
	return n, nil
}

// closeRead makes all reads fail with err at once. Data written from then on is
// discarded.
func (s *stream) closeRead(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readErr = err
	s.discarding = true
	s.wakeReader()
}

// closeWrite makes further writes fail with err.
func (s *stream) closeWrite(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeErr = err
}

func (s *stream) blackhole() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discarding = true
	s.chunks = nil
}

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	s.wakeReader()
}

func (s *stream) wakeReader() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
