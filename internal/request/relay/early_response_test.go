package relay

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// readBeforeResponse is how much of a body a target reads before it responds.
const readBeforeResponse = 128 << 10

// framed returns the end of a head and a body in its framing.
func framed(body []byte, chunks bool) string {
	if !chunks {
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	const chunkBytes = 10_000
	var b strings.Builder
	_, _ = b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := min(len(body), chunkBytes)
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	_, _ = b.WriteString("0\r\n\r\n")
	return b.String()
}

// TestTargetReadsOnAfterItsResponse guards against bodies that are cut off, or whose bytes are
// replaced by later ones, because the target responds before it has read them. The caller
// reads the response once it has sent everything.
func TestTargetReadsOnAfterItsResponse(t *testing.T) {
	body := make([]byte, uploadBytes)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(body)
	for framing, chunks := range map[string]bool{"length": false, "chunks": true} {
		received := make(chan [sha256.Size]byte, uploads)
		m, entries := newMeshOfRawTarget(t, func(conn *net.TCPConn, requestBody io.Reader) {
			defer func() { _ = conn.Close() }()
			if chunks {
				requestBody = httputil.NewChunkedReader(requestBody)
			}
			all := make([]byte, uploadBytes)
			n, err := io.ReadFull(requestBody, all[:readBeforeResponse])
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTeaselrack-Request: id-1\r\nConnection: close\r\nContent-Length: 5\r\n\r\nearly")
				var more int
				more, _ = io.ReadFull(requestBody, all[readBeforeResponse:])
				n += more
			}
			received <- sha256.Sum256(all[:n])
		})
		for way, from := range entries {
			t.Run(framing+", "+way, func(t *testing.T) {
				for range uploads / 4 {
					resp, text := m.uploadWhole(from, framed(body, chunks))
					must.Eq(t, http.StatusOK, resp.StatusCode)
					must.Eq(t, "early", text)
					must.Eq(t, sha256.Sum256(body), <-received)
				}
			})
		}
	}
}

// uploadWhole sends all of a request on a connection of its own, and then reads the response.
func (m *mesh) uploadWhole(from *instance, framed string) (testResponse, string) {
	conn, err := net.Dial("tcp", from.entryAddress)
	must.NoError(m.t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /p/x HTTP/1.1\r\nHost: %s\r\nTeaselrack-Request: id-1\r\nTeaselrack-Key: %s\r\n%s", host, key, framed)
	must.NoError(m.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(m.t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	must.NoError(m.t, err)
	return testResponse{resp.StatusCode, resp.Header}, string(text)
}

// TestRestOfABodyIsNoRequest guards against requests inside a body whose rest nobody reads: the
// response comes before its end, from the entry, from the target, or at the deadline.
func TestRestOfABodyIsNoRequest(t *testing.T) {
	smuggled := fmt.Sprintf("GET /p/smuggled HTTP/1.1\r\nHost: %s\r\nTeaselrack-Request: id-2\r\nTeaselrack-Key: %s\r\n\r\n", host, key)
	body := []byte(strings.Repeat(smuggled, (1<<20)/len(smuggled)))
	for name, prepare := range map[string]func(m *mesh){
		"rejected": func(m *mesh) {
			m.takeToken = func(string) error { return fault.New(fault.QuotaExceeded, "no token") }
		},
		"early response": func(m *mesh) {
			m.instances[0].stub.serveWith(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "early") })
		},
		"deadline": func(*mesh) {},
	} {
		for framing, chunks := range map[string]bool{"length": false, "chunks": true} {
			t.Run(name+", "+framing, func(t *testing.T) {
				m := newMesh(t, version.Once, 0, 1)
				prepare(m)
				for _, from := range []*instance{m.instances[0], m.addRemote()} {
					conn, err := net.Dial("tcp", from.entryAddress)
					must.NoError(t, err)
					text := framed(body, chunks)
					go func() {
						head := fmt.Sprintf("POST /p/x HTTP/1.1\r\nHost: %s\r\nTeaselrack-Request: id-1\r\nTeaselrack-Key: %s\r\nTeaselrack-Timeout: 200\r\n", host, key)
						for next := head + text; next != ""; time.Sleep(10 * time.Millisecond) {
							n := min(len(next), 20<<10)
							if _, err := io.WriteString(conn, next[:n]); err != nil {
								return // the daemon has closed the connection
							}
							next = next[n:]
						}
					}()
					responses := 0
					for reader := bufio.NewReader(conn); ; responses++ {
						resp, err := http.ReadResponse(reader, nil)
						if err != nil {
							break
						}
						must.True(t, resp.Close, must.Sprint("the response says that the connection ends"))
						_, _ = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
					}
					_ = conn.Close()
					must.Eq(t, 1, responses)
				}
				for _, r := range m.instances[0].stub.received() {
					must.Eq(t, "/p/x", r.URL.Path)
				}
			})
		}
	}
}

// TestConnectionIsKeptAfterALongBody checks that a connection stays open if the whole body of a
// request was read before its response.
func TestConnectionIsKeptAfterALongBody(t *testing.T) {
	m := newMesh(t, version.Once, 0, 1)
	for _, from := range []*instance{m.instances[0], m.addRemote()} {
		for _, chunks := range []bool{false, true} {
			resp, _ := m.uploadWhole(from, framed(make([]byte, 300<<10), chunks))
			must.Eq(t, http.StatusOK, resp.StatusCode)
			must.Eq(t, "", resp.Header.Get("Connection"))
		}
	}
}

// TestTargetReadsOnAfterItsCallerHasLeft guards against bodies whose end is lost because their
// caller, which has sent everything and has the response, closes its connection before the
// target has read them.
func TestTargetReadsOnAfterItsCallerHasLeft(t *testing.T) {
	const bodyBytes = 200 << 10 // what the sockets on the way hold
	body := make([]byte, bodyBytes)
	random := rand.NewChaCha8([32]byte{2})
	_, _ = random.Read(body)
	for framing, chunks := range map[string]bool{"length": false, "chunks": true} {
		received := make(chan [sha256.Size]byte, uploads)
		left := make(chan struct{}, uploads)
		m, entries := newMeshOfRawTarget(t, func(conn *net.TCPConn, requestBody io.Reader) {
			defer func() { _ = conn.Close() }()
			if chunks {
				requestBody = httputil.NewChunkedReader(requestBody)
			}
			all := make([]byte, bodyBytes)
			n, err := io.ReadFull(requestBody, all[:readBeforeResponse])
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTeaselrack-Request: id-1\r\nConnection: close\r\nContent-Length: 5\r\n\r\nearly")
				<-left
				time.Sleep(50 * time.Millisecond) // the daemons notice it
				var more int
				more, _ = io.ReadFull(requestBody, all[readBeforeResponse:])
				n += more
			}
			received <- sha256.Sum256(all[:n])
		})
		for way, from := range entries {
			t.Run(framing+", "+way, func(t *testing.T) {
				resp, _ := m.uploadWhole(from, framed(body, chunks))
				left <- struct{}{}
				must.Eq(t, http.StatusOK, resp.StatusCode)
				must.Eq(t, sha256.Sum256(body), <-received)
			})
		}
	}
}
