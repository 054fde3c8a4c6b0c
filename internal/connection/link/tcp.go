package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long written bytes may stay unacknowledged before the
	// connection is taken to be dead.
	userTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount find a silent idle connection.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

var dialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	},
}

func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

// quiet reports whether the connection is open and no byte waits on it.
func quiet(raw net.Conn) bool {
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
		_, _, peeked := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = peeked == unix.EAGAIN
		return true
	})
	return err == nil && open
}
