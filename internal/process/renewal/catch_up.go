package renewal

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pauseLimit is the longest time from the start of an attempt to renew until the next
	// one has ended while this process runs: longer than an interval and two calls that get
	// no reply.
	pauseLimit = 2 * time.Second
	// maxCatchUp is how long requests wait at most for the first renewal after a pause: long
	// enough to get past two replicas that do not reply to one that does.
	maxCatchUp = 2 * time.Second
)

// pauseDetector tells whether this process was paused, as a stopped or starved process is,
// and has not renewed since.
type pauseDetector struct {
	start time.Time
	// attemptAt is when the last attempt to renew that has ended began, in nanoseconds since
	// start. Its reply says nothing of what happened later.
	attemptAt atomic.Int64
	// catchingUp is true from the first attempt after a pause until a renewal has ended that
	// began after it.
	catchingUp atomic.Bool

	mu sync.Mutex
	// renewed is closed at the end of the next renewal, successful or not.
	renewed chan struct{}
}

func newPauseDetector() *pauseDetector {
	return &pauseDetector{start: time.Now(), renewed: make(chan struct{})}
}

// renewalBegins records that a renewal begins.
func (p *pauseDetector) renewalBegins(now time.Time) {
	if p.overdue(now) {
		p.catchingUp.Store(true)
	}
}

// attemptEnded records that an attempt to renew at one replica has ended, which began at
// beganAt.
func (p *pauseDetector) attemptEnded(beganAt time.Time) {
	p.attemptAt.Store(int64(beganAt.Sub(p.start)))
}

// renewalEnded records that a renewal has ended, and releases the requests that wait for it.
func (p *pauseDetector) renewalEnded(now time.Time) {
	p.catchingUp.Store(p.overdue(now))
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.renewed)
	p.renewed = make(chan struct{})
}

func (p *pauseDetector) overdue(now time.Time) bool {
	return now.Sub(p.start)-time.Duration(p.attemptAt.Load()) > pauseLimit
}

// pausedAt reports whether this process was paused at now, and has not renewed since.
func (p *pauseDetector) pausedAt(now time.Time) bool { return p.catchingUp.Load() || p.overdue(now) }

func (p *pauseDetector) nextRenewal() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.renewed
}

// CatchUp returns at once unless this process was paused and has not renewed since. Then it
// waits for the end of the next renewal, for at most maxCatchUp: the replicas acknowledge
// changes without a daemon that is out of contact. While renewals fail it does not wait.
func (l *Loop) CatchUp(ctx context.Context, now time.Time) {
	if !l.pauses.pausedAt(now) {
		return
	}
	timer := time.NewTimer(maxCatchUp)
	defer timer.Stop()
	for {
		renewed := l.pauses.nextRenewal()
		if !l.pauses.pausedAt(time.Now()) {
			return
		}
		l.RenewNow()
		select {
		case <-renewed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
