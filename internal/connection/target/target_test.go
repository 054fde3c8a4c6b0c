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

// request returns one of the requests that http.Transport would send again.
func request(ctx context.Context, t *testing.T, method, form string) *http.Request {
	t.Helper()
	var body io.Reader
	if form == "body" {
		body = strings.NewReader("content") // net/http sets GetBody for this type
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/pay", body)
	must.NoError(t, err)
	r.Header.Set("Idempotency-Key", "k1")
	return r
}

// end closes c and lets both ends of its connections notice.
func end(c *Client) {
	c.Close()
	time.Sleep(time.Second)
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// script answers the n-th request of a connection, counted from 1; it returns
// false where the connection is to end.
type script func(n int, conn net.Conn) bool

// serve counts the requests over all connections.
func serve(t *testing.T, network *memnet.Network, act script) *atomic.Int64 {
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
					if !act(n, conn) {
						return
					}
				}
			}()
		}
	}()
	return requests
}

func answer(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

func roundTrip(c *Client, r *http.Request, repeatable bool) (string, error) {
	resp, err := c.RoundTrip(address, r, repeatable)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestNothingIsSentTwice uses a connection once, and then again while the
// target breaks it. The target counts the requests.
func TestNothingIsSentTwice(t *testing.T) {
	cases := map[string]script{
		"reset while it runs": func(n int, conn net.Conn) bool {
			if n == 2 {
				conn.(*memnet.Conn).Reset()
				return false
			}
			return answer(conn, okAnswer)
		},
		"closed while it runs": func(n int, conn net.Conn) bool { return n == 1 && answer(conn, okAnswer) },
		"half an answer": func(n int, conn net.Conn) bool {
			if n == 2 {
				answer(conn, "HTTP/1.1 200")
				return false
			}
			return answer(conn, okAnswer)
		},
	}
	for name, act := range cases {
		for _, form := range []string{"empty", "body"} {
			for _, method := range []string{http.MethodPost, http.MethodGet} {
				t.Run(name+"/"+form+"/"+method, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						network := memnet.New(time.Millisecond)
						requests := serve(t, network, act)
						c := NewClient(Options{Dial: network.Dial})
						defer end(c)
						_, err := roundTrip(c, request(t.Context(), t, method, form), true)
						must.NoError(t, err)
						synctest.Wait()
						_, err = roundTrip(c, request(t.Context(), t, method, form), true)
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

// TestClosedIdle shows that a connection which the target closed before
// anything was written to it is replaced, and that the request runs once.
func TestClosedIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		requests := serve(t, network, func(_ int, conn net.Conn) bool {
			answer(conn, okAnswer)
			return false
		})
		c := NewClient(Options{Dial: network.Dial})
		defer end(c)
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
		serve(t, network, func(_ int, conn net.Conn) bool { return answer(conn, okAnswer) })
		c := NewClient(Options{Dial: network.Dial})
		defer end(c)
		send := func(repeatable bool, dials int) {
			t.Helper()
			_, err := roundTrip(c, request(t.Context(), t, http.MethodPost, "body"), repeatable)
			must.NoError(t, err)
			must.Eq(t, dials, network.Dials())
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
		var open, most atomic.Int64
		serve(t, network, func(_ int, conn net.Conn) bool {
			most.Store(max(most.Load(), open.Add(1)))
			time.Sleep(20 * time.Millisecond)
			open.Add(-1)
			return answer(conn, okAnswer)
		})
		c := NewClient(Options{Dial: network.Dial})
		defer end(c)
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
		must.Eq(t, 3, most.Load())

		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		for range 3 {
			go func() { _, _ = roundTrip(c, request(t.Context(), t, http.MethodPost, "body"), true) }()
		}
		synctest.Wait()
		_, err := roundTrip(c, request(ctx, t, http.MethodPost, "body"), true)
		must.Eq(t, fault.DeadlineNotRun, fault.KindOf(err), must.Sprint("no connection came free"))
		time.Sleep(time.Second)
	})
}

func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		serve(t, network, func(_ int, conn net.Conn) bool { return answer(conn, okAnswer) })
		c := NewClient(Options{Dial: network.Dial})
		defer end(c)
		defer network.Close()
		prepare := func() {
			_, err := roundTrip(c, request(t.Context(), t, http.MethodGet, "empty"), true)
			must.NoError(t, err)
			synctest.Wait()
			network.Silence()
		}
		prepare()
		start := time.Now()
		_, err := roundTrip(c, request(t.Context(), t, http.MethodGet, "empty"), true)
		must.Eq(t, fault.ConnectionLost, fault.KindOf(err), must.Sprint("an idempotent request is given up"))
		must.Less(t, time.Second, time.Since(start))

		prepare()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		lost := make(chan error)
		go func() {
			_, err := roundTrip(c, request(ctx, t, http.MethodPost, "body"), false)
			lost <- err
		}()
		time.Sleep(stallTimeout + time.Millisecond)
		_, err = roundTrip(c, request(t.Context(), t, http.MethodPost, "body"), false)
		must.NoError(t, err, must.Sprint("new work uses a new connection"))
		must.Eq(t, fault.DeadlineUnknown, fault.KindOf(<-lost), must.Sprint("a once request waits for its deadline"))
	})
}

// TestManySilentConnections has many requests on silent connections: one is
// given up first, the others once a new connection has answered.
func TestManySilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		serve(t, network, func(_ int, conn net.Conn) bool {
			time.Sleep(10 * time.Millisecond)
			return answer(conn, okAnswer)
		})
		c := NewClient(Options{Dial: network.Dial})
		defer end(c)
		defer network.Close()
		must.Eq(t, 0, sendMany(t, c, 0))
		synctest.Wait()
		network.Silence()
		start := time.Now()
		must.Eq(t, 20, sendMany(t, c, 1))
		must.Less(t, time.Second, time.Since(start))
		must.LessEq(t, 20+20, network.Dials())
	})
}

