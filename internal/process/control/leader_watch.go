package control

import (
	"sync"
	"time"
)

// leaderWatch decides whether to call the leader for tokens, and how long to wait for
// its reply. It does no I/O; time is passed in. It is built for a leader that is lost
// while hundreds of daemons ask for tokens: only one of them waits for the leader, and
// the others get a substitute's tokens at once. It is safe for concurrent use.
type leaderWatch struct {
	mu             sync.Mutex
	suspectedUntil time.Time
	// timeout is the time limit of the next call; 0 means minGrantTimeout. It doubles
	// with each call that fails, so that a leader that is far away is found.
	timeout time.Duration
}

// mayCall reports whether the leader is to be called, and the time limit of the call.
// Once the period of suspicion has ended, only one caller gets true until its call is
// recorded or a further period has passed.
func (l *leaderWatch) mayCall(now time.Time) (timeout time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	timeout = max(l.timeout, minGrantTimeout)
	if l.suspectedUntil.IsZero() {
		return timeout, true
	}
	if now.Before(l.suspectedUntil) {
		return 0, false
	}
	l.suspectedUntil = now.Add(timeout + suspicionPeriod)
	return timeout, true
}

// record records that a call took so long, and whether the leader replied.
func (l *leaderWatch) record(now time.Time, took time.Duration, replied bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if replied {
		l.suspectedUntil = time.Time{}
		l.timeout = min(max(grantTimeoutFactor*took, l.timeout/2), maxGrantTimeout)
		return
	}
	l.suspectedUntil = now.Add(suspicionPeriod)
	l.timeout = min(2*max(l.timeout, minGrantTimeout), maxGrantTimeout)
}
