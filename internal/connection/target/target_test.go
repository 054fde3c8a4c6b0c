package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/memnet"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const address = "127.0.0.1:9000"

// request returns a request that http.Transport would retry by itself. bodyKind is
// "empty" or "body".
func request(ctx context.Context, t *testing.T, method, bodyKind string) *http.Request {
	t.Helper()
	var body io.Reader
	if bodyKind == "body" {
		body = strings.NewReader("content") // net/http sets GetBody for this type
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/pay", body)
	must.NoError(t, err)
	r.Header.Set("Idempotency-Key", "k1")
	return r
}

// closeClient closes c and waits until both ends of its connections are closed.
func closeClient(c *Client) {
	c.Close()
	time.Sleep(time.Second)
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// script responds to the n-th request on a connection, counted from 1. It returns
// false to close the connection.
type script func(n int, conn net.Conn) bool

// serve starts a target that calls respond for each request. It returns the
// number of requests received on all connections.
func serve(t *testing.T, network *memnet.Network, respond script) *atomic.Int64 {
	t.Helper()
	requests := new(atomic.Int64)
	l := network.Listen(address)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					requests.Add(1)
					_, _ = io.Copy(io.Discard, r.Body)
					if !respond(n, conn) {
						return
					}
				}
			}()
		}
	}()
	return requests
}

func writeResponse(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

func roundTrip(c *Client, r *http.Request, idempotent bool) (string, error) {
	resp, err := c.RoundTrip(address, r, idempotent)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestNothingIsSentTwice checks that a request is not retried when the target
// breaks a reused connection while the request runs. The target counts requests.
func TestNothingIsSentTwice(t *testing.T) {
	cases := map[string]script{
		"reset while it runs": func(n int, conn net.Conn) bool {
			if n == 2 {
				conn.(*memnet.Conn).Reset()
				return false
			}
			return writeResponse(conn, okResponse)
		},
		"closed while it runs": func(n int, conn net.Conn) bool { return n == 1 && writeResponse(conn, okResponse) },
		"half an answer": func(n int, conn net.Conn) bool {
			if n == 2 {
				writeResponse(conn, "HTTP/1.1 200")
				return false
			}
			return writeResponse(conn, okResponse)
		},
	}
	for name, respond := range cases {
		for _, bodyKind := range []string{"empty", "body"} {
			for _, method := range []string{http.MethodPost, http.MethodGet} {
				t.Run(name+"/"+bodyKind+"/"+method, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						network := memnet.New(time.Millisecond)
						requests := serve(t, network, respond)
						c := NewClient(Options{Dial: network.Dial})
						defer closeClient(c)
						_, err := roundTrip(c, request(t.Context(), t, method, bodyKind), true)
						must.NoError(t, err)
						synctest.Wait()
						_, err = roundTrip(c, request(t.Context(), t, method, bodyKind), true)
						must.Eq(t, fault.ConnectionLost, fault.KindOf(err))
						time.Sleep(10 * time.Second)
						must.Eq(t, 2, requests.Load(), must.Sprint("requests that reached the target"))
						must.Eq(t, 1, network.Dials())
					})
				})
			}
		}
	}
}

// TestClosedIdle checks that an idle connection which the target has closed is
// replaced by a new one, and that each request runs once.
func TestClosedIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		requests := serve(t, network, func(_ int, conn net.Conn) bool {
			writeResponse(conn, okResponse)
			return false
		})
		c := NewClient(Options{Dial: network.Dial})
		defer closeClient(c)
		for range 3 {
			body, err := roundTrip(c, request(t.Context(), t, http.MethodPost, "body"), false)
			must.NoError(t, err)
			must.Eq(t, "ok", body)
			time.Sleep(100 * time.Millisecond)
		}
		must.Eq(t, 3, requests.Load())
	})
}

func TestOnceAvoidsOldConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		serve(t, network, func(_ int, conn net.Conn) bool { return writeResponse(conn, okResponse) })
		c := NewClient(Options{Dial: network.Dial})
		defer closeClient(c)
		send := func(idempotent bool, wantDials int) {
			t.Helper()
			_, err := roundTrip(c, request(t.Context(), t, http.MethodPost, "body"), idempotent)
			must.NoError(t, err)
			must.Eq(t, wantDials, network.Dials())
			synctest.Wait()
		}
		send(true, 1)
		time.Sleep(time.Second)
		send(true, 1)
		send(false, 1)
		time.Sleep(time.Second)
		send(false, 2)
	})
}

func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		var open, maxOpen atomic.Int64
		serve(t, network, func(_ int, conn net.Conn) bool {
			maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
			time.Sleep(20 * time.Millisecond)
			open.Add(-1)
			return writeResponse(conn, okResponse)
		})
		c := NewClient(Options{Dial: network.Dial})
		defer closeClient(c)
		c.SetLimit(address, 3)
		done := make(chan error)
		for range 30 {
			go func() {
				_, err := roundTrip(c, request(t.Context(), t, http.MethodPost, "body"), true)
				done <- err
			}()
		}
		for range 30 {
			must.NoError(t, <-done)
		}
		must.Eq(t, 3, network.Dials())
		must.Eq(t, 3, maxOpen.Load())

		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		for range 3 {
			go func() { _, _ = roundTrip(c, request(t.Context(), t, http.MethodPost, "body"), true) }()
		}
		synctest.Wait()
		_, err := roundTrip(c, request(ctx, t, http.MethodPost, "body"), true)
		must.Eq(t, fault.DeadlineNotRun, fault.KindOf(err), must.Sprint("no connection became available"))
		time.Sleep(time.Second)
	})
}

