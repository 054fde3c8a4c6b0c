package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/version"
)

// TestUnfinishedBodyEndsAtTheDeadline guards against callers that stop in the middle of a body
// and keep their connection, and what was read, for as long as they like.
func TestUnfinishedBodyEndsAtTheDeadline(t *testing.T) {
	for name, framing := range map[string]string{
		"with a length":    "Content-Length: 100\r\n\r\nbegin",
		"in chunks":        "Transfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n",
		"in half a chunk":  "Transfer-Encoding: chunked\r\n\r\n9\r\nbegin",
		"without anything": "Content-Length: 100\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, version.Idempotent, 0, 1)
			caller, err := net.Dial("tcp", m.instances[0].entryAddress)
			must.NoError(t, err)
			defer func() { _ = caller.Close() }()
			_, err = fmt.Fprintf(caller, "POST /p/x HTTP/1.1\r\nHost: %s\r\nTeaselrack-Request: id-1\r\nTeaselrack-Key: %s\r\nTeaselrack-Deadline: 300\r\n%s", host, key, framing)
			must.NoError(t, err)
			must.NoError(t, caller.SetReadDeadline(time.Now().Add(time.Minute)))
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			must.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
			must.True(t, response.Close)
		})
	}
}

// TestBufferedBodiesAreBounded guards against callers whose bodies, sent in part, fill the memory
// of a daemon. Those for which there is no room are refused, and one is served once others end.
func TestBufferedBodiesAreBounded(t *testing.T) {
	const bodyBytes = 60 << 10
	m := newMesh(t, version.Idempotent, 0, 1)
	guard := listener.NewGuard(listener.Capacity{Connections: 10, HeadBytes: 1 << 20, BodyBytes: 2*bodyBytes + 4096})
	server := listener.NewServer(m.instances[0].entry, listener.Options{})
	guard.Protect(server)
	ln, err := listener.Listen(t.Context(), "127.0.0.1:0")
	must.NoError(t, err)
	guarded, err := guard.Listen(ln, 1)
	must.NoError(t, err)
	go func() { _ = server.Serve(guarded) }()
	defer func() { _ = server.Close() }()
	begin := fmt.Sprintf("POST /p/x HTTP/1.1\r\nHost: %s\r\nTeaselrack-Request: id-1\r\nTeaselrack-Key: %s\r\nContent-Length: %d\r\n\r\n", host, key, bodyBytes)
	half, rest := begin+strings.Repeat("x", bodyBytes/2), strings.Repeat("x", bodyBytes/2)
	send := func(text string) net.Conn {
		conn, err := net.Dial("tcp", ln.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprint(conn, text)
		must.NoError(t, err)
		return conn
	}
	status := func(conn net.Conn) int {
		must.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	held := func() string {
		var text strings.Builder
		guard.Write(&text)
		return text.String()
	}
	first, second := send(half), send(half)
	for !strings.Contains(held(), fmt.Sprintf("request_body_bytes %d\n", 2*(bodyBytes+1))) {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, http.StatusServiceUnavailable, status(send(half+rest)))
	for _, conn := range []net.Conn{first, second} {
		_, err := fmt.Fprint(conn, rest)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, status(conn))
	}
	must.Eq(t, http.StatusOK, status(send(half+rest)))
}

// TestDeadlineInTheMiddleOfALongBody guards against connections that are closed without a
// response because the deadline passes while a long body comes in: the read deadline of the
// connection and the deadline of the request are the same moment, and either may be seen first.
func TestDeadlineInTheMiddleOfALongBody(t *testing.T) {
	const (
		callers   = 40
		limit     = 400 // ms
		bodyBytes = 400 << 10
	)
	for name, framing := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes), "chunks": "Transfer-Encoding: chunked\r\n\r\n"} {
		m := newMesh(t, version.Once, 0, 1)
		for way, from := range map[string]*instance{"local": m.instances[0], "forwarded": m.addRemote()} {
			t.Run(name+", "+way, func(t *testing.T) {
				statuses := make(chan int, callers)
				for range callers {
					go func() {
						statuses <- uploadSlowly(from.entryAddress, fmt.Sprintf("POST /p/x HTTP/1.1\r\nHost: %s\r\nTeaselrack-Request: id-1\r\nTeaselrack-Key: %s\r\nTeaselrack-Timeout: %d\r\n%s", host, key, limit, framing), name == "chunks")
					}()
				}
				got := make(map[int]int)
				for range callers {
					got[<-statuses]++
				}
				// 503 where the deadline passes before enough of the body for a target has arrived.
				must.Eq(t, callers, got[http.StatusGatewayTimeout]+got[http.StatusServiceUnavailable], must.Sprint(got))
			})
		}
	}
}

// uploadSlowly sends a head and a body without end, and returns the status of the response: 0 if
// there is none.
func uploadSlowly(address, head string, chunks bool) int {
	caller, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = caller.Close() }()
	go func() {
		part := strings.Repeat("x", 16<<10)
		if chunks {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		for next := head + part; ; next = part {
			if _, err := caller.Write([]byte(next)); err != nil {
				return // the daemon has closed the connection
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
