package control

import (
	"sync"
	"time"
)

// maxPause is the longest time between two observations of a process that is running.
const maxPause = 500 * time.Millisecond

// pauseWatch tells for how long this process has run without a pause, such as a stopped or
// starved process has. What it knows of others is out of date after one: they seem silent,
// because it has not listened.
type pauseWatch struct {
	mu sync.Mutex
	// since is the first observation after the last pause, last the last one.
	since, last time.Time
}

// observe records that the process runs. It must be called several times in maxPause.
func (p *pauseWatch) observe(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last) > maxPause {
		p.since = now
	}
	p.last = now
}

// runningFor returns how long the process has run without a pause.
func (p *pauseWatch) runningFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last) > maxPause {
		return 0
	}
	return now.Sub(p.since)
}
