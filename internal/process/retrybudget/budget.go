// Package retrybudget limits how many requests this process repeats. It does no I/O;
// time is passed in.
//
// It is built for services that fail or reject part of their requests while demand is at
// its highest. A request needs several calls further down, one after the other, and is
// lost with any of them. So repeats are worth most for the last calls of a request, where
// least is still to fail and most has been done. The repeats of all processes together
// must stay a small fraction of the requests for a service. The calls of a run that was
// itself a repeat count too.
package retrybudget

import (
	"math"
	"sync"
	"time"
)

// Options configure a Budget.
type Options struct {
	// Ratio is the fraction of the requests for a service that all processes
	// together may repeat.
	Ratio float64
	// Window is the time over which repeats are counted, and Slack the number
	// of repeats allowed in it in addition to the ratio.
	Window time.Duration
	Slack  float64
	// Processes returns the number of processes that share the slack.
	Processes func() int
}

const (
	// safetyFactor is the fraction of the budget that is used, since requests counted
	// here may never reach the service.
	safetyFactor = 0.75
	// burstWindows is the part of a window whose repeats may accumulate. Together with
	// safetyFactor, no window sees more than the ratio.
	burstWindows = 0.25
)

// Budget holds a token bucket for each service. Its methods are safe for
// concurrent use.
type Budget struct {
	options Options
	mu      sync.Mutex
	// buckets holds the token buckets by service.
	buckets map[string]*bucket
}

// bucket holds the repeats that are allowed for one service.
type bucket struct {
	tokens float64
	last   time.Time
	// requests is the number of requests per second, as a moving average over a
	// quarter of the window.
	requests float64
}

// New returns a Budget that has counted no requests.
func New(o Options) *Budget {
	return &Budget{options: o, buckets: make(map[string]*bucket)}
}

// CountRequest counts a request for a service, which adds tokens to its bucket.
func (b *Budget) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refill(now, service)
	s.requests += 1 / b.averageTime().Seconds()
	s.tokens = min(s.tokens+b.options.Ratio*safetyFactor, b.capacity(s))
}

// CountRepeat counts a request for a service that repeats another one although Take was
// not asked: a call of a run that is itself a repeat.
func (b *Budget) CountRepeat(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refill(now, service)
	s.tokens = max(s.tokens-1, -b.capacity(s))
}

// Take reports whether a request for the service may be repeated, and takes a token if
// so. remaining, from 0 to 1, is the part of the calls that its request still has to make
// after this one: the fewer tokens there are, the less may remain.
func (b *Budget) Take(now time.Time, service string, remaining float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refill(now, service)
	if s.tokens < 1 || s.tokens < remaining*b.capacity(s) {
		return false
	}
	s.tokens--
	return true
}

// refill adds this process's share of the slack for the time since the last refill, and
// returns the bucket of the service. A new bucket has one token.
func (b *Budget) refill(now time.Time, service string) *bucket {
	s, ok := b.buckets[service]
	if !ok {
		s = &bucket{last: now, tokens: 1}
		b.buckets[service] = s
	}
	elapsed := now.Sub(s.last).Seconds()
	s.last = now
	s.requests *= math.Exp(-elapsed / b.averageTime().Seconds())
	s.tokens = min(s.tokens+b.slackPerSecond()*elapsed, b.capacity(s))
	return s
}

func (b *Budget) averageTime() time.Duration {
	return time.Duration(burstWindows * float64(b.options.Window))
}

// slackPerSecond returns this process's share of the slack.
func (b *Budget) slackPerSecond() float64 {
	return b.options.Slack * safetyFactor / float64(max(b.options.Processes(), 1)) / b.options.Window.Seconds()
}

// capacity returns the number of repeats that may accumulate.
func (b *Budget) capacity(s *bucket) float64 {
	perSecond := b.options.Ratio*safetyFactor*s.requests + b.slackPerSecond()
	return max(1, perSecond*b.averageTime().Seconds())
}
