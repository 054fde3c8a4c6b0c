package listener

import (
	"context"
	"net"
	"time"
)

// connKey is the key of the *conn in the context of a request.
type connKey struct{}

// connOf returns the connection of a request; nil if no guard protects its server.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// guardedConn returns the connection below c that a guardedListener accepted, or nil.
func guardedConn(c net.Conn) *conn {
	for {
		switch wrapped := c.(type) {
		case *conn:
			return wrapped
		case interface{ NetConn() net.Conn }:
			c = wrapped.NetConn()
		default:
			return nil
		}
	}
}

// conn is an accepted connection. Its methods accept nil.
type conn struct {
	net.Conn
	listener *guardedListener

	// The guard's mutex protects the fields below. served is true while a request is being
	// served; otherwise the connection has waited for one since waitingSince.
	served       bool
	waitingSince time.Time
}

// Close implements net.Conn.
func (c *conn) Close() error {
	g := c.listener.guard
	g.mu.Lock()
	g.forget(c)
	g.mu.Unlock()
	return c.Conn.Close()
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) setServed() {
	if c == nil {
		return
	}
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.served = true
}

func (c *conn) setWaiting() {
	if c == nil {
		return
	}
	g := c.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.served, c.waitingSince = false, time.Now()
}

// Served marks a connection of a guarded listener as in use for good. It has no effect on
// others.
func Served(c net.Conn) { guardedConn(c).setServed() }
