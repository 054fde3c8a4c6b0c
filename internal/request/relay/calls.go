package relay

import (
	"sync"
	"time"
)

// callLife is how long a service counts as called after the last call.
const callLife = 3 * time.Second

// Calls remembers which services the target of this machine calls. Its methods
// may be called from any goroutine.
type Calls struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// Add notes a call.
func (c *Calls) Add(now time.Time, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil {
		c.last = make(map[string]time.Time)
	}
	c.last[service] = now
}

// Services returns the services that were called lately.
func (c *Calls) Services(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, at := range c.last {
		if now.Sub(at) < callLife {
			names = append(names, name)
			continue
		}
		delete(c.last, name)
	}
	return names
}