// TestSlowTargetIsNotSilent has a target that turns slow: its requests are not
// given up all at once, and soon none of them.
func TestSlowTargetIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		var takes atomic.Int64
		takes.Store(int64(50 * time.Millisecond))
		serve(t, network, func(_ int, conn net.Conn) bool {
			time.Sleep(time.Duration(takes.Load()))
			return answer(conn, okAnswer)
		})
		c := NewClient(Options{Dial: network.Dial})
		defer end(c)
		must.Eq(t, 0, sendMany(t, c, 0))
		takes.Store(int64(2 * time.Second))
		must.Eq(t, 1, sendMany(t, c, 1), must.Sprint("given up when it turns slow"))
		must.Eq(t, 0, sendMany(t, c, 0), must.Sprint("given up later"))
		time.Sleep(5 * time.Second)
	})
}

// sendMany sends 20 idempotent requests at once, repeats each that fails up to
// the given number of times, and returns how many attempts failed.
func sendMany(t *testing.T, c *Client, repeats int) int64 {
	t.Helper()
	const requests = 20
	var failed atomic.Int64
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			for range 1 + repeats {
				if _, err := roundTrip(c, request(t.Context(), t, http.MethodGet, "empty"), true); err == nil {
					return
				}
				failed.Add(1)
			}
			t.Error("a request failed for good")
		})
	}
	wg.Wait()
	return failed.Load()
}

func TestAnswersWithoutAnEnd(t *testing.T) {
	cases := map[string]struct {
		text string
		kind fault.Kind
	}{
		"length":    {okAnswer, ""},
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
					answer(conn, c.text)
					return false
				})
				client := NewClient(Options{Dial: network.Dial})
				defer end(client)
				_, err := roundTrip(client, request(t.Context(), t, http.MethodGet, "empty"), true)
				must.Eq(t, c.kind, fault.KindOf(err))
			})
		})
	}
}
