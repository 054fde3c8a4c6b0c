package ledger

import (
	"sync"
	"time"
)

// Clock gives the time that a leader puts into commands: the time in the
// machine, moved on by what a monotonic clock measured on this replica. A step
// of the wall clock therefore never makes records expire early; while every
// replica is down, time stands still and records are kept longer.
type Clock struct {
	machine *Machine
	now     func() time.Time

	mu   sync.Mutex
	last time.Duration
	at   time.Time
}

// NewClock returns a clock over machine. now must be monotonic, such as
// time.Now.
func NewClock(machine *Machine, now func() time.Time) *Clock {
	return &Clock{machine: machine, now: now, last: machine.Now(), at: now()}
}

// Now returns the time for the next command. It never moves back.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	elapsed := max(now.Sub(c.at), 0)
	c.last = max(c.last+elapsed, c.machine.Now())
	c.at = now
	return c.last
}
