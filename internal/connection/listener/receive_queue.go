package listener

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// limitReceiveQueue sets the size of the receive buffer of a connection. An error leaves it
// as it was: the connection has ended, or is not one of TCP.
func limitReceiveQueue(c net.Conn, size int) {
	if tcp, ok := c.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = tcp.SetReadBuffer(size)
	}
}

// limitReceiveQueues makes the connections of a listening socket begin with the receive buffer
// of receiveQueueBytes, so that their clients are not offered a larger window. The buffer is not
// locked: a locked one would limit the window of its connections for good.
func limitReceiveQueues(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveQueueBytes); err == nil {
			// Kernels before 5.14 do not know the option.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BUF_LOCK, 0)
		}
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// limitBacklog bounds the number of connections that wait to be accepted, whose receive queues
// hold memory too.
func limitBacklog(ln net.Listener, connections int) error {
	socket, ok := ln.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), connections) }); err != nil {
		return err
	}
	return listenErr
}
