package target

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/meter"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// pool holds the connections to one target.
type pool struct {
	transport *http.Transport
	address   string

	mu    sync.Mutex
	limit int
	open  int // connections that are open or being opened
	idle  []*conn
	// available holds a token when a waiter should try again to get a connection.
	available chan struct{}
	detector  silenceDetector
	closed    bool
}

func newPool(transport *http.Transport, address string) *pool {
	return &pool{
		transport: transport,
		address:   address,
		limit:     defaultLimit,
		available: make(chan struct{}, 1),
	}
}

func (p *pool) setLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
	p.wakeWaiter()
}

// acquire returns a connection for one request and waits while the limit is
// reached. If it fails, nothing was sent.
func (p *pool) acquire(ctx context.Context, idempotent bool) (*conn, error) {
	maxIdle := onceIdleTimeout
	if idempotent {
		maxIdle = idleTimeout
	}
	return p.waitForConn(ctx, maxIdle)
}

// acquireNew returns a connection that has carried no request yet.
func (p *pool) acquireNew(ctx context.Context) (*conn, error) {
	return p.waitForConn(ctx, 0)
}

func (p *pool) waitForConn(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	for {
		if ctx.Err() != nil {
			return nil, classify(ctx, ctx.Err(), false)
		}
		c, mayOpen := p.take(maxIdle)
		if c != nil {
			return c, nil
		}
		if mayOpen {
			return p.dial(ctx)
		}
		select {
		case <-p.available:
		case <-ctx.Done():
		}
	}
}

// take returns an idle connection if there is one. Otherwise mayOpen reports
// whether the caller may open a connection; p.open then counts it already.
func (p *pool) take(maxIdle time.Duration) (c *conn, mayOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune()
	if c = p.takeIdle(maxIdle); c != nil {
		return c, false
	}
	if p.open >= p.limit && len(p.idle) > 0 {
		p.closeIdle(0)
	}
	if p.open >= p.limit {
		return nil, false
	}
	p.open++
	if p.open < p.limit {
		p.wakeWaiter()
	}
	return nil, true
}

// takeIdle reserves the most recently used of the connections that have been idle
// for at most maxIdle. A connection whose response net/http has not finished
// handling cannot be reserved yet and stays in the pool.
func (p *pool) takeIdle(maxIdle time.Duration) *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.idleFor() > maxIdle || c.cc.Reserve() != nil {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		c.used = true
		if len(p.idle) > 0 {
			p.wakeWaiter()
		}
		return c
	}
	return nil
}

// prune closes the idle connections that the target has closed, that have exceeded
// idleTimeout, that the silence detector has retired, or that are above the limit.
func (p *pool) prune() {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.cc.Err() != nil || c.idleFor() > idleTimeout || c.opened.Before(p.detector.retireBefore) || p.open > p.limit {
			p.closeIdle(i)
		}
	}
}

// closeIdle closes the idle connection at index i.
func (p *pool) closeIdle(i int) {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.removeLocked(c)
	go func() { _ = c.cc.Close() }()
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var metered *meter.Conn
	opened := time.Now()
	cc, err := p.transport.NewClientConn(meter.Capture(dialCtx, &metered), "http", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.wakeWaiter()
		p.mu.Unlock()
		if ctx.Err() != nil {
			return nil, classify(ctx, err, false)
		}
		return nil, fault.Wrap(fault.ConnectFailed, err, "cannot connect to the target")
	}
	c := &conn{cc: cc, meter: metered, checked: metered.Conn.(*checkedConn), pool: p, opened: opened}
	cc.SetStateHook(func(*http.ClientConn) { p.wakeWaiter() })
	if err := cc.Reserve(); err != nil {
		_ = cc.Close()
		p.remove(c)
		return nil, fault.Wrap(fault.ConnectFailed, err, "the target closed a new connection")
	}
	return c, nil
}

// put returns a connection to the pool after its request has ended.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.removed {
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	if p.closed {
		p.closeIdle(len(p.idle) - 1)
	}
	p.wakeWaiter()
}

// remove removes a closed connection from the pool.
func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(other *conn) bool { return other == c })
	p.removeLocked(c)
}

func (p *pool) removeLocked(c *conn) {
	if c.removed {
		return
	}
	c.removed = true
	p.detector.requestFailed(c)
	p.open--
	p.wakeWaiter()
}

// wakeWaiter wakes one waiter. It does not take the lock.
func (p *pool) wakeWaiter() {
	select {
	case p.available <- struct{}{}:
	default:
	}
}

// recordStall records that the request sent on c at start has exceeded the
// first-byte timeout. abandon is nil if the request is not idempotent.
func (p *pool) recordStall(c *conn, start time.Time, abandon context.CancelCauseFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.sentAt.Equal(start) {
		return // the response has arrived in the meantime
	}
	p.detector.recordStall(c, start, abandon)
	p.prune()
}

// recordSend records that a request is sent on c at start and returns the
// first-byte timeout of its response.
func (p *pool) recordSend(c *conn, start time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.sentAt = start
	return p.detector.firstByteTimeout()
}

func (p *pool) recordResponse(c *conn, firstByte time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.sentAt = time.Time{}
	p.detector.recordResponse(c, firstByte)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.closeIdle(len(p.idle) - 1)
	}
}
