package http1

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// splitDelay is the time between the parts of a response that arrive in separate reads.
const splitDelay = 5 * time.Millisecond

// writeSplit writes text in two parts.
func writeSplit(conn net.Conn, text string, at int) {
	_, _ = io.WriteString(conn, text[:at])
	time.Sleep(splitDelay)
	_, _ = io.WriteString(conn, text[at:])
}

// TestRepeatedRefusalIsNotTheResponse checks what happens when a server writes an
// earlier refusal once more on a connection that is in use again. The later request is
// running, so it must get its own response or an error that does not say "not run".
func TestRepeatedRefusalIsNotTheResponse(t *testing.T) {
	const body = "full"
	for name, id := range map[string]string{"with the earlier ID": "Id: 1\r\n", "without an ID": ""} {
		refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%sNot-Run: 1\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		for at := range refusal {
			if at%16 != 0 {
				continue
			}
			address := serve(t, func(conn net.Conn, r *http.Request, n int) {
				if n == 1 {
					writeSplit(conn, refusal, at)
				}
				if n == 0 {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					return
				}
				writeResponse(conn, r.Header.Get("Id"), "response "+r.Header.Get("Id"))
			})
			c := NewClient(Options{IDHeader: "Id"})
			text, err := get(t, c, address, "1")
			must.NoError(t, err)
			must.Eq(t, body, text)
			text, err = get(t, c, address, "2")
			if err == nil {
				must.Eq(t, "response 2", text, must.Sprintf("%s, split at %d", name, at))
				continue
			}
			must.Eq(t, fault.Unknown, fault.OutcomeOf(err), must.Sprintf("%s, split at %d", name, at))
		}
	}
}

// TestRequestWithoutAnIDGetsItsOwnConnection checks that a response which cannot name its
// request is only expected on a connection without an earlier response.
func TestRequestWithoutAnIDGetsItsOwnConnection(t *testing.T) {
	address := serve(t, func(conn net.Conn, r *http.Request, n int) {
		if n > 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
		writeResponse(conn, r.Header.Get("Id"), "own")
	})
	c := NewClient(Options{IDHeader: "Id"})
	for _, id := range []string{"1", "", ""} {
		body, err := get(t, c, address, id)
		must.NoError(t, err)
		must.Eq(t, "own", body)
	}
}

// TestHeadThatBreaksOffIsNoResponse closes the connection after each number of bytes of a
// response head, with a FIN and with a reset.
func TestHeadThatBreaksOffIsNoResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1234\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: 1\r\nStamp: abcdef\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nId: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: 1\r\n\r\n",
		"HTTP/1.1 200 OK\nId: 1\nContent-Length: 0\n\n",
	} {
		for _, reset := range []bool{false, true} {
			for cut := range head {
				address := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
					writeSplit(conn, head[:cut], cut/2)
					if tcp, ok := conn.(*net.TCPConn); ok && reset {
						_ = tcp.SetLinger(0)
					}
					_ = conn.Close()
				})
				_, err := get(t, NewClient(Options{IDHeader: "Id"}), address, "1")
				must.Eq(t, fault.ConnectionLost, fault.KindOf(err), must.Sprintf("%q, reset: %t", head[:cut], reset))
			}
		}
	}
}
