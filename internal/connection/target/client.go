// Package target is an HTTP/1.1 client for the local targets, which it reaches
// over loopback. It never opens more connections to a target than the target
// announced.
//
// Invariant: a request is written to at most one connection, and only once.
// Nothing in this package sends a request again. It does not use the connection
// pool of http.Transport, which retries requests that have an Idempotency-Key or
// no body.
package target

import (
	"net/http"
	"sync"

	"github.com/teaselrack/teaselrack/internal/connection/meter"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	transport *http.Transport

	mu    sync.RWMutex
	pools map[string]*pool
}

// NewClient returns a client without open connections.
func NewClient(o Options) *Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &Client{
		transport: &http.Transport{
			DialContext:            meter.Dialer(checkHeads(o.dial())),
			Protocols:              protocols,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		pools: make(map[string]*pool),
	}
}

// SetLimit sets the maximum number of connections to the target at address. A
// value below 1 counts as 1. A lower limit takes effect as connections become
// idle.
func (c *Client) SetLimit(address string, connections int) {
	c.pool(address).setLimit(max(connections, 1))
}

// RemoveTarget closes the idle connections to a target that has stopped, and
// removes its pool.
func (c *Client) RemoveTarget(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p != nil {
		p.close()
	}
}

// Close closes the idle connections to every target.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		p.close()
		delete(c.pools, address)
	}
}

// RoundTrip sends r to the target at address, host:port, and returns the
// response once its header has been read. r.URL.Host is ignored. An idempotent
// request may be abandoned on a silent connection, because its sender may retry
// it. Errors: ConnectFailed, DeadlineNotRun and CallerGone where no byte of r was
// sent; ConnectionLost, AnswerBroken, DeadlineUnknown and CallerGone where the
// target may have run r.
func (c *Client) RoundTrip(address string, r *http.Request, idempotent bool) (*http.Response, error) {
	p := c.pool(address)
	conn, err := p.acquire(r.Context(), idempotent)
	if err != nil {
		return nil, err
	}
	resp, sent, err := conn.roundTrip(r, idempotent)
	if err == nil {
		return checkFraming(resp)
	}
	if sent || r.Context().Err() != nil || !conn.used {
		return nil, classify(r.Context(), err, sent)
	}
	return c.roundTripOnNewConn(p, r, idempotent)
}

// roundTripOnNewConn sends r on a new connection, after a used connection was
// detected to be closed before any byte of r was written to it.
func (c *Client) roundTripOnNewConn(p *pool, r *http.Request, idempotent bool) (*http.Response, error) {
	conn, err := p.acquireNew(r.Context())
	if err != nil {
		return nil, err
	}
	resp, sent, err := conn.roundTrip(r, idempotent)
	if err != nil {
		return nil, classify(r.Context(), err, sent)
	}
	return checkFraming(resp)
}

func (c *Client) pool(address string) *pool {
	c.mu.RLock()
	p := c.pools[address]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p = c.pools[address]; p == nil {
		p = newPool(c.transport, address)
		c.pools[address] = p
	}
	return p
}

// checkFraming rejects a response that is delimited by the close of its
// connection, because its end cannot be distinguished from a lost connection. It
// also rejects a switch of protocols. It closes the body of a rejected response.
func checkFraming(resp *http.Response) (*http.Response, error) {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		return nil, fault.New(fault.AnswerBroken, "the target switched protocols")
	}
	b, ok := resp.Body.(*body)
	empty := ok && b.complete
	if empty || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return resp, nil
	}
	_ = resp.Body.Close()
	return nil, fault.New(fault.AnswerBroken, "the target's response has neither a content length nor chunked encoding")
}
