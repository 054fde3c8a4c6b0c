package listener

import (
	"net"
	"net/http"
)

// Abort ends the handler of r, whose response is incomplete, so that it does not look complete. The
// connection is closed before the end of the body. HTTP/1.0 has no such end but that of the
// connection, which is therefore reset.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection of an HTTP/1 response.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the server closes the connection
	}
	if socket := socketOf(conn); socket != nil {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}

// lingerer is a socket. Without time to linger, closing it resets the connection.
type lingerer interface{ SetLinger(seconds int) error }

// socketOf returns the socket below c, or nil.
func socketOf(c net.Conn) lingerer {
	for {
		switch wrapped := c.(type) {
		case lingerer:
			return wrapped
		case interface{ NetConn() net.Conn }:
			c = wrapped.NetConn()
		default:
			return nil
		}
	}
}
