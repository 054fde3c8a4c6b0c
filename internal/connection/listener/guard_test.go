package listener

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// hangTimeout ends a test that hangs.
const hangTimeout = 2 * time.Minute

// guardedServer serves requests on a guarded listener: those for /wait until proceed is closed.
func guardedServer(t *testing.T, c Capacity) (address string, guard *Guard, proceed chan struct{}) {
	ln, err := Listen(t.Context(), "127.0.0.1:0")
	must.NoError(t, err)
	proceed = make(chan struct{})
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-proceed
		}
		_, _ = io.WriteString(w, "ok")
	}), Options{})
	guard = NewGuard(c)
	guard.Protect(server)
	guarded, err := guard.Listen(ln, 1)
	must.NoError(t, err)
	go func() { _ = server.Serve(guarded) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String(), guard, proceed
}

// open opens a connection and sends text.
func open(t *testing.T, address, text string) net.Conn {
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(hangTimeout)))
	_, err = io.WriteString(conn, text)
	must.NoError(t, err)
	return conn
}

// awaitGuard waits until done reports true of the guard.
func awaitGuard(t *testing.T, g *Guard, done func() bool) {
	for began := time.Now(); time.Since(began) < hangTimeout; {
		g.mu.Lock()
		ok := done()
		g.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the guard did not get into the expected state")
}

const (
	get     = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	getWait = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
)

// expectOK reads the head of a response with status 200.
func expectOK(t *testing.T, conn net.Conn) {
	t.Helper()
	line := make([]byte, len("HTTP/1.1 200 OK"))
	_, err := io.ReadFull(conn, line)
	must.NoError(t, err)
	must.Eq(t, "HTTP/1.1 200 OK", string(line))
}

// TestSilentConnectionsMakeRoom guards against connections without requests that keep others
// out. The oldest of them is closed, and one with a request that is being served is not.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	address, guard, proceed := guardedServer(t, Capacity{Connections: 3, HeadBytes: 1 << 20})
	served := open(t, address, getWait)
	awaitGuard(t, guard, func() bool {
		for c := range guard.conns {
			if c.served {
				return true
			}
		}
		return false
	})
	oldest := open(t, address, "GET / HTTP/1.1\r\n")
	awaitGuard(t, guard, func() bool { return len(guard.conns) == 2 })
	idle := open(t, address, get)
	expectOK(t, idle)
	expectOK(t, open(t, address, get))
	_, err := oldest.Read(make([]byte, 1))
	must.Error(t, err)
	close(proceed)
	expectOK(t, served)
	awaitGuard(t, guard, func() bool { return guard.replaced == 1 && guard.refused == 0 })
}

// TestServedConnectionsAreNotReplaced guards against new connections that end requests. There is
// no room for them.
func TestServedConnectionsAreNotReplaced(t *testing.T) {
	address, guard, proceed := guardedServer(t, Capacity{Connections: 2, HeadBytes: 1 << 20})
	first, second := open(t, address, getWait), open(t, address, getWait)
	awaitGuard(t, guard, func() bool {
		served := 0
		for c := range guard.conns {
			if c.served {
				served++
			}
		}
		return served == 2
	})
	_, err := open(t, address, "").Read(make([]byte, 1))
	must.Error(t, err)
	close(proceed)
	expectOK(t, first)
	expectOK(t, second)
	awaitGuard(t, guard, func() bool { return guard.replaced == 0 && guard.refused == 1 })
}

// TestLongestIncompleteHeadIsClosed guards against heads that never end and keep those of others
// out. One that is within the limits is served.
func TestLongestIncompleteHeadIsClosed(t *testing.T) {
	const headBytes = 32 << 10
	address, guard, _ := guardedServer(t, Capacity{Connections: 10, HeadBytes: headBytes})
	line := "A: " + strings.Repeat("b", 1000) + "\r\n"
	const begin = "GET / HTTP/1.1\r\nHost: h\r\n"
	longest := open(t, address, begin+strings.Repeat(line, 20))
	awaitGuard(t, guard, func() bool { return guard.heads > headBytes/2 })
	within := open(t, address, begin+strings.Repeat(line, 18)+"\r\n")
	expectOK(t, within)
	awaitGuard(t, guard, func() bool { return guard.replaced == 1 })
	_, err := longest.Read(make([]byte, 1))
	must.Error(t, err)
	_ = within.Close()
	awaitGuard(t, guard, func() bool { return guard.heads == 0 && len(guard.conns) == 0 })
}

