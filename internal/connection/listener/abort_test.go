package listener

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// TestAbortedResponseDoesNotLookComplete checks what clients see on a guarded connection.
func TestAbortedResponseDoesNotLookComplete(t *testing.T) {
	guard := NewGuard(Capacity{Connections: 10, HeadBytes: 1 << 20, BodyBytes: 1 << 20})
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		must.NoError(t, http.NewResponseController(w).Flush())
		Abort(w, r)
	}), Options{})
	guard.Protect(server)
	l, err := Listen(t.Context(), "127.0.0.1:0")
	must.NoError(t, err)
	guarded, err := guard.Listen(l, 1)
	must.NoError(t, err)
	go func() { _ = server.Serve(guarded) }()
	defer func() { _ = server.Close() }()
	for version, want := range map[string]error{"HTTP/1.0": syscall.ECONNRESET, "HTTP/1.1": nil} {
		conn, err := net.Dial("tcp", l.Addr().String())
		must.NoError(t, err)
		_, err = fmt.Fprintf(conn, "GET / %s\r\nHost: h\r\n\r\n", version)
		must.NoError(t, err)
		text, err := io.ReadAll(conn)
		must.ErrorIs(t, err, want, must.Sprint(version))
		must.StrNotContains(t, string(text), "\r\n0\r\n", must.Sprint(version))
		must.NoError(t, conn.Close())
	}
}
