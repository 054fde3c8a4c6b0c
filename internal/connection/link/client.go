package link

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
	// bytes: a request or an answer of usual size fits whole.
	bufferSize = 4 << 10
	// DialTimeout bounds opening a connection: many round trips inside a region.
	DialTimeout = 400 * time.Millisecond
	// idleLife is how long a connection stays usable without a request, below
	// the idle timeouts that servers commonly have.
	idleLife = 4 * time.Second
	// onceIdleLife is the same for a request that may not be repeated: such a
	// request should not meet a server that is just closing.
	onceIdleLife = 300 * time.Millisecond
	// maxSkipped bounds the answers to earlier requests that are passed over.
	maxSkipped = 4
	// maxIdle bounds the idle connections to one address.
	maxIdle = 128
)

// Options are the parameters of a Client.
type Options struct {
	// Dial opens a connection. Default: TCP with probes on idle connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IDHeader is the header in which answers repeat the id of their request;
	// empty means that they do not.
	IDHeader string
	// Trusted says that the other end never closes an idle connection on its
	// own, so that requests that may not be repeated may use any.
	Trusted bool
}

// Client sends requests to any number of addresses. Its methods may be called
// from any goroutine.
type Client struct {
	o Options

	mu    sync.RWMutex
	pools map[string]*pool
}

// NewClient returns a client without connections.
func NewClient(o Options) *Client {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return &Client{o: o, pools: make(map[string]*pool)}
}

// Do sends r to address, IP:port, and returns the answer once its header is
// there. The caller closes its body. Errors: ConnectFailed, DeadlineNotRun and
// CallerGone where no byte of r was sent; ConnectionLost, AnswerBroken and
// DeadlineUnknown where the other end may have it.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*http.Response, error) {
	p := c.pool(address)
	for {
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

func (c *Client) idleLimit(r *Request) time.Duration {
	if r.Repeatable || c.o.Trusted {
		return idleLife
	}
	return onceIdleLife
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
	return newConn(raw, p), nil
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

// Prune closes connections that have been idle for too long, and forgets
// addresses without any. It is called every few seconds.
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
		p.retire(time.Now())
	}
}
