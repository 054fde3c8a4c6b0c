package limiter

import (
	"math"
	"time"
)

const (
	// MinRate is the rate, in requests per second, for a target that takes fewer. The
	// responses say whether its limit still holds.
	MinRate = 0.25
	// RateBurst is the number of requests that may start at the same time after a
	// pause, whatever the rate.
	RateBurst = 2
	// maxRateWait is how long a request may be expected to wait for the rate limit.
	// Another target of the service may have room, so a longer queue would only delay
	// requests.
	maxRateWait = 200 * time.Millisecond
)

// rate is a token bucket. The zero value limits nothing.
type rate struct {
	// perSecond is 0 if there is no limit.
	perSecond float64
	tokens    float64
	updatedAt time.Time
}

// set changes the limit; 0 removes it. A new limit starts without tokens.
func (r *rate) set(now time.Time, perSecond float64) {
	if r.perSecond == 0 {
		r.tokens, r.updatedAt = 0, now
	}
	r.refill(now)
	r.perSecond = perSecond
}

func (r *rate) limited() bool { return r.perSecond > 0 }

func (r *rate) refill(now time.Time) {
	r.tokens = min(r.tokens+now.Sub(r.updatedAt).Seconds()*r.perSecond, RateBurst)
	r.updatedAt = now
}

// take takes a token. It reports whether there was one, or no limit.
func (r *rate) take(now time.Time) bool {
	if !r.limited() {
		return true
	}
	r.refill(now)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// wait returns the time until n tokens are available, rounded up, so that they are
// certainly there after it.
func (r *rate) wait(n int) time.Duration {
	missing := float64(n) - r.tokens
	if !r.limited() || missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / r.perSecond * float64(time.Second)))
}
