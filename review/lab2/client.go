package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// head returns the head of a request of a client.
func head(method, path, host, id string, deadlineMS int, headers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\n", method, path, host, id, deadlineMS, apiKey)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

// get sends a request without a body on a new connection, and returns the status of the
// answer; 0 if there is none.
func get(m *machine, path, host string, deadlineMS int) (id string, status int, header http.Header, body []byte) {
	id = newID()
	conn, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		return id, 0, nil, nil
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(deadlineMS) * time.Millisecond))
	if _, err := io.WriteString(conn, head("GET", path, host, id, deadlineMS)); err != nil {
		return id, 0, nil, nil
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "GET"})
	if err != nil {
		return id, 0, nil, nil
	}
	body, err = io.ReadAll(resp.Body)
	if err != nil {
		return id, 0, nil, nil
	}
	return id, resp.StatusCode, resp.Header, body
}
