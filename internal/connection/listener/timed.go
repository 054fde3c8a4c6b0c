package listener

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// queueCheckInterval is the time between two checks of an idle queue of connections. It limits
// by how much a connection is taken for older than it is.
const queueCheckInterval = 50 * time.Millisecond

// TimedListener is a listener that bounds the age of its connections. A connection may wait to
// be accepted for as long as the process stands still or is busy, and nothing in it tells for
// how long. So the listener checks its queue again and again; the queue is in the order in which
// the connections were opened.
//
// Invariant: a connection was opened after emptyAt as of its Accept.
type TimedListener struct {
	*Listener
	now func() time.Time
	// emptyAt is a time at which no connection waited.
	emptyAt time.Time
}

// ListenTimed opens a listener like that of Listen. now is a clock that goes on while the process
// or the machine stands still. Errors: SettingsInvalid if the address cannot be used.
func ListenTimed(ctx context.Context, address string, now func() time.Time) (*TimedListener, error) {
	emptyAt := now()
	l, err := Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return &TimedListener{Listener: l, now: now, emptyAt: emptyAt}, nil
}

// Accept implements net.Listener. It must be called by one goroutine at a time, again and again.
func (l *TimedListener) Accept() (net.Conn, error) {
	for {
		if err := l.checkQueue(); err != nil {
			return nil, err
		}
		if err := l.SetDeadline(time.Now().Add(queueCheckInterval)); err != nil {
			return nil, err
		}
		accepted, err := l.AcceptTCP()
		if err == nil {
			return &timedConn{TCPConn: accepted, openedAfter: l.emptyAt}, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
	}
}

// checkQueue sets emptyAt if no connection waits.
func (l *TimedListener) checkQueue() error {
	socket, err := l.SyscallConn()
	if err != nil {
		return fault.Wrap(fault.Internal, err, "access the socket of a listener")
	}
	now := l.now()
	waiting := 0
	var pollErr error
	err = socket.Control(func(fd uintptr) {
		waiting, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	if err != nil {
		return err // the listener is closed
	}
	switch {
	case pollErr != nil && !errors.Is(pollErr, unix.EINTR):
		return os.NewSyscallError("poll", pollErr)
	case pollErr == nil && waiting == 0:
		l.emptyAt = now
	}
	return nil
}

// timedConn is a connection that a TimedListener accepted.
type timedConn struct {
	*net.TCPConn
	// openedAfter is a time before the connection was opened.
	openedAfter time.Time
}

// OpenedAfter returns a time at which the connection of a request was not open yet, by the clock
// of its TimedListener. It is zero if no such time is known. So the request is younger than that.
func OpenedAfter(ctx context.Context) time.Time {
	c := connOf(ctx)
	if c == nil {
		return time.Time{}
	}
	timed, ok := c.Conn.(*timedConn)
	if !ok {
		return time.Time{}
	}
	return timed.openedAfter
}
