package e2e

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/emulator/system"
)

// rawTimeout limits one exchange over a raw connection.
const rawTimeout = 5 * time.Second

// TestBadInput sends malformed, oversized and unauthenticated requests to the
// ingress, egress, announce, peer and control listeners. Each request must be
// rejected with the expected status and error kind, or get no response. No target
// may run a request, and the system must still serve valid requests.
func TestBadInput(t *testing.T) {
	h := start(t, nil)
	i := h.Instance("oprema-1")
	key := "Authorization: Bearer " + h.Keys["A"].Secret + "\r\n"
	cases := []struct {
		name, address, request string
		status                 int
		// kind is the expected error kind. It is empty if the response is not one of
		// the system's error responses.
		kind string
	}{
		{"not HTTP", i.Ingress, strings.Repeat("\x00\x01", 20) + "\r\n\r\n", 400, ""},
		{"malformed header", i.Ingress, "GET /slots?bad HTTP/1.1\r\nHost: a\r\nbad header\r\n\r\n", 400, ""},
		{"two Content-Length headers", i.Ingress, "POST /slots?bad HTTP/1.1\r\nHost: a\r\n" + key + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nx", 400, ""},
		{"oversized header", i.Ingress, "GET /slots?bad HTTP/1.1\r\nHost: a\r\n" + key + "X: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 413, "too_large"},
		{"oversized body", i.Ingress, "POST /slots?bad HTTP/1.1\r\nHost: a\r\n" + key + "Content-Length: 2000000\r\n\r\n" + strings.Repeat("x", 2000000), 413, "too_large"},
		{"once request without Idempotency-Key", i.Ingress, "POST /book?bad HTTP/1.1\r\nHost: a\r\n" + key + "Content-Length: 0\r\n\r\n", 400, "once_key_missing"},
		{"unknown path", i.Ingress, "GET /nothing?bad HTTP/1.1\r\nHost: a\r\n" + key + "\r\n", 404, "unknown_route"},
		{"internal route", i.Ingress, "GET /prices?bad HTTP/1.1\r\nHost: a\r\n" + key + "\r\n", 404, "unknown_route"},
		{"wrong method", i.Ingress, "GET /book?bad HTTP/1.1\r\nHost: a\r\n" + key + "\r\n", 404, "unknown_route"},
		{"forged internal headers", i.Ingress, "GET /slots?bad HTTP/1.1\r\nHost: a\r\nTeaselrack-Team: obala\r\nTeaselrack-Envelope: AAAA\r\nTeaselrack-Handle: 00\r\n\r\n", 403, "forbidden"},
		{"egress without handle", i.Egress, "GET /prices?bad HTTP/1.1\r\nHost: a\r\n" + key + "\r\n", 403, "handle_unknown"},
		{"egress with unknown handle", i.Egress, "GET /prices?bad HTTP/1.1\r\nHost: a\r\nTeaselrack-Handle: 00112233445566778899aabbccddeeff\r\n\r\n", 403, "handle_unknown"},
		{"announcement with unknown field", i.Announce, "PUT /v1/target HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n{\"a\": 10}", 400, ""},
		{"announcement of an address on another host", i.Announce, "PUT /v1/target HTTP/1.1\r\nHost: a\r\nContent-Length: 115\r\n\r\n" +
			`{"service":"tides","address":"10.0.0.1:80","incarnation":"x","slots":1,"connections":1,"state":"warm"}             `, 403, ""},
	}
	for _, tc := range cases {
		status, header := rawExchange(t, tc.address, tc.request)
		must.Eq(t, tc.status, status, must.Sprint(tc.name))
		must.Eq(t, tc.kind, header.Get("Teaselrack-Kind"), must.Sprint(tc.name))
		must.Eq(t, tc.kind != "", header.Get("Teaselrack-Outcome") == "not-run", must.Sprint(tc.name))
	}
	sendTruncated(t, i.Ingress, "POST /slots?bad HTTP/1.1\r\nHost: a\r\n"+key+"Content-Length: 100\r\n\r\nhalf")
	expectUnauthenticatedFails(t, i.Peer)
	expectUnauthenticatedFails(t, h.Instance("tides-1").Control)
	must.MapEmpty(t, h.runs()["bad"])
	response := h.do(system.Request{Ingress: i.Ingress, Method: "GET", Path: "/slots?good", Key: h.Keys["A"].Secret})
	must.Eq(t, 200, response.Status, must.Sprint(response))
}

// rawExchange writes the bytes of a request and returns the status and the
// headers of the response.
func rawExchange(t *testing.T, address, request string) (int, http.Header) {
	t.Helper()
	conn := dial(t, address)
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, request) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err, must.Sprintf("%.60q", request))
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header
}

// sendTruncated writes a part of a request and closes the connection.
func sendTruncated(t *testing.T, address, part string) {
	t.Helper()
	conn := dial(t, address)
	_, err := io.WriteString(conn, part)
	must.NoError(t, err)
	must.NoError(t, conn.Close())
}

// expectUnauthenticatedFails connects to a mesh listener without TLS, and with
// TLS but without a client certificate. The first connection must not get status
// 200, and the second must fail.
func expectUnauthenticatedFails(t *testing.T, address string) {
	t.Helper()
	conn := dial(t, address)
	_, err := fmt.Fprintf(conn, "GET /v1/events HTTP/1.1\r\nHost: a\r\n\r\n")
	must.NoError(t, err)
	text, _ := io.ReadAll(conn)
	must.StrNotContains(t, string(text), "200 OK")
	_ = conn.Close()

	withoutCert := tls.Client(dial(t, address), &tls.Config{InsecureSkipVerify: true}) // the test needs a client without certificates
	defer func() { _ = withoutCert.Close() }()
	_, writeErr := fmt.Fprintf(withoutCert, "GET /v1/events HTTP/1.1\r\nHost: a\r\n\r\n")
	_, readErr := withoutCert.Read(make([]byte, 1))
	must.True(t, writeErr != nil || readErr != nil)
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	must.NoError(t, conn.SetDeadline(time.Now().Add(rawTimeout)))
	return conn
}
