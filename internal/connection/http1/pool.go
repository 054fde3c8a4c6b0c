package http1

import (
	"sync"
	"time"
)

// pool holds the idle connections to one address.
type pool struct {
	mu   sync.Mutex
	idle []*conn // ordered by last use, the most recent one last
}

// take removes and returns the most recently used connection. It returns nil if
// there is none, or if that connection has been idle for longer than limit or
// than the server's idle timeout.
func (p *pool) take(limit time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	if time.Since(c.idleSince) > min(limit, c.peerIdleTimeout) {
		return nil
	}
	p.idle = p.idle[:n-1]
	return c
}

func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	if len(p.idle) > maxIdle {
		p.idle[0].close()
		p.idle = p.idle[1:]
	}
}

// prune closes the connections whose idle timeout has passed and reports whether
// the pool is empty.
func (p *pool) prune() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.idleSince) > min(idleTimeout, c.peerIdleTimeout) {
			c.close()
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return len(kept) == 0
}

// closeStale closes the idle connections that were opened before the given time
// and have received no response since then. roundTrip passes the start time of a
// request that failed on a used connection, because the same fault may have
// silenced these connections too.
func (p *pool) closeStale(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.lastResponse.Before(before) {
			c.close()
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}
