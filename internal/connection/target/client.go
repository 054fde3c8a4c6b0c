// Package target holds the connections to the targets beside this process:
// HTTP/1.1 on loopback, never more of them than a target announced.
//
// Invariant: a request is written to at most one connection, and to it once.
// Nothing in this package sends a request again; http.Transport's own pool,
// which does so for requests with an Idempotency-Key or without a body, is not
// used.
package target

import (
	"net/http"
	"sync"

	"github.com/teaselrack/teaselrack/internal/connection/meter"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Client sends requests to targets. It may be used by any number of
// goroutines.
type Client struct {
	transport *http.Transport

	mu    sync.RWMutex
	pools map[string]*pool
}

// NewClient returns a client without connections.
func NewClient(o Options) *Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &Client{
		transport: &http.Transport{
			DialContext:            meter.Dialer(o.dial()),
			Protocols:              protocols,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeader,
		},
		pools: make(map[string]*pool),
	}
}

// SetLimit bounds the connections to the target at address. A lower limit
// takes effect as connections become idle.
func (c *Client) SetLimit(address string, connections int) {
	c.pool(address).setLimit(max(connections, 1))
}

// Forget closes the idle connections to a target that is gone.
func (c *Client) Forget(address string) {
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
// answer once its header is there; r.URL.Host is ignored. repeatable says that
// r may be given up on a silent connection, because its sender may repeat it.
// Errors: ConnectFailed, DeadlineNotRun and CallerGone where nothing of r was
// sent; ConnectionLost, AnswerBroken, DeadlineUnknown and CallerGone where the
// target may have run it.
func (c *Client) RoundTrip(address string, r *http.Request, repeatable bool) (*http.Response, error) {
	p := c.pool(address)
	conn, err := p.acquire(r.Context(), repeatable)
	if err != nil {
		return nil, err
	}
	resp, sent, err := conn.roundTrip(r, repeatable)
	if err == nil {
		return checkWhole(resp)
	}
	if sent || r.Context().Err() != nil || !conn.used {
		return nil, classify(r.Context(), err, sent)
	}
	return c.onFresh(p, r, repeatable)
}

// onFresh sends r on a new connection, after a used one proved to be closed
// before a byte of r was written to it.
func (c *Client) onFresh(p *pool, r *http.Request, repeatable bool) (*http.Response, error) {
	conn, err := p.acquireFresh(r.Context())
	if err != nil {
		return nil, err
	}
	resp, sent, err := conn.roundTrip(r, repeatable)
	if err != nil {
		return nil, classify(r.Context(), err, sent)
	}
	return checkWhole(resp)
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

// checkWhole refuses an answer whose end cannot be told from a break: one that
// ends with its connection.
func checkWhole(resp *http.Response) (*http.Response, error) {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		return nil, fault.New(fault.AnswerBroken, "the target switched protocols")
	}
	b, ok := resp.Body.(*body)
	empty := ok && b.whole
	if empty || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return resp, nil
	}
	_ = resp.Body.Close()
	return nil, fault.New(fault.AnswerBroken, "the target's answer has neither a length nor chunks")
}
