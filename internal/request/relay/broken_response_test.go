package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/connectiontest"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// uploadBytes is the size of a body that does not fit into the sockets on its way.
	uploadBytes = 4 << 20
	// uploads is the number of requests of each case of a test with uploads.
	uploads = 20
	// patience is the time limit of requests whose time does not matter.
	patience = time.Minute
)

// rawTarget serves each connection with respond, which is called once the head of the first
// request has been read and closes the connection.
func rawTarget(t *testing.T, respond func(conn *net.TCPConn, requestBody io.Reader)) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err != nil {
					_ = conn.Close()
					return
				}
				respond(conn.(*net.TCPConn), reader)
			}()
		}
	}()
	return ln.Addr().String()
}

// newMeshOfRawTarget returns a mesh whose only target is a rawTarget, and the instances that
// its callers use: the one beside it and one that forwards to it.
func newMeshOfRawTarget(t *testing.T, respond func(conn *net.TCPConn, requestBody io.Reader)) (m *mesh, entries map[string]*instance) {
	m = newMesh(t, version.Once, 0, 1)
	m.state = routeState(t, version.Once, 0, patience, patience)
	inst := m.instances[0]
	inst.targetAddress = rawTarget(t, respond)
	inst.target, inst.peerHandler = m.newPeerHandler(inst.name, "s", inst.targetAddress, inst.quarantine, inst.entry.Levels, inst.entry.CallGraph)
	inst.entry.Local = inst.peerHandler
	inst.record.PeerAddress = m.serve(inst.peerHandler)
	return m, map[string]*instance{"beside the target": inst, "forwarded": m.addRemote()}
}

// received is what the caller of one request got: a complete response, or err.
type received struct {
	status int
	body   string
	err    error
}

// upload sends a body of uploadBytes on a connection of its own, and reads the response while it
// sends. That the rest cannot be sent does not matter.
func (m *mesh) upload(from *instance) received {
	conn, err := net.Dial("tcp", from.entryAddress)
	must.NoError(m.t, err)
	defer func() { _ = conn.Close() }()
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /p/x HTTP/1.1\r\nHost: %s\r\nTeaselrack-Request: id-1\r\nTeaselrack-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
			host, key, uploadBytes, strings.Repeat("u", uploadBytes))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return received{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return received{resp.StatusCode, string(body), err}
}

// awaitUnread waits until bytes have arrived that conn has not read. Closing a connection
// resets it if there are any.
func awaitUnread(t *testing.T, conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	must.NoError(t, err)
	must.NoError(t, raw.Read(func(fd uintptr) bool {
		n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return n > 0
	}))
}

const unframedHead = "HTTP/1.1 200 OK\r\nTeaselrack-Request: id-1\r\n\r\n"

// TestResponseBreaksOffDuringAnUpload guards against a part of a response that reaches the caller
// as a complete one. The target responds without a length while the request is being
// sent, and its connection breaks before the end.
func TestResponseBreaksOffDuringAnUpload(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"reset":                      func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() },
		"closed with unread request": func(conn *net.TCPConn) { awaitUnread(t, conn); _ = conn.Close() },
	} {
		m, entries := newMeshOfRawTarget(t, func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, unframedHead+"part of the response")
			end(conn)
		})
		for path, from := range entries {
			t.Run(name+", "+path, func(t *testing.T) {
				complete := 0
				for range uploads {
					if got := m.upload(from); got.err == nil && got.status == http.StatusOK {
						complete++
					}
				}
				must.Eq(t, 0, complete, must.Sprintf("complete responses of %d", uploads))
			})
		}
	}
}

// TestEarlyResponseToAnUpload checks that a response which the target ends properly reaches the
// caller, although the request is still being sent.
func TestEarlyResponseToAnUpload(t *testing.T) {
	const text = "the complete response"
	finish := func(conn *net.TCPConn, requestBody io.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, requestBody)
		_ = conn.Close()
	}
	framed := fmt.Sprintf("HTTP/1.1 200 OK\r\nTeaselrack-Request: id-1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", len(text))
	for name, c := range map[string]struct {
		head string
		end  func(conn *net.TCPConn, requestBody io.Reader)
	}{
		"no length, plain close":       {unframedHead, finish},
		"no length, close, then reset": {unframedHead, func(conn *net.TCPConn, _ io.Reader) { _ = conn.CloseWrite(); _ = conn.Close() }},
		"length, plain close":          {framed, finish},
		"length, connection kept": {framed, func(conn *net.TCPConn, requestBody io.Reader) {
			_, _ = io.Copy(io.Discard, requestBody)
			_ = conn.Close()
		}},
	} {
		m, entries := newMeshOfRawTarget(t, func(conn *net.TCPConn, requestBody io.Reader) {
			_, _ = io.WriteString(conn, c.head+text)
			c.end(conn, requestBody)
		})
		for path, from := range entries {
			t.Run(name+", "+path, func(t *testing.T) {
				complete := 0
				for range uploads {
					got := m.upload(from)
					if got.err == nil && got.status == http.StatusOK && got.body == text {
						complete++
						continue
					}
					t.Logf("status %d, body %q, error %v", got.status, got.body, got.err)
				}
				must.Eq(t, uploads, complete, must.Sprintf("complete responses of %d", uploads))
			})
		}
	}
}

// TestBrokenResponseReachesNoCaller guards against bytes that are passed on although they are no
// response. The caller gets 502, with nothing of what the target or the other daemon sent.
func TestBrokenResponseReachesNoCaller(t *testing.T) {
	for name, text := range connectiontest.BrokenResponses {
		respond := func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, text)
			_ = conn.CloseWrite()
		}
		m, entries := newMeshOfRawTarget(t, respond)
		for path, from := range entries {
			t.Run(name+", "+path, func(t *testing.T) { m.expectBadGateway(t, from) })
		}
		t.Run(name+", from a daemon", func(t *testing.T) {
			m.instances[0].record.PeerAddress = rawTarget(t, respond)
			m.expectBadGateway(t, m.addRemote())
		})
	}
}

func (m *mesh) expectBadGateway(t *testing.T, from *instance) {
	resp, text := m.send(from, http.MethodGet, "/p/x", nil, "")
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	must.StrNotContains(t, fmt.Sprint(resp.Header, text), connectiontest.BrokenMarker)
}

// TestBrokenResponseToAnOldClient guards against a part of a response that a client of HTTP/1.0
// takes for the complete one: without a length, it ends where the connection ends.
func TestBrokenResponseToAnOldClient(t *testing.T) {
	part := strings.Repeat("x", 2*maxBufferedBytes)
	_, entries := newMeshOfRawTarget(t, func(conn *net.TCPConn, _ io.Reader) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", 2*len(part), part)
		_ = conn.CloseWrite()
	})
	for path, from := range entries {
		t.Run(path, func(t *testing.T) {
			for range uploads {
				conn, err := net.Dial("tcp", from.entryAddress)
				must.NoError(t, err)
				_, err = fmt.Fprintf(conn, "GET /p/x HTTP/1.0\r\nHost: %s\r\nTeaselrack-Request: id-1\r\nTeaselrack-Key: %s\r\n\r\n", host, key)
				must.NoError(t, err)
				_, err = io.Copy(io.Discard, conn)
				must.ErrorIs(t, err, syscall.ECONNRESET)
				must.NoError(t, conn.Close())
			}
		})
	}
}
