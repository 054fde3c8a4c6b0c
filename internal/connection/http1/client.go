package http1

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// bufferSize is the size of the read and write buffers of a connection, in
	// bytes. A request or a response of usual size fits into one buffer.
	bufferSize = 4 << 10
	// DialTimeout limits opening a connection. It covers many round trips inside
	// a region.
	DialTimeout = 400 * time.Millisecond
	// idleTimeout is how long an idle connection stays usable. It is below the
	// idle timeouts that servers commonly have.
	idleTimeout = 4 * time.Second
	// onceIdleTimeout is the idle timeout for requests that are not idempotent.
	// It is shorter, so that such a request is not sent on a connection that
	// the server is about to close.
	onceIdleTimeout = 300 * time.Millisecond
	// maxStaleResponses limits the responses to earlier requests that are
	// discarded while a request waits for its own response.
	maxStaleResponses = 4
	// maxHeadBytes limits the heads that are read while a request waits for its
	// response: those of informational and of stale responses included. The head of a
	// request may have as much.
	maxHeadBytes = 64 << 10
	// maxStaleBodyBytes limits the body of a stale response that is discarded.
	maxStaleBodyBytes = 1 << 20
	// maxIdle limits the idle connections to one address.
	maxIdle = 128
)

// Options are the parameters of a Client.
type Options struct {
	// Dial opens a connection. Default: TCP with keep-alive probes.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IDHeader is the header in which responses repeat the ID of their request.
	// If it is empty, responses are not matched to requests by ID.
	IDHeader string
	// PeerKeepsIdle says that the server never closes an idle connection on its
	// own, so that idleTimeout applies to requests that are not idempotent too.
	PeerKeepsIdle bool
	// Sent and Received, if set, are called with the number of bytes written to and
	// read from a connection to an address.
	Sent, Received func(address string, n int)
}

// Client sends requests to any number of addresses. It is safe for concurrent
// use.
type Client struct {
	o Options

	mu    sync.RWMutex
	pools map[string]*pool
}

// NewClient returns a client without open connections.
func NewClient(o Options) *Client {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return &Client{o: o, pools: make(map[string]*pool)}
}

// Do sends r to address, IP:port, and returns the response once its header has
// been read. The caller must close the response body. Errors: ConnectFailed and
// DeadlineNotRun where no byte of r was sent; ConnectionLost and DeadlineUnknown
// where the server may have received r; CallerGone in both cases; ShuttingDown and
// Interrupted where this process stops, see fault.OfContext.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*http.Response, error) {
	if ctx.Err() != nil {
		return nil, classify(ctx, ctx.Err(), false)
	}
	p := c.pool(address)
	for c.mayReuse(r) {
		cn := p.take(c.idleLimit(r))
		if cn == nil {
			break
		}
		if cn.usable() {
			return cn.roundTrip(ctx, r, c.o.IDHeader)
		}
		cn.close()
	}
	cn, err := c.dial(ctx, p, address)
	if err != nil {
		return nil, err
	}
	return cn.roundTrip(ctx, r, c.o.IDHeader)
}

// mayReuse reports whether r may be sent on a used connection. There, the response to a
// request without an ID could not be told from one to an earlier request.
func (c *Client) mayReuse(r *Request) bool { return c.o.IDHeader == "" || r.ID != "" }

func (c *Client) idleLimit(r *Request) time.Duration {
	if r.Idempotent || c.o.PeerKeepsIdle {
		return idleTimeout
	}
	return onceIdleTimeout
}

func (c *Client) dial(ctx context.Context, p *pool, address string) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	raw, err := c.o.Dial(dialCtx, "tcp", address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, classify(ctx, err, false)
		}
		return nil, fault.Wrap(fault.ConnectFailed, err, "connect to %s: %s", address, err)
	}
	return newConn(raw, p, c.countingConn(raw, address)), nil
}

// Reach opens a connection to an address and closes it. Errors: ConnectFailed; see
// fault.OfContext if ctx ends.
func (c *Client) Reach(ctx context.Context, address string) error {
	cn, err := c.dial(ctx, c.pool(address), address)
	if err != nil {
		return err
	}
	cn.close()
	return nil
}

func (c *Client) countingConn(raw net.Conn, address string) *countingConn {
	ignore := func(string, int) {}
	counter := &countingConn{Conn: raw, address: address, headBudget: -1, sent: ignore, received: ignore}
	if c.o.Sent != nil {
		counter.sent = c.o.Sent
	}
	if c.o.Received != nil {
		counter.received = c.o.Received
	}
	return counter
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
		p = &pool{}
		c.pools[address] = p
	}
	return p
}

// Prune closes connections whose idle timeout has passed, and removes the pools
// of addresses without idle connections. It is called every few seconds.
func (c *Client) Prune() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if p.prune() {
			delete(c.pools, address)
		}
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.closeStale(time.Now())
	}
}
