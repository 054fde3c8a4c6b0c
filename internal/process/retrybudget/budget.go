// Package retrybudget limits how many requests this process retries. It does no
// I/O; time is passed in.
//
// It is built for a deep service that fails part of its requests while demand
// is at its highest. Each retry causes calls to the services downstream, so the
// retries of all processes together must stay a small fraction of the requests.
package retrybudget

import (
	"sync"
	"time"
)

// Options configure a Budget.
type Options struct {
	// Ratio is the fraction of the requests for a service that all processes
	// together may retry.
	Ratio float64
	// Window is the time over which retries are counted, and Slack the number
	// of retries allowed in it in addition to the ratio.
	Window time.Duration
	Slack  float64
	// Processes returns the number of processes that share the slack.
	Processes func() int
}

const (
	// amplification is the assumed maximum number of calls that one retry causes
	// at a service downstream. Each of them counts as a retry there.
	amplification = 8
	// safetyFactor is the fraction of the budget that is used, since requests
	// counted here may never reach the service.
	safetyFactor = 0.5
)

// Budget holds a token bucket for each service. Its methods are safe for
// concurrent use.
type Budget struct {
	options Options
	mu      sync.Mutex
	// buckets holds the token buckets by service.
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
	last   time.Time
}

// New returns a Budget that has counted no requests.
func New(o Options) *Budget {
	return &Budget{options: o, buckets: make(map[string]*bucket)}
}

// CountRequest counts a request for a service, which adds tokens to its bucket.
func (b *Budget) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokenBucket := b.refill(now, service)
	tokenBucket.tokens = min(tokenBucket.tokens+b.options.Ratio*safetyFactor/amplification, b.maxTokens())
}

// Take reports whether a request for the service may be retried, and takes a
// token if so.
func (b *Budget) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokenBucket := b.refill(now, service)
	if tokenBucket.tokens < 1 {
		return false
	}
	tokenBucket.tokens--
	return true
}

// refill adds this process's share of the slack for the time since the last
// refill, and returns the bucket of the service. A new bucket is half full.
func (b *Budget) refill(now time.Time, service string) *bucket {
	tokenBucket, ok := b.buckets[service]
	if !ok {
		tokenBucket = &bucket{last: now, tokens: b.maxTokens() / 2}
		b.buckets[service] = tokenBucket
	}
	share := b.options.Slack * safetyFactor / amplification / float64(max(b.options.Processes(), 1))
	tokenBucket.tokens = min(tokenBucket.tokens+share*now.Sub(tokenBucket.last).Seconds()/b.options.Window.Seconds(), b.maxTokens())
	tokenBucket.last = now
	return tokenBucket
}

// maxTokens returns the capacity of a bucket, in retries.
func (b *Budget) maxTokens() float64 {
	return max(1, b.options.Slack*safetyFactor/amplification/float64(max(b.options.Processes(), 1)))
}