func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		serve(t, network, func(_ int, conn net.Conn) bool { return writeResponse(conn, okResponse) })
		c := NewClient(Options{Dial: network.Dial})
		defer closeClient(c)
		defer network.Close()
		silence := func() {
			_, err := roundTrip(c, request(t.Context(), t, http.MethodGet, "empty"), true)
			must.NoError(t, err)
			synctest.Wait()
			network.Blackhole()
		}
		silence()
		start := time.Now()
		_, err := roundTrip(c, request(t.Context(), t, http.MethodGet, "empty"), true)
		must.Eq(t, fault.ConnectionLost, fault.KindOf(err), must.Sprint("an idempotent request is abandoned"))
		must.Less(t, time.Second, time.Since(start))

		silence()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		result := make(chan error)
		go func() {
			_, err := roundTrip(c, request(ctx, t, http.MethodPost, "body"), false)
			result <- err
		}()
		time.Sleep(stallTimeout + time.Millisecond)
		_, err = roundTrip(c, request(t.Context(), t, http.MethodPost, "body"), false)
		must.NoError(t, err, must.Sprint("new requests use a new connection"))
		must.Eq(t, fault.DeadlineUnknown, fault.KindOf(<-result), must.Sprint("a once request waits for its deadline"))
	})
}

// TestManySilentConnections checks that many requests on silent connections are
// abandoned within a second: one as soon as it stalls, the others after a new
// connection has responded.
func TestManySilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		serve(t, network, func(_ int, conn net.Conn) bool {
			time.Sleep(10 * time.Millisecond)
			return writeResponse(conn, okResponse)
		})
		c := NewClient(Options{Dial: network.Dial})
		defer closeClient(c)
		defer network.Close()
		must.Eq(t, 0, sendMany(t, c, 0))
		synctest.Wait()
		network.Blackhole()
		start := time.Now()
		must.Eq(t, 20, sendMany(t, c, 1))
		must.Less(t, time.Second, time.Since(start))
		must.LessEq(t, 20+20, network.Dials())
	})
}

// TestSlowTargetIsNotSilent checks that connections to a target that becomes slow
// are not taken for silent: only one request is abandoned when the target slows
// down, and none later.
func TestSlowTargetIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		var serviceTime atomic.Int64
		serviceTime.Store(int64(50 * time.Millisecond))
		serve(t, network, func(_ int, conn net.Conn) bool {
			time.Sleep(time.Duration(serviceTime.Load()))
			return writeResponse(conn, okResponse)
		})
		c := NewClient(Options{Dial: network.Dial})
		defer closeClient(c)
		must.Eq(t, 0, sendMany(t, c, 0))
		serviceTime.Store(int64(2 * time.Second))
		must.Eq(t, 1, sendMany(t, c, 1), must.Sprint("abandoned when the target becomes slow"))
		must.Eq(t, 0, sendMany(t, c, 0), must.Sprint("abandoned later"))
		time.Sleep(5 * time.Second)
	})
}

// sendMany sends 20 idempotent requests concurrently, retries each that fails up
// to retries times, and returns how many attempts failed.
func sendMany(t *testing.T, c *Client, retries int) int64 {
	t.Helper()
	const requests = 20
	var failed atomic.Int64
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			for range 1 + retries {
				if _, err := roundTrip(c, request(t.Context(), t, http.MethodGet, "empty"), true); err == nil {
					return
				}
				failed.Add(1)
			}
			t.Error("a request failed after all retries")
		})
	}
	wg.Wait()
	return failed.Load()
}

func TestResponseFraming(t *testing.T) {
	cases := map[string]struct {
		text string
		kind fault.Kind
	}{
		"length":    {okResponse, ""},
		"chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ""},
		"no body":   {"HTTP/1.1 204 No Content\r\n\r\n", ""},
		"by close":  {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", fault.AnswerBroken},
		"http 1.0":  {"HTTP/1.0 200 OK\r\n\r\nok", fault.AnswerBroken},
		"switching": {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", fault.AnswerBroken},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := memnet.New(time.Millisecond)
				serve(t, network, func(_ int, conn net.Conn) bool {
					writeResponse(conn, c.text)
					return false
				})
				client := NewClient(Options{Dial: network.Dial})
				defer closeClient(client)
				_, err := roundTrip(client, request(t.Context(), t, http.MethodGet, "empty"), true)
				must.Eq(t, c.kind, fault.KindOf(err))
			})
		})
	}
}

// TestResponseBreaksOffDuringAnUpload checks that a response without a length is refused where
// the target resets the connection while the request is being written, over real sockets.
func TestResponseBreaksOffDuringAnUpload(t *testing.T) {
	const uploadBytes = 4 << 20
	for name, reset := range map[string]bool{"reset": true, "closed": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = l.Close() }()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					writeResponse(conn, "HTTP/1.1 200 OK\r\n\r\npart of the response")
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					_ = conn.Close()
				}
			}()
			c := NewClient(Options{})
			defer c.Close()
			for range 20 {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String()+"/", strings.NewReader(strings.Repeat("u", uploadBytes)))
				must.NoError(t, err)
				resp, err := c.RoundTrip(l.Addr().String(), r, true)
				if err == nil {
					_ = resp.Body.Close()
				}
				must.Error(t, err)
				must.Eq(t, http.StatusBadGateway, fault.ResponseFor(fault.KindOf(err)).Status)
			}
		})
	}
}
