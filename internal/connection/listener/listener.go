package listener

import (
	"net"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Listener is a TCP listener that can refuse new connections before it is closed.
type Listener struct {
	*net.TCPListener
}

// Positions in a TCP header, and its flags.
const (
	tcpFlagsOffset = 13
	tcpSYN         = 0x02
	tcpACK         = 0x10
)

// dropSYN is a packet filter for a listening socket: it drops the packet that opens a
// connection and lets those of connections that are being opened pass.
var dropSYN = []bpf.Instruction{
	bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
	bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: tcpSYN | tcpACK},
	bpf.JumpIf{Cond: bpf.JumpEqual, Val: tcpSYN, SkipFalse: 1},
	bpf.RetConstant{Val: 0},
	bpf.RetConstant{Val: 0xffff_ffff},
}

// RefuseNew makes the listener ignore attempts to open a connection. Connections that
// were opened before can still be accepted. The client repeats its attempt after a
// second; once the listener is closed, it is refused. Closing the listener alone would
// reset connections that are open for their clients and not yet accepted. Errors:
// Internal if the platform has no packet filters.
func (l *Listener) RefuseNew() error {
	raw, err := bpf.Assemble(dropSYN)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "assemble the packet filter of a listener")
	}
	filters := make([]unix.SockFilter, len(raw))
	for i, instruction := range raw {
		filters[i] = unix.SockFilter{Code: instruction.Op, Jt: instruction.Jt, Jf: instruction.Jf, K: instruction.K}
	}
	conn, err := l.SyscallConn()
	if err != nil {
		return fault.Wrap(fault.Internal, err, "access the socket of a listener")
	}
	var filterErr error
	err = conn.Control(func(fd uintptr) {
		program := unix.SockFprog{Len: uint16(len(filters)), Filter: &filters[0]}
		filterErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err == nil {
		err = filterErr
	}
	if err != nil {
		return fault.Wrap(fault.Internal, err, "attach a packet filter to a listener")
	}
	return nil
}
