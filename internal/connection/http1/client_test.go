package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// serve starts a server that calls respond for each request. n is the number of
// the request on its connection, from 0. serve returns the server's address.
func serve(t *testing.T, respond func(conn net.Conn, r *http.Request, n int)) string {
	t.Helper()
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
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					respond(conn, r, n)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func writeResponse(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func get(t *testing.T, c *Client, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, address, &Request{Method: "GET", URI: "/x//y?%41", Host: "h", Header: http.Header{"Id": {id}}, ID: id, Idempotent: true})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

func TestURIIsForwardedUnchanged(t *testing.T) {
	uris := make(chan string, 1)
	address := serve(t, func(conn net.Conn, r *http.Request, _ int) {
		uris <- r.RequestURI
		writeResponse(conn, "1", "ok")
	})
	body, err := get(t, NewClient(Options{}), address, "1")
	must.NoError(t, err)
	must.Eq(t, "ok", body)
	must.Eq(t, "/x//y?%41", <-uris)
}

// TestStaleResponseIsDiscarded checks that a client discards a response that does
// not belong to its request. The server sends a second response to the first
// request before the response to the second one.
func TestStaleResponseIsDiscarded(t *testing.T) {
	address := serve(t, func(conn net.Conn, r *http.Request, n int) {
		if n == 1 {
			writeResponse(conn, "1", "late")
		}
		writeResponse(conn, r.Header.Get("Id"), "response "+r.Header.Get("Id"))
	})
	c := NewClient(Options{IDHeader: "Id"})
	for _, id := range []string{"1", "2", "3"} {
		body, err := get(t, c, address, id)
		must.NoError(t, err)
		must.Eq(t, "response "+id, body)
	}
}

// TestExtraBytesRetireTheConnection checks that data which a server sends after a
// complete response is not read as the response to the next request.
func TestExtraBytesRetireTheConnection(t *testing.T) {
	address := serve(t, func(conn net.Conn, r *http.Request, n int) {
		writeResponse(conn, r.Header.Get("Id"), "response "+r.Header.Get("Id"))
		if n == 0 {
			_, _ = conn.Write([]byte("garbage"))
			time.Sleep(20 * time.Millisecond)
		}
	})
	c := NewClient(Options{IDHeader: "Id"})
	body, err := get(t, c, address, "1")
	must.NoError(t, err)
	must.Eq(t, "response 1", body)
	time.Sleep(50 * time.Millisecond)
	body, err = get(t, c, address, "2")
	must.NoError(t, err)
	must.Eq(t, "response 2", body)
}

// TestNothingIsSentTwice checks that a request is not sent again when the server
// closes a reused connection after reading it. The request may have run, so its
// outcome must be unknown.
func TestNothingIsSentTwice(t *testing.T) {
	seen := make(chan string, 10)
	address := serve(t, func(conn net.Conn, r *http.Request, n int) {
		seen <- r.Header.Get("Id")
		if n == 1 {
			_ = conn.Close()
			return
		}
		writeResponse(conn, r.Header.Get("Id"), "ok")
	})
	c := NewClient(Options{IDHeader: "Id"})
	_, err := get(t, c, address, "1")
	must.NoError(t, err)
	_, err = get(t, c, address, "2")
	must.Eq(t, fault.ConnectionLost, fault.KindOf(err))
	must.Eq(t, fault.Unknown, fault.OutcomeOf(err))
	must.Eq(t, 2, len(seen))
}

func TestClosedConnectionIsNotUsedAgain(t *testing.T) {
	address := serve(t, func(conn net.Conn, r *http.Request, _ int) {
		writeResponse(conn, r.Header.Get("Id"), "ok")
		_ = conn.Close()
	})
	c := NewClient(Options{IDHeader: "Id"})
	for _, id := range []string{"1", "2"} {
		_, err := get(t, c, address, id)
		must.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
}

func TestOutcomeOfFailures(t *testing.T) {
	c := NewClient(Options{})
	_, err := get(t, c, "127.0.0.1:1", "1")
	must.Eq(t, fault.ConnectFailed, fault.KindOf(err))

	silent := serve(t, func(net.Conn, *http.Request, int) {})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = c.Do(ctx, silent, &Request{Method: "GET", URI: "/", Host: "h"}) //nolint:bodyclose // it fails
	must.Eq(t, fault.DeadlineUnknown, fault.KindOf(err))

	canceled, cancelNow := context.WithCancel(t.Context())
	cancelNow()
	_, err = c.Do(canceled, silent, &Request{Method: "GET", URI: "/", Host: "h"}) //nolint:bodyclose // it fails
	must.Eq(t, fault.CallerGone, fault.KindOf(err))
}

func TestResponseDelimitedByClose(t *testing.T) {
	address := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nwhole"))
		_ = conn.Close()
	})
	body, err := get(t, NewClient(Options{}), address, "1")
	must.NoError(t, err)
	must.Eq(t, "whole", body)
}

func TestResetResponseIsIncomplete(t *testing.T) {
	address := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nbroken"))
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	_, err := get(t, NewClient(Options{}), address, "1")
	must.Error(t, err)
}

// TestEarlyResponseEndsTheConnection checks that a connection is not reused when the
// server responds before it has read the request body: the server would read the
// rest of the body as the next request.
func TestEarlyResponseEndsTheConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	connections := make(chan struct{}, 4)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			connections <- struct{}{}
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				writeResponse(conn, "1", "early")
			}()
		}
	}()
	body, bodyWriter := io.Pipe()
	t.Cleanup(func() { _ = bodyWriter.Close() })
	c := NewClient(Options{})
	for range 2 {
		resp, err := c.Do(t.Context(), ln.Addr().String(), &Request{
			Method: "POST", URI: "/", Host: "h", Rest: body, Body: []byte("begin"), Length: -1, Idempotent: true,
		})
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
	}
	must.Eq(t, 2, len(connections))
}

