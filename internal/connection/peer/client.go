// Package peer implements the links between daemons. A link is one HTTP/2 connection
// over mutual TLS.
//
// Invariant: a request is sent on at most one link, and at most once. Nothing in this
// package retries a request. The connection pool of http.Transport is not used, because
// it retries requests that have an Idempotency-Key or no body.
package peer

import (
	"context"
	"net/http"
	"sync"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/meter"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Client sends requests to other daemons. It is safe for concurrent use.
type Client struct {
	transport *http.Transport

	mu     sync.RWMutex
	hosts  map[string]*host
	closed bool
}

// NewClient returns a client that authenticates with identity.
func NewClient(identity *mesh.Identity, o Options) *Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	return &Client{
		transport: &http.Transport{
			DialContext:            meter.Dialer(o.dial()),
			TLSClientConfig:        identity.ClientTLS(),
			TLSHandshakeTimeout:    dialTimeout,
			Protocols:              protocols,
			HTTP2:                  http2Config(),
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		hosts: make(map[string]*host),
	}
}

// RoundTrip sends r to the daemon at address, in the form IP:port, and returns the
// response once its header has arrived. r.URL.Host is ignored. Errors: ConnectFailed
// and DeadlineNotRun if the daemon certainly did not process r; ConnectionLost and
// DeadlineUnknown if it may have; CallerGone in both cases; ShuttingDown after Close.
func (c *Client) RoundTrip(address string, r *http.Request) (*http.Response, error) {
	h, err := c.host(address)
	if err != nil {
		return nil, err
	}
	for range maxLinks {
		l, err := h.acquire(r.Context())
		if err != nil {
			return nil, err
		}
		resp, err := l.roundTrip(r)
		if isUnusable(err) {
			continue // the link rejected the request without sending it
		}
		return resp, classify(r.Context(), err)
	}
	return nil, fault.New(fault.ConnectFailed, "no link to the daemon accepted the request")
}

// Close closes all links. Requests in flight and later requests fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, h := range c.hosts {
		h.close()
	}
}

func (c *Client) host(address string) (*host, error) {
	c.mu.RLock()
	h, closed := c.hosts[address], c.closed
	c.mu.RUnlock()
	if closed {
		return nil, fault.New(fault.ShuttingDown, "process is shutting down")
	}
	if h != nil {
		return h, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h = c.hosts[address]; h == nil {
		h = &host{client: c, address: address}
		c.hosts[address] = h
	}
	return h, nil
}

// dial opens one link. It has its own timeout and not the context of a request, so that
// the cancellation of one request does not abort a dial that others are waiting for.
func (c *Client) dial(address string) (*link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	var conn *meter.Conn
	cc, err := c.transport.NewClientConn(meter.Capture(ctx, &conn), "https", address)
	if err != nil {
		return nil, fault.Wrap(fault.ConnectFailed, err, "connect to the daemon")
	}
	return &link{cc: cc, conn: conn}, nil
}
