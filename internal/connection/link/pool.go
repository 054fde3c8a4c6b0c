package link

import (
	"sync"
	"time"
)

// pool holds the idle connections to one address.
type pool struct {
	mu   sync.Mutex
	idle []*conn // the one used last stands last
}

// take returns the connection that was used last, if it has been idle for no
// longer than limit; nil where there is none.
func (p *pool) take(limit time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	if time.Since(c.idleSince) > min(limit, c.keep) {
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

// prune closes what has been idle for too long and reports whether nothing is
// left.
func (p *pool) prune() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.idleSince) > min(idleLife, c.keep) {
			c.close()
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return len(kept) == 0
}

// retire closes the idle connections that were opened before a moment: what
// silenced one of them may have silenced all.
func (p *pool) retire(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.answered.Before(before) {
			c.close()
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}
