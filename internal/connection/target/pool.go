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
	// freed holds a token whenever it may be worth for a waiter to ask again.
	freed   chan struct{}
	silence silence
	closed  bool
}

func newPool(transport *http.Transport, address string) *pool {
	return &pool{
		transport: transport,
		address:   address,
		limit:     defaultLimit,
		freed:     make(chan struct{}, 1),
	}
}

func (p *pool) setLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
	p.signal()
}

// acquire returns a connection for one request. Nothing was sent where it
// fails.
func (p *pool) acquire(ctx context.Context, repeatable bool) (*conn, error) {
	maxIdle := onceIdleTimeout
	if repeatable {
		maxIdle = idleTimeout
	}
	return p.wait(ctx, maxIdle)
}

// acquireFresh returns a connection that no request has used.
func (p *pool) acquireFresh(ctx context.Context) (*conn, error) {
	return p.wait(ctx, 0)
}

func (p *pool) wait(ctx context.Context, maxIdle time.Duration) (*conn, error) {
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
		case <-p.freed:
		case <-ctx.Done():
		}
	}
}

// take returns an idle connection, or the right to open one, or neither.
func (p *pool) take(maxIdle time.Duration) (c *conn, mayOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune()
	if c = p.takeIdle(maxIdle); c != nil {
		return c, false
	}
	if p.open >= p.limit && len(p.idle) > 0 {
		p.drop(0)
	}
	if p.open >= p.limit {
		return nil, false
	}
	p.open++
	if p.open < p.limit {
		p.signal()
	}
	return nil, true
}

// takeIdle reserves the connection that was used last. One whose answer has
// ended, but not yet for net/http, cannot be reserved and stays.
func (p *pool) takeIdle(maxIdle time.Duration) *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.idleFor() > maxIdle || c.cc.Reserve() != nil {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		c.used = true
		if len(p.idle) > 0 {
			p.signal()
		}
		return c
	}
	return nil
}

// prune closes idle connections that are too old, retired, or too many.
func (p *pool) prune() {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.cc.Err() != nil || c.idleFor() > idleTimeout || c.opened.Before(p.silence.retired) || p.open > p.limit {
			p.drop(i)
		}
	}
}

// drop closes one idle connection.
func (p *pool) drop(i int) {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.endLocked(c)
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
		p.signal()
		p.mu.Unlock()
		if ctx.Err() != nil {
			return nil, classify(ctx, err, false)
		}
		return nil, fault.Wrap(fault.ConnectFailed, err, "the target cannot be connected to")
	}
	c := &conn{cc: cc, meter: metered, pool: p, opened: opened}
	cc.SetStateHook(func(*http.ClientConn) { p.signal() })
	if err := cc.Reserve(); err != nil {
		_ = cc.Close()
		p.end(c)
		return nil, fault.Wrap(fault.ConnectFailed, err, "the target closed a new connection")
	}
	return c, nil
}

// put makes a connection idle after its request has ended.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.ended {
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	if p.closed {
		p.drop(len(p.idle) - 1)
	}
	p.signal()
}

// end forgets a connection that is closed.
func (p *pool) end(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(other *conn) bool { return other == c })
	p.endLocked(c)
}

func (p *pool) endLocked(c *conn) {
	if c.ended {
		return
	}
	c.ended = true
	p.silence.ended(c)
	p.open--
	p.signal()
}

// signal wakes one waiter. It takes no lock.
func (p *pool) signal() {
	select {
	case p.freed <- struct{}{}:
	default:
	}
}

// stall notes that a request on c, sent at start, has no answer in the usual
// time. giveUp is nil where the request may not be repeated.
func (p *pool) stall(c *conn, start time.Time, giveUp context.CancelCauseFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.sent.Equal(start) {
		return // it was answered just now
	}
	p.silence.stall(c, start, giveUp)
	p.prune()
}

// sending notes that a request is sent on c, and returns how long its answer
// may take to begin.
func (p *pool) sending(c *conn, start time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.sent = start
	return p.silence.limit()
}

func (p *pool) answered(c *conn, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.sent = time.Time{}
	p.silence.answered(c, took)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.drop(len(p.idle) - 1)
	}
}