func TestKeepAlive(t *testing.T) {
	must.Eq(t, 8*time.Second, keepAlive(http.Header{"Keep-Alive": {"max=5, timeout=10"}}))
	must.Eq(t, idleTimeout, keepAlive(http.Header{}))
}

func TestChunkedBody(t *testing.T) {
	bodies := make(chan string, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		bodies <- string(b)
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	resp, err := NewClient(Options{}).Do(t.Context(), ln.Addr().String(), &Request{
		Method: "POST", URI: "/", Host: "h", Body: []byte("begin "), Rest: strings.NewReader("end"), Length: -1,
	})
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, "begin end", <-bodies)
	broken := &Request{Method: "POST", URI: "/", Host: "h", Rest: errReader{}, Length: 10}
	_, err = NewClient(Options{}).Do(t.Context(), ln.Addr().String(), broken) //nolint:bodyclose // it fails
	must.Error(t, err)
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errors.New("the caller aborted the upload") }

// TestEndlessBytesInAHead checks that bytes without end where a response head is
// expected end the request after a bounded number of them, with an error that says
// that the server may have run it, and that the connection is closed.
func TestEndlessBytesInAHead(t *testing.T) {
	const maxSent = 4 << 20 // the limit and what the sockets of both ends may hold
	for name, endless := range map[string]string{
		"status line":      "x",
		"header lines":     "HTTP/1.1 200 OK\r\n" + "A: b\r\n",
		"one header value": "HTTP/1.1 200 OK\r\nA: " + "b",
		"1xx responses":    "HTTP/1.1 103 Early Hints\r\n\r\n",
		"stale responses":  "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n",
		"stale body":       "HTTP/1.1 200 OK\r\nId: 0\r\n\r\n" + "b",
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			address := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
				head, repeated := "", endless
				if i := strings.Index(endless, "\r\n"); i >= 0 && !strings.Contains(name, "responses") {
					head, repeated = endless[:len(endless)-1], endless[len(endless)-1:]
				}
				if name == "header lines" {
					head, repeated = "HTTP/1.1 200 OK\r\n", "A: b\r\n"
				}
				limitSocket(conn)
				total, _ := conn.Write([]byte(head))
				block := []byte(strings.Repeat(repeated, 1024))
				for {
					n, err := conn.Write(block)
					total += n
					if err != nil || total > 64*maxSent {
						sent <- total
						return
					}
				}
			})
			client := NewClient(Options{IDHeader: "Id", Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialTCP(ctx, network, address)
				limitSocket(conn)
				return conn, err
			}})
			_, err := get(t, client, address, "1")
			must.Error(t, err)
			must.Eq(t, fault.ConnectionLost, fault.KindOf(err))
			must.NotEq(t, fault.NotRun, fault.OutcomeOf(err))
			must.Less(t, maxSent, <-sent)
			must.Len(t, 0, client.pool(address).idle)
		})
	}
}

// limitSocket bounds the bytes that a socket holds, which the kernel would adapt to the
// traffic.
func limitSocket(conn net.Conn) {
	const size = 256 << 10
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(size)
		_ = tcp.SetWriteBuffer(size)
	}
}

// TestEndlessBodyIsNotHeldInMemory checks that a body without end is passed on as it
// comes, and that the connection is closed when the reader stops.
func TestEndlessBodyIsNotHeldInMemory(t *testing.T) {
	for name, head := range map[string]string{
		"chunks":       "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"until closed": "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan error, 1)
			address := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
				_, err := conn.Write([]byte(head))
				block := []byte(strings.Repeat("4\r\nabcd\r\n", 1024))
				for err == nil {
					_, err = conn.Write(block)
				}
				ended <- err
			})
			client := NewClient(Options{IDHeader: "Id"})
			resp, err := client.Do(t.Context(), address, &Request{Method: "GET", URI: "/", Host: "h", ID: "1", Idempotent: true})
			must.NoError(t, err)
			n, err := io.CopyN(io.Discard, resp.Body, 8<<20)
			must.NoError(t, err)
			must.Eq(t, int64(8<<20), n)
			must.NoError(t, resp.Body.Close())
			must.Error(t, <-ended)
			must.Len(t, 0, client.pool(address).idle)
		})
	}
}

// TestEndlessTrailer checks that trailers without end break the body.
func TestEndlessTrailer(t *testing.T) {
	address := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
		_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"))
		for err == nil {
			_, err = conn.Write([]byte("A: b\r\n"))
		}
	})
	_, err := get(t, NewClient(Options{IDHeader: "Id"}), address, "1")
	must.Error(t, err)
}
