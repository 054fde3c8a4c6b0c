package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/http1"
	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// socketBytes is the size of the buffers of a limited socket.
	socketBytes = 128 << 10
	// maxTaken is what a daemon may take of bytes that are no message: the limit of a head
	// and what limited sockets hold.
	maxTaken = 4 << 20
	// manyBytes is what a faulty process sends at most. The sockets on the way hold less.
	manyBytes = 256 << 20
	// endlessSenders is the number of faulty messages at a time, and maxKept what a daemon
	// may keep of all of them.
	endlessSenders = 8
	maxKept        = 8 << 20
)

// heapBytes returns the bytes of all live objects.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// limitSocket bounds the bytes that a socket holds, which the kernel would adapt to the
// traffic.
func limitSocket(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketBytes)
		_ = tcp.SetWriteBuffer(socketBytes)
	}
}

// pour writes head, then block again and again until the connection breaks. It returns the
// number of bytes written.
func pour(conn net.Conn, head, block string) int {
	limitSocket(conn)
	total, err := conn.Write([]byte(head))
	repeated := []byte(strings.Repeat(block, 1024))
	for err == nil && total < manyBytes {
		var n int
		n, err = conn.Write(repeated)
		total += n
	}
	return total
}

// faultyTarget serves the path /p/endless with pour and others well.
func faultyTarget(t *testing.T, head, block string) (address string, poured <-chan int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	sent := make(chan int, 100)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if r.URL.Path == "/p/endless" {
						sent <- pour(conn, head, block)
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTeaselrack-Request: id-1\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return ln.Addr().String(), sent
}

// TestTargetSendsBytesWithoutEnd guards against a daemon that keeps what a faulty target
// sends until it runs out of memory, and the requests of other callers end with it. The
// caller of the faulty response does not read.
func TestTargetSendsBytesWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nTeaselrack-Request: id-1\r\n"
	for name, bytes := range map[string][2]string{
		"no response":          {"", "\x00\xff"},
		"header lines":         {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"one header":           {ok + "A: ", "b"},
		"1xx responses":        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body until closed":    {ok + "\r\n", "b"},
		"body of huge length":  {ok + "Content-Length: 9000000000000\r\n\r\n", "b"},
		"chunks":               {ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"},
		"size of a chunk":      {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"extension of a chunk": {ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":              {ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n", "A: b\r\n"},
		"failure with a body":  {"HTTP/1.1 500 Internal Server Error\r\nTeaselrack-Request: id-1\r\n\r\n", "b"},
		"after the response":   {ok + "Content-Length: 1\r\n\r\nb", "b"},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, version.Idempotent, 0, 1)
			inst, sender := m.instances[0], m.addRemote()
			address, poured := faultyTarget(t, bytes[0], bytes[1])
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				if err == nil {
					limitSocket(conn)
				}
				return conn, err
			}
			inst.targetAddress = address
			inst.target, inst.peerHandler = m.newPeerHandler(inst.name, "s", address, inst.quarantine, inst.entry.Levels, inst.entry.CallGraph)
			inst.peerHandler.TargetClient = http1.NewClient(http1.Options{IDHeader: "Teaselrack-Request", Dial: dial})
			sender.entry.PeerClient = http1.NewClient(http1.Options{PeerKeepsIdle: true, Dial: dial})
			inst.record.PeerAddress = m.serve(inst.peerHandler)

			before := heapBytes()
			for range endlessSenders {
				caller, err := net.Dial("tcp", sender.entryAddress)
				must.NoError(t, err)
				defer func() { _ = caller.Close() }()
				limitSocket(caller)
				_, err = fmt.Fprintf(caller, "GET /p/endless HTTP/1.1\r\nHost: %s\r\nTeaselrack-Request: id-1\r\nTeaselrack-Key: %s\r\n\r\n", host, key)
				must.NoError(t, err)
			}
			var others sync.WaitGroup
			for range 20 {
				others.Go(func() {
					response, text := m.send(sender, "GET", "/p/other", nil, "")
					must.Eq(t, http.StatusOK, response.StatusCode, must.Sprint(text))
				})
			}
			others.Wait()
			must.Less(t, before+maxKept, heapBytes())
			most := maxTaken
			if strings.Contains(bytes[0], "\r\n\r\n") {
				most = manyBytes
			}
			// As the regular pruning of idle connections does.
			inst.peerHandler.TargetClient.Close()
			for range endlessSenders {
				must.Less(t, most, <-poured)
			}
		})
	}
}

// deafTarget accepts requests, and reads no more than their heads.
func deafTarget(t *testing.T) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			limitSocket(conn)
			go func() { _, _ = http.ReadRequest(bufio.NewReader(conn)) }()
		}
	}()
	return ln.Addr().String()
}

// TestCallerSendsBytesWithoutEnd is the same for faulty callers, and for other daemons. The
// target does not read.
func TestCallerSendsBytesWithoutEnd(t *testing.T) {
	request := fmt.Sprintf("POST /p/x HTTP/1.1\r\nHost: %s\r\nTeaselrack-Request: id-1\r\nTeaselrack-Key: %s\r\n", host, key)
	for name, bytes := range map[string][2]string{
		"no request":           {"", "\x00\xff"},
		"target of a request":  {"GET /", "x"},
		"header lines":         {request, "A: b\r\n"},
		"one header":           {request + "A: ", "b"},
		"body of huge length":  {request + "Content-Length: 9000000000000\r\n\r\n", "b"},
		"chunks":               {request + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"},
		"size of a chunk":      {request + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"extension of a chunk": {request + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":              {request + "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n", "A: b\r\n"},
	} {
		for _, peer := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, peer %t", name, peer), func(t *testing.T) {
				m := newMesh(t, version.Once, 0, 1)
				inst := m.instances[0]
				inst.target, inst.peerHandler = m.newPeerHandler(inst.name, "s", deafTarget(t), inst.quarantine, inst.entry.Levels, inst.entry.CallGraph)
				inst.entry.Local = inst.peerHandler
				handler, head := http.Handler(inst.entry), bytes[0]
				if peer {
					metadata := (&ForwardingMetadata{Service: "s", Route: "r", Origin: "o", Remaining: 1 << 28}).Encode()
					handler, head = inst.peerHandler, strings.Replace(head, "Teaselrack-Key: "+key, headerMetadata+": "+metadata, 1)
				}
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				must.NoError(t, err)
				server := listener.NewServer(handler, listener.Options{})
				server.ConnState = func(conn net.Conn, _ http.ConnState) { limitSocket(conn) }
				go func() { _ = server.Serve(ln) }()
				defer func() { _ = server.Close() }()
				before := heapBytes()
				var senders sync.WaitGroup
				for range endlessSenders {
					conn, err := net.Dial("tcp", ln.Addr().String())
					must.NoError(t, err)
					defer func() { _ = conn.Close() }()
					go func() { _, _ = io.Copy(io.Discard, conn) }()
					senders.Go(func() { must.Less(t, manyBytes, pour(conn, head, bytes[1])) })
				}
				senders.Wait()
				must.Less(t, before+maxKept, heapBytes())
			})
		}
	}
}
