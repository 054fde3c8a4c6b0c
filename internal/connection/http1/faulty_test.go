package http1

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
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

// failingConn is a connection whose writes fail and whose reads then return a response and
// io.EOF, as those of a socket do once a write has taken the error of the connection.
type failingConn struct {
	net.Conn
	writeErr error
	response io.Reader
	once     sync.Once
	// failing is closed when the first write begins to fail.
	failing chan struct{}
}

func (c *failingConn) Write([]byte) (int, error) {
	c.once.Do(func() { close(c.failing) })
	return 0, c.writeErr
}

func (c *failingConn) Read(b []byte) (int, error) {
	<-c.failing
	return c.response.Read(b)
}

func (c *failingConn) SetWriteDeadline(time.Time) error { return nil }
func (c *failingConn) Close() error                     { return nil }

// TestWriteTakesTheErrorOfTheConnection checks that a response without a length is incomplete
// if the connection broke, also where a write and not a read has returned the error. One that
// the server ended before the connection broke is complete.
func TestWriteTakesTheErrorOfTheConnection(t *testing.T) {
	for _, c := range []struct {
		writeErr syscall.Errno
		complete bool
	}{
		{syscall.ECONNRESET, false},
		{syscall.ETIMEDOUT, false},
		{syscall.EPIPE, true},
	} {
		for name, request := range map[string]Request{
			"body":        {Body: []byte("body"), Length: 4},
			"long body":   {Body: []byte("begin"), Rest: strings.NewReader("end"), Length: 8},
			"endless one": {Rest: endlessReader{}, Length: -1},
		} {
			t.Run(fmt.Sprintf("%s, %s", c.writeErr, name), func(t *testing.T) {
				client := NewClient(Options{Dial: func(context.Context, string, string) (net.Conn, error) {
					return &failingConn{
						writeErr: &net.OpError{Op: "write", Err: c.writeErr}, failing: make(chan struct{}),
						response: strings.NewReader("HTTP/1.1 200 OK\r\n\r\ntext"),
					}, nil
				}})
				request.Method, request.URI, request.Host = http.MethodPost, "/", "h"
				resp, err := client.Do(t.Context(), "10.0.0.1:80", &request)
				must.NoError(t, err)
				text, err := io.ReadAll(resp.Body)
				must.Eq(t, "text", string(text))
				must.Eq(t, c.complete, err == nil, must.Sprint(err))
				must.NoError(t, resp.Body.Close())
			})
		}
	}
}

type endlessReader struct{}

func (endlessReader) Read(b []byte) (int, error) { return len(b), nil }

// TestBrokenHeadAfterAStaleResponse checks the head that follows a stale response, of which a
// part has been read ahead.
func TestBrokenHeadAfterAStaleResponse(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nstale" +
		"HTTP/1.1 000 No Status\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	for at := range text {
		if at%8 != 0 {
			continue
		}
		address := serve(t, func(conn net.Conn, _ *http.Request, _ int) { writeSplit(conn, text, at) })
		_, err := get(t, NewClient(Options{IDHeader: "Id"}), address, "1")
		must.Eq(t, fault.ConnectionLost, fault.KindOf(err), must.Sprintf("split at %d", at))
	}
}
