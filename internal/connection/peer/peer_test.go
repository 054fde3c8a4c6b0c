package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/teaselrack/teaselrack/internal/connection/memnet"
	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const address = "127.0.0.1:7000"

func identities(t *testing.T) (server, client *mesh.Identity) {
	t.Helper()
	ca, err := mesh.NewAuthority("mesh", time.Now())
	must.NoError(t, err)
	issue := func(name string) *mesh.Identity {
		pair, err := ca.Issue(name, mesh.Daemon, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now())
		must.NoError(t, err)
		id, err := mesh.NewIdentity(ca.Certificate, pair)
		must.NoError(t, err)
		return id
	}
	return issue("a"), issue("b")
}

// request returns a request that http.Transport would retry. bodyKind is "body" or
// "empty".
func request(ctx context.Context, t *testing.T, bodyKind string) *http.Request {
	t.Helper()
	var body io.Reader
	if bodyKind == "body" {
		body = strings.NewReader("content") // net/http sets GetBody for this type
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+address+"/pay", body)
	must.NoError(t, err)
	r.Header.Set("Idempotency-Key", "k1")
	return r
}

// closeClient closes c and waits until both ends of its links have noticed.
func closeClient(c *Client) {
	c.Close()
	time.Sleep(time.Second)
}

// scriptedAction is the reaction of a scripted server to the second request on a link.
type scriptedAction func(f *http2.Framer, conn net.Conn, streamID uint32)

// TestNothingIsSentTwice guards against a request that is sent again after a failure.
// It sends two requests on one link. On the second one, the server breaks the stream or
// the connection in one of the ways that HTTP/2 has. The server counts the requests.
func TestNothingIsSentTwice(t *testing.T) {
	cases := map[string]struct {
		act  scriptedAction
		kind fault.Kind
	}{
		"reset while it runs": {func(_ *http2.Framer, conn net.Conn, _ uint32) { _ = conn.Close() }, fault.ConnectionLost},
		"refused stream": {func(f *http2.Framer, _ net.Conn, id uint32) {
			_ = f.WriteRSTStream(id, http2.ErrCodeRefusedStream)
		}, fault.ConnectFailed},
		"internal error": {func(f *http2.Framer, _ net.Conn, id uint32) {
			_ = f.WriteRSTStream(id, http2.ErrCodeInternal)
		}, fault.ConnectionLost},
		"protocol error": {func(f *http2.Framer, _ net.Conn, id uint32) {
			_ = f.WriteRSTStream(id, http2.ErrCodeProtocol)
		}, fault.ConnectionLost},
		"goaway before it": {func(f *http2.Framer, _ net.Conn, id uint32) {
			_ = f.WriteGoAway(id-2, http2.ErrCodeNo, nil)
		}, fault.ConnectFailed},
		"goaway after it": {func(f *http2.Framer, conn net.Conn, id uint32) {
			_ = f.WriteGoAway(id, http2.ErrCodeNo, nil)
			_ = conn.Close()
		}, fault.ConnectionLost},
	}
	for name, tc := range cases {
		for _, bodyKind := range []string{"empty", "body"} {
			t.Run(name+"/"+bodyKind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					server, client := identities(t)
					network := memnet.New(time.Millisecond)
					requests := serveFrames(t, network, server, tc.act)
					c := NewClient(client, Options{Dial: network.Dial})
					defer closeClient(c)
					ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
					defer cancel()

					resp, err := c.RoundTrip(address, request(ctx, t, bodyKind))
					must.NoError(t, err)
					must.NoError(t, resp.Body.Close())
					_, err = c.RoundTrip(address, request(ctx, t, bodyKind)) //nolint:bodyclose // it fails
					must.Eq(t, tc.kind, fault.KindOf(err))
					time.Sleep(10 * time.Second)
					must.Eq(t, 2, requests.Load(), must.Sprint("requests that reached the server"))
				})
			})
		}
	}
}

// serveFrames responds to the first request of each connection and calls act for the second
// one. It returns the number of requests over all connections.
func serveFrames(t *testing.T, network *memnet.Network, id *mesh.Identity, act scriptedAction) *atomic.Int64 {
	t.Helper()
	requests := new(atomic.Int64)
	l := network.Listen(address)
	t.Cleanup(func() { _ = l.Close() })
	config := id.ServerTLS()
	config.NextProtos = []string{"h2"}
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(tls.Server(raw, config), requests, act)
		}
	}()
	return requests
}

func serveConn(conn net.Conn, requests *atomic.Int64, act scriptedAction) {
	defer func() { _ = conn.Close() }()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(conn, preface); err != nil {
		return
	}
	f := http2.NewFramer(conn, conn)
	_ = f.WriteSettings()
	for n := 0; ; {
		frame, err := f.ReadFrame()
		if err != nil {
			return
		}
		switch fr := frame.(type) {
		case *http2.PingFrame:
			if !fr.IsAck() {
				_ = f.WritePing(true, fr.Data)
			}
		case *http2.HeadersFrame:
			requests.Add(1)
			n++
			if n == 2 {
				act(f, conn, fr.StreamID)
				continue
			}
			const status200 = 0x88 // the indexed header field ":status: 200"
			_ = f.WriteHeaders(http2.HeadersFrameParam{
				StreamID: fr.StreamID, BlockFragment: []byte{status200}, EndStream: true, EndHeaders: true,
			})
		}
	}
}

