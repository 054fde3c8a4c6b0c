package target

import (
	"context"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/meter"
)

const (
	// stallTimeout is the minimum wait for the first byte of a response on a used
	// connection before the connection is considered silent.
	stallTimeout = 700 * time.Millisecond
	// stallFactor is the wait as a multiple of the average time to first byte.
	stallFactor = 4
	// averageDivisor is the inverse of the weight of a new value in the exponential
	// moving average.
	averageDivisor = 8
)

// silenceDetector distinguishes silent connections from a slow target. When a
// request on a used connection exceeds the first-byte timeout, all connections
// opened before that request was sent are retired: they get no new requests.
// Only a response on a new connection shows whether the retired connections are
// silent or the target is slow. So one stalled request is abandoned immediately,
// and its sender may retry it on a new connection. The other stalled requests are
// abandoned only after a new connection has responded in time. The pool's lock
// must be held when a method is called.
type silenceDetector struct {
	// retireBefore is the time before which the retired connections were opened.
	// They must not get new requests.
	retireBefore time.Time
	// averageFirstByte is a moving average of the time to first byte.
	averageFirstByte time.Duration
	// lastAbandoned is when a stalled request was last abandoned immediately,
	// before a new connection had responded.
	lastAbandoned time.Time
	// stalled maps the connections of stalled requests to the functions that
	// abandon them.
	stalled map[*conn]context.CancelCauseFunc
}

// firstByteTimeout returns how long the first byte of a response may take on a
// used connection.
func (s *silenceDetector) firstByteTimeout() time.Duration {
	return max(stallTimeout, stallFactor*s.averageFirstByte)
}

// recordStall records that the request sent on c at start has exceeded the
// first-byte timeout. abandon is nil if the request is not idempotent. At most
// one request per stallTimeout is abandoned immediately; the others are added to
// stalled.
func (s *silenceDetector) recordStall(c *conn, start time.Time, abandon context.CancelCauseFunc) {
	if start.After(s.retireBefore) {
		s.retireBefore = start
	}
	if abandon == nil {
		return
	}
	if now := time.Now(); now.Sub(s.lastAbandoned) >= stallTimeout {
		s.lastAbandoned = now
		abandon(meter.ErrSilent)
		return
	}
	if s.stalled == nil {
		s.stalled = make(map[*conn]context.CancelCauseFunc)
	}
	s.stalled[c] = abandon
}

// recordResponse records the time to first byte of a response on c. If c is a new
// connection and responded in time, it abandons the stalled requests on retired
// connections.
func (s *silenceDetector) recordResponse(c *conn, firstByte time.Duration) {
	s.averageFirstByte += (firstByte - s.averageFirstByte) / averageDivisor
	delete(s.stalled, c)
	if c.opened.Before(s.retireBefore) || firstByte >= stallTimeout {
		return
	}
	for other, abandon := range s.stalled {
		if other.opened.Before(s.retireBefore) {
			delete(s.stalled, other)
			abandon(meter.ErrSilent)
		}
	}
}

// requestFailed records that the request on c has failed.
func (s *silenceDetector) requestFailed(c *conn) { delete(s.stalled, c) }
