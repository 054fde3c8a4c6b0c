package listener

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// freeHeadBytes is the memory for each request head that is not counted.
	freeHeadBytes = 4 << 10
	// backlogDivisor divides the connections that a listener may have open. The quotient,
	// at least minBacklog, is the number of connections that wait to be accepted.
	backlogDivisor = 4
	minBacklog     = 32
)

// Guard bounds what the clients of the listeners of one process can make it hold. When there
// is no room for another connection, it closes the one that has been without a complete
// request for longest; when there is none for a request head, the one with the longest
// incomplete head. Connections whose requests are being served are never closed.
type Guard struct {
	capacity Capacity

	mu    sync.Mutex
	conns map[*conn]struct{}
	// heads and bodies are the memory that is held for request heads and bodies.
	heads, bodies int64
	// longBodies is the number of connections with the receive buffer for long bodies.
	longBodies int
	// refused and replaced count the connections that were not accepted and those that were
	// closed to make room.
	refused, replaced uint64
}

// NewGuard returns a guard with this capacity.
func NewGuard(c Capacity) *Guard {
	return &Guard{capacity: c, conns: make(map[*conn]struct{})}
}

// Write writes the figures of the guard in the Prometheus text format.
func (g *Guard) Write(w io.Writer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, _ = fmt.Fprintf(w, "teaselrack_connections_open %d\nteaselrack_connections_refused_total %d\nteaselrack_connections_replaced_total %d\n", len(g.conns), g.refused, g.replaced)
	_, _ = fmt.Fprintf(w, "teaselrack_request_head_bytes %d\nteaselrack_request_body_bytes %d\n", g.heads, g.bodies)
}

// Listen returns a listener for callers, on which at most this part of the connections of the
// process is open at a time. Protect the server that accepts from it. Errors: Internal if the
// queue of the listener cannot be set.
func (g *Guard) Listen(ln net.Listener, part float64) (net.Listener, error) {
	limit := g.capacity.share(part)
	if err := limitBacklog(ln, max(limit/backlogDivisor, minBacklog)); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "set the queue of the listener on %s", ln.Addr())
	}
	return &guardedListener{Listener: ln, guard: g, limit: limit, countsHeads: true}, nil
}

// ListenLinks returns a listener like that of Listen for the links of other processes, on
// which request heads are not counted.
func (g *Guard) ListenLinks(ln net.Listener, part float64) (net.Listener, error) {
	l, err := g.Listen(ln, part)
	if err == nil {
		l.(*guardedListener).countsHeads = false
	}
	return l, err
}

// guardedListener accepts connections as long as there is room for them.
type guardedListener struct {
	net.Listener
	guard *Guard
	limit int
	// countsHeads is true if request heads count toward the capacity.
	countsHeads bool
	// open is the number of connections; guard.mu protects it.
	open int
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, listener: l, waitingSince: time.Now()}
		if !l.admit(c) {
			_ = accepted.Close()
			continue
		}
		queue := receiveQueueBytes
		if !l.countsHeads {
			// What arrives on a link is read at once.
			queue = bodyQueueBytes
		}
		limitReceiveQueue(accepted, queue)
		return c, nil
	}
}

// admit records a connection. It returns false if there is no room.
func (l *guardedListener) admit(c *conn) bool {
	g := l.guard
	g.mu.Lock()
	var longest *conn
	own := l.open >= min(l.limit, g.capacity.share(CallShare))
	if l.open >= l.limit || len(g.conns) >= g.capacity.Connections {
		if longest = g.longestWaiting(l, own); longest == nil {
			g.refused++
			g.mu.Unlock()
			return false
		}
		g.forget(longest)
		g.replaced++
	}
	g.conns[c] = struct{}{}
	l.open++
	g.mu.Unlock()
	if longest != nil {
		_ = longest.Conn.Close()
	}
	return true
}

// longestWaiting returns the connection that has waited longest for a complete request: one
// of l if own is set, otherwise one of the listener with the most connections. nil means that
// none waits.
func (g *Guard) longestWaiting(l *guardedListener, own bool) *conn {
	var longest *conn
	for c := range g.conns {
		switch {
		case c.served || own && c.listener != l:
		case longest == nil, c.listener.open > longest.listener.open:
			longest = c
		case c.listener.open == longest.listener.open && c.waitingSince.Before(longest.waitingSince):
			longest = c
		}
	}
	return longest
}

// forget removes a connection and what it holds. The caller holds g.mu.
func (g *Guard) forget(c *conn) {
	if _, open := g.conns[c]; !open {
		return
	}
	delete(g.conns, c)
	c.listener.open--
	g.heads -= c.head
	c.head = 0
	if c.longBody {
		g.longBodies--
		c.longBody = false
	}
}

// admitLongBody reports whether c gets the receive buffer for long bodies now. It has it until
// it is closed.
func (g *Guard) admitLongBody(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.conns[c]; !open || c.longBody || g.longBodies >= g.capacity.LongBodies {
		return false
	}
	c.longBody = true
	g.longBodies++
	return true
}

// Protect makes the server report to the guard which connections have a request that is being
// served. Call it after all other changes to the hooks of the server.
func (g *Guard) Protect(server *http.Server) {
	next, nextContext, nextState := server.Handler, server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, guardedConn(c))
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			guardedConn(c).setWaiting()
		}
		if nextState != nil {
			nextState(c, state)
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connOf(r.Context()).setServed()
		next.ServeHTTP(w, r)
	})
}