// TestBrokenHeadOnALink checks that a head with an invalid status or field name is no response.
func TestBrokenHeadOnALink(t *testing.T) {
	const fieldName = "x-field"
	for name, fields := range map[string][2]hpack.HeaderField{
		"status 000":             {{Name: ":status", Value: "000"}},
		"status 099":             {{Name: ":status", Value: "099"}},
		"status +99":             {{Name: ":status", Value: "+99"}},
		"status of letters":      {{Name: ":status", Value: "abc"}},
		"status of four digits":  {{Name: ":status", Value: "1000"}},
		"space in a name":        {{Name: ":status", Value: "200"}, {Name: fieldName + " ", Value: "1"}},
		"control byte in a name": {{Name: ":status", Value: "200"}, {Name: fieldName + "\x01", Value: "1"}},
		"empty name":             {{Name: ":status", Value: "200"}, {Name: "", Value: "1"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, client := identities(t)
				network := memnet.New(time.Millisecond)
				var block bytes.Buffer
				encoder := hpack.NewEncoder(&block)
				for _, field := range fields {
					if field != (hpack.HeaderField{}) {
						must.NoError(t, encoder.WriteField(field))
					}
				}
				serveFrames(t, network, server, func(f *http2.Framer, _ net.Conn, id uint32) {
					_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block.Bytes(), EndStream: true, EndHeaders: true})
				})
				c := NewClient(client, Options{Dial: network.Dial})
				defer closeClient(c)
				resp, err := c.RoundTrip(address, request(t.Context(), t, "body"))
				must.NoError(t, err)
				must.NoError(t, resp.Body.Close())
				resp, err = c.RoundTrip(address, request(t.Context(), t, "body"))
				if err == nil {
					_ = resp.Body.Close()
				}
				must.Eq(t, fault.ConnectionLost, fault.KindOf(err))
			})
		})
	}
}

func serve(t *testing.T, network *memnet.Network, id *mesh.Identity, handler http.HandlerFunc) {
	t.Helper()
	s := NewServer(id, handler, ServerOptions{})
	l := network.Listen(address)
	go func() { _ = s.ServeTLS(l, "", "") }()
	t.Cleanup(func() { _ = s.Close() })
}

func TestSilentLinkIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, client := identities(t)
		network := memnet.New(time.Millisecond)
		serve(t, network, server, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				time.Sleep(3 * time.Second)
			}
		})
		c := NewClient(client, Options{Dial: network.Dial})
		defer closeClient(c)
		get := func(path string) error {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+address+path, nil)
			must.NoError(t, err)
			resp, err := c.RoundTrip(address, r)
			if err == nil {
				err = resp.Body.Close()
			}
			return err
		}
		must.NoError(t, get("/slow"), must.Sprint("a slow response on a healthy link"))
		must.Eq(t, 1, network.Dials())

		network.Blackhole()
		start := time.Now()
		must.Eq(t, fault.ConnectionLost, fault.KindOf(get("/")))
		must.Less(t, time.Second, time.Since(start))
		must.NoError(t, get("/"))
		must.Eq(t, 2, network.Dials())

		network.Blackhole()
		time.Sleep(suspectAfter + 10*time.Millisecond)
		start = time.Now()
		must.NoError(t, get("/"), must.Sprint("a new request must not use a link that does not reply to its ping"))
		must.Less(t, 100*time.Millisecond, time.Since(start))
	})
}

func TestRequestsShareOneLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, client := identities(t)
		network := memnet.New(time.Millisecond)
		serve(t, network, server, func(http.ResponseWriter, *http.Request) { time.Sleep(50 * time.Millisecond) })
		c := NewClient(client, Options{Dial: network.Dial})
		defer closeClient(c)
		done := make(chan error)
		for range 100 {
			go func() {
				resp, err := c.RoundTrip(address, request(t.Context(), t, "body"))
				if err == nil {
					err = resp.Body.Close()
				}
				done <- err
			}()
		}
		for range 100 {
			must.NoError(t, <-done)
		}
		must.Eq(t, 1, network.Dials())
	})
}

// TestIdleLinkIsClosed guards against idle links that stay open and keep sending pings.
func TestIdleLinkIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, client := identities(t)
		network := memnet.New(time.Millisecond)
		serve(t, network, server, func(http.ResponseWriter, *http.Request) {})
		c := NewClient(client, Options{Dial: network.Dial})
		defer closeClient(c)
		for dials, gap := range []time.Duration{0, 2 * idleTimeout, 2 * idleTimeout} {
			time.Sleep(gap)
			for range 2 {
				resp, err := c.RoundTrip(address, request(t.Context(), t, "empty"))
				must.NoError(t, err)
				must.NoError(t, resp.Body.Close())
				time.Sleep(idleTimeout / 2)
			}
			must.Eq(t, dials+1, network.Dials())
		}
	})
}

func TestNobodyListens(t *testing.T) {
	_, client := identities(t)
	c := NewClient(client, Options{Dial: memnet.New(0).Dial})
	_, err := c.RoundTrip(address, request(t.Context(), t, "empty")) //nolint:bodyclose // it fails
	must.Eq(t, fault.ConnectFailed, fault.KindOf(err))
	c.Close()
	_, err = c.RoundTrip(address, request(t.Context(), t, "empty")) //nolint:bodyclose // it fails
	must.Eq(t, fault.ShuttingDown, fault.KindOf(err))
}
