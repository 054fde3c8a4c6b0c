package replica

import (
	"sync"
	"time"
)

// TimedMachine is a Machine whose commands carry the leader's time.
type TimedMachine interface {
	Machine
	// Now returns the highest time in any command so far.
	Now() time.Duration
}

// Clock provides the time that a leader puts into commands: the state machine's time,
// advanced by the time that a monotonic clock measured on this replica. A step of
// the wall clock therefore never makes records expire early. The time does not
// advance while every replica is down, so records are then kept longer.
type Clock struct {
	machine TimedMachine
	now     func() time.Time

	mu sync.Mutex
	// last is the time that Now last returned, and at the reading of now at that
	// call.
	last time.Duration
	at   time.Time
}

// NewClock returns a clock for machine. now must be monotonic, such as time.Now.
func NewClock(machine TimedMachine, now func() time.Time) *Clock {
	return &Clock{machine: machine, now: now, last: machine.Now(), at: now()}
}

// Now returns the time for the next command. It never goes back.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	elapsed := max(now.Sub(c.at), 0)
	c.last = max(c.last+elapsed, c.machine.Now())
	c.at = now
	return c.last
}