// TestUnreadBytesAreBounded guards against clients whose bytes the kernel keeps while nobody reads
// them.
func TestUnreadBytesAreBounded(t *testing.T) {
	ln, err := Listen(t.Context(), "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	guarded, err := NewGuard(Capacity{Connections: 1}).Listen(ln, 1)
	must.NoError(t, err)
	client := open(t, ln.Addr().String(), "")
	accepted, err := guarded.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	must.NoError(t, client.SetDeadline(time.Now().Add(time.Second)))
	_, err = io.Copy(client, neverEnding{})
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	queued := 0
	raw, err := accepted.(*conn).Conn.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	must.NoError(t, raw.Control(func(fd uintptr) { queued, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }))
	must.NoError(t, err)
	must.LessEq(t, 2*receiveQueueBytes, queued)
}

// neverEnding is a reader without an end.
type neverEnding struct{}

// Read implements io.Reader.
func (neverEnding) Read(b []byte) (int, error) { return len(b), nil }

// TestUnreadResponseEnds guards against clients that do not read and keep a request, and what it
// holds, for as long as they like. It is in virtual time.
func TestUnreadResponseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		guard := NewGuard(Capacity{Connections: 1})
		c := &conn{Conn: server, listener: &guardedListener{guard: guard, countsHeads: true}}
		began := time.Now()
		_, err := c.Write(make([]byte, 10*writeBytes))
		must.ErrorIs(t, err, os.ErrDeadlineExceeded)
		must.Eq(t, writeTimeout, time.Since(began))
	})
}

// TestLinkKeepsItsWriteTimeout guards against a time limit for the clients that replaces the
// shorter one of a link.
func TestLinkKeepsItsWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		link := &conn{Conn: server, listener: &guardedListener{guard: NewGuard(Capacity{Connections: 1})}}
		began := time.Now()
		must.NoError(t, link.SetWriteDeadline(began.Add(time.Second)))
		_, err := link.Write(make([]byte, writeBytes))
		must.ErrorIs(t, err, os.ErrDeadlineExceeded)
		must.Eq(t, time.Second, time.Since(began))
	})
}

// TestHTTP2ConnectionsCount guards against HTTP/2 connections whose header blocks, small on the
// wire, take memory without end, and against the preface arriving byte by byte.
func TestHTTP2ConnectionsCount(t *testing.T) {
	address, guard, _ := guardedServer(t, Capacity{Connections: 10, HeadBytes: 2 * http2Bytes})
	first := open(t, address, "P")
	for _, part := range []string{"R", "I * HTTP/2.0\r\n\r\nSM\r\n\r\n"} {
		time.Sleep(10 * time.Millisecond)
		_, err := io.WriteString(first, part)
		must.NoError(t, err)
	}
	counted := func() int64 { return guard.heads / (http2Bytes - freeHeadBytes) }
	awaitGuard(t, guard, func() bool { return counted() == 1 })
	open(t, address, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	awaitGuard(t, guard, func() bool { return counted() == 2 })
	open(t, address, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	awaitGuard(t, guard, func() bool { return guard.replaced == 1 && counted() == 2 })
}

// TestLongBodiesKeepTheirBuffer guards against a receive buffer that shrinks below the window that
// the client has been offered: what it sends next is dropped and arrives 0.2 s later. Other
// connections get none once there is no room, and one does after the first has ended.
func TestLongBodiesKeepTheirBuffer(t *testing.T) {
	guard := NewGuard(Capacity{Connections: 3, LongBodies: 1})
	ln, err := Listen(t.Context(), "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	guarded, err := guard.Listen(ln, 1)
	must.NoError(t, err)
	accept := func() *conn {
		open(t, ln.Addr().String(), "")
		c, err := guarded.Accept()
		must.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c.(*conn)
	}
	buffer := func(c *conn) (size int) {
		raw, err := c.Conn.(*net.TCPConn).SyscallConn()
		must.NoError(t, err)
		must.NoError(t, raw.Control(func(fd uintptr) { size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) }))
		must.NoError(t, err)
		return size
	}
	first, second := accept(), accept()
	reservation := reservationOf(first)
	reservation.ReadLongBody()
	reservation.Release()
	reservationOf(second).ReadLongBody()
	must.Eq(t, 2*bodyQueueBytes, buffer(first))
	must.Eq(t, 2*receiveQueueBytes, buffer(second))
	must.NoError(t, first.Close())
	reservationOf(second).ReadLongBody()
	must.Eq(t, 2*bodyQueueBytes, buffer(second))
}
