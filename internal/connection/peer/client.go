// Package peer holds the links between daemons: HTTP/2 over mutual TLS.
//
// Invariant: a request is given to at most one link, and to it once. Nothing in
// this package sends a request again; http.Transport's own pool, which does so
// for requests with an Idempotency-Key or without a body, is not used.
package peer

import (
	"context"
	"net/http"
	"sync"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/meter"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Client sends requests to other daemons. It may be used by any number of
// goroutines.
type Client struct {
	transport *http.Transport

	mu     sync.RWMutex
	hosts  map[string]*host
	closed bool
}

// NewClient returns a client that shows identity to the daemons it calls.
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
			MaxResponseHeaderBytes: maxHeader,
		},
		hosts: make(map[string]*host),
	}
}

// RoundTrip sends r to the daemon at address, IP:port, and returns the answer
// once its header is there. r.URL.Host is ignored. Errors: ConnectFailed where
// the daemon certainly did not begin to run r, ConnectionLost, DeadlineUnknown
// and CallerGone where it may have.
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
			continue // the link refused before it took the request
		}
		return resp, classify(r.Context(), err)
	}
	return nil, fault.New(fault.ConnectFailed, "no link to the daemon accepts requests")
}

// Close closes every link; requests on them fail.
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
		return nil, fault.New(fault.ShuttingDown, "the process is stopping")
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

// dial opens one link under its own time limit, so that a request that leaves
// does not end a dial on which others wait.
func (c *Client) dial(address string) (*link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	var conn *meter.Conn
	cc, err := c.transport.NewClientConn(meter.Capture(ctx, &conn), "https", address)
	if err != nil {
		return nil, fault.Wrap(fault.ConnectFailed, err, "the daemon cannot be connected to")
	}
	return &link{cc: cc, conn: conn}, nil
}
