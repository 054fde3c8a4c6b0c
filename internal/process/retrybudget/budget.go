// Package retrybudget limits how many requests this process repeats. It does no I/O;
// time is passed in.
//
// It is built for services that fail or reject part of their requests while demand is at
// its highest. A request needs several calls further down, one after the other, and is
// lost with any of them. So repeats are worth most for the last calls of a request, where
// least is still to fail and most has been done. The repeats of all processes together
// must stay a small fraction of the requests for a service. The calls of a run that was
// itself a repeat count too: a failure that spreads upwards through the services would be
// repeated on each of them, and all these repeats meet on the lowest one. So a request
// that a target has run and failed gets a small part of the budget, and less of it the
// fewer of these repeats succeed.
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
	safetyFactor = 0.65
	// burstWindows is the part of a window whose repeats may accumulate. Together with
	// safetyFactor, no window sees more than the ratio.
	burstWindows = 0.25
	// rerunShare is the part of the budget for reruns. Those of three services, one above
	// the other, take at most three quarters of the lowest one's budget.
	rerunShare = 0.25
	// gainWeight is the weight of one rerun in the moving average of their success,
	// gainHalfLife the half-life of what failed reruns have shown, and minGain the least
	// value of the average.
	gainWeight   = 0.1
	gainHalfLife = 4 * time.Second
	minGain      = 0.05
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
	// reruns is the part of the tokens that reruns may take, and gain the fraction of
	// them that lately succeeded.
	reruns, gain float64
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
	b.add(s, b.options.Ratio*safetyFactor)
}

// CountRepeat counts a request for a service that repeats another one although Take was
// not asked: a call of a run that is itself a repeat.
func (b *Budget) CountRepeat(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refill(now, service)
	s.tokens = max(s.tokens-1, -b.capacity(s)/burstWindows)
}

// Take reports whether a request for the service may be repeated, and takes a token if
// so. remaining, from 0 to 1, is the part of the calls that its request still has to make
// after this one: the fewer tokens there are, the less may remain.
func (b *Budget) Take(now time.Time, service string, remaining float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(b.refill(now, service), remaining)
}

// TakeRerun is Take for a rerun: the repeat of a request that a target may have run. The
// caller reports its end with RecordRerun.
func (b *Budget) TakeRerun(now time.Time, service string, remaining float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refill(now, service)
	cost := 1 / max(s.gain, minGain)
	if s.reruns < min(cost, b.rerunCapacity(s)) || !b.take(s, remaining) {
		return false
	}
	s.reruns -= cost
	return true
}

// RecordRerun records whether a rerun has succeeded.
func (b *Budget) RecordRerun(now time.Time, service string, succeeded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.refill(now, service)
	outcome := 0.0
	if succeeded {
		outcome = 1
	}
	s.gain += gainWeight * (outcome - s.gain)
}

func (b *Budget) take(s *bucket, remaining float64) bool {
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
		s = &bucket{last: now, tokens: 1, reruns: 1, gain: 1}
		b.buckets[service] = s
	}
	elapsed := now.Sub(s.last)
	s.last = now
	s.requests *= math.Exp(-elapsed.Seconds() / b.averageTime().Seconds())
	s.gain = 1 - (1-s.gain)*math.Exp2(-elapsed.Seconds()/gainHalfLife.Seconds())
	b.add(s, b.slackPerSecond()*elapsed.Seconds())
	return s
}

// add adds tokens, and the part of them that reruns may take.
func (b *Budget) add(s *bucket, tokens float64) {
	s.tokens = min(s.tokens+tokens, b.capacity(s))
	s.reruns = min(s.reruns+tokens*rerunShare, b.rerunCapacity(s))
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

// rerunCapacity returns the number of reruns that may accumulate.
func (b *Budget) rerunCapacity(s *bucket) float64 { return max(1, rerunShare*b.capacity(s)) }
