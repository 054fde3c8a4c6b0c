package target

import (
	"context"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/meter"
)

const (
	// stallTimeout is the least wait for the first byte on a used connection
	// before it is taken to be silent.
	stallTimeout = 700 * time.Millisecond
	// stallFactor is the wait in multiples of the usual time to the first byte.
	stallFactor = 4
	// usualWeight is the divisor of a new value in the moving average.
	usualWeight = 8
)

// silence tells silent connections from a slow target. A request that stalls on
// a used connection keeps new work off the connections of its age. Whether the
// connections are silent, or all answers are slow, shows on a new one: so one
// stalled request is given up at once, to be repeated by its sender, and the
// others only when a new connection has answered in time. Its methods are
// called under the lock of the pool.
type silence struct {
	// retired is the time before which connections were opened that new work
	// must not use.
	retired time.Time
	// usual is a moving average of the time to the first byte.
	usual time.Duration
	// gaveUp is when the last request was given up without such evidence.
	gaveUp time.Time
	// stalled are requests that wait for evidence, by their connections.
	stalled map[*conn]context.CancelCauseFunc
}

// limit is how long the first byte may take on a used connection.
func (s *silence) limit() time.Duration {
	return max(stallTimeout, stallFactor*s.usual)
}

// stall notes that a request on c, sent at start, has exceeded the limit.
// giveUp is nil where the request may not be repeated.
func (s *silence) stall(c *conn, start time.Time, giveUp context.CancelCauseFunc) {
	if start.After(s.retired) {
		s.retired = start
	}
	if giveUp == nil {
		return
	}
	if now := time.Now(); now.Sub(s.gaveUp) >= stallTimeout {
		s.gaveUp = now
		giveUp(meter.ErrSilent)
		return
	}
	if s.stalled == nil {
		s.stalled = make(map[*conn]context.CancelCauseFunc)
	}
	s.stalled[c] = giveUp
}

// answered notes the time to the first byte of an answer on c.
func (s *silence) answered(c *conn, took time.Duration) {
	s.usual += (took - s.usual) / usualWeight
	delete(s.stalled, c)
	if c.opened.Before(s.retired) || took >= stallTimeout {
		return
	}
	for other, giveUp := range s.stalled {
		if other.opened.Before(s.retired) {
			delete(s.stalled, other)
			giveUp(meter.ErrSilent)
		}
	}
}

// ended notes that the request on c has failed.
func (s *silence) ended(c *conn) { delete(s.stalled, c) }
