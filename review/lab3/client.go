package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client sends one request after the other on one connection.
type client struct {
	address string
	// key is the API key, apiKey if it is empty.
	key string
	// Bodies are sent in pieces of so many bytes, with a pause after each; at once if piece is 0.
	piece int
	pause time.Duration
	// readMeanwhile makes the client read the answer while it still sends.
	readMeanwhile bool
	conn          net.Conn
	reader        *bufio.Reader
	// served is the number of requests that were answered on the connection.
	served int
}

// answer is what a client got for one request.
type answer struct {
	status int
	header http.Header
	body   []byte
	// kept is true if the request was sent on a connection that had carried others.
	kept bool
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.served = nil, 0
}

// do sends a request and reads the whole answer.
func (c *client) do(method, path, id string, deadlineMS int, body []byte) (answer, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{}, err
		}
		c.conn, c.reader, c.served = conn, bufio.NewReader(conn), 0
	}
	a := answer{kept: c.served > 0}
	err := c.exchange(method, path, id, deadlineMS, body, &a)
	if err != nil {
		c.close()
		return a, err
	}
	c.served++
	return a, nil
}

func (c *client) exchange(method, path, id string, deadlineMS int, body []byte, a *answer) error {
	if err := c.conn.SetDeadline(time.Now().Add(time.Duration(deadlineMS)*time.Millisecond + time.Second)); err != nil {
		return err
	}
	length := ""
	if body != nil {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\n%s\r\n", method, path, host, id, deadlineMS, cmp.Or(c.key, apiKey), length)
	if _, err := c.conn.Write([]byte(head)); err != nil {
		return err
	}
	if c.readMeanwhile {
		go func(conn net.Conn) { _ = c.sendBody(conn, body) }(c.conn)
	} else if err := c.sendBody(c.conn, body); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	a.status, a.header = resp.StatusCode, resp.Header
	a.body, err = io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err == nil && resp.Close {
		c.close()
	}
	return err
}

func (c *client) sendBody(conn net.Conn, body []byte) error {
	for len(body) > 0 {
		n := len(body)
		if c.piece > 0 {
			n = min(n, c.piece)
		}
		if _, err := conn.Write(body[:n]); err != nil {
			return err
		}
		if body = body[n:]; len(body) > 0 {
			time.Sleep(c.pause)
		}
	}
	return nil
}
