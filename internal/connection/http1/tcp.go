package http1

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent data may stay unacknowledged before the
	// connection is considered dead.
	userTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount are the TCP keep-alive parameters
	// that detect a silent idle connection.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

var dialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	Control: func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockErr
	},
}

func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

// isIdle reports whether the connection is open and has no data to read. It
// returns true for connections that are not sockets.
func isIdle(raw net.Conn) bool {
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && open
}
