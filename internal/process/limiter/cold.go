package limiter

import "time"

// ColdWindow is the length of the sliding window over which requests to a cold
// target are counted.
const ColdWindow = time.Second

// ColdLimiter limits the request rate of a cold target: no sliding window of
// length ColdWindow contains more requests than allowed. The zero value has
// counted no requests.
type ColdLimiter struct {
	sent []time.Time // oldest first
}

// Allow reports whether one more request may be sent at now, and counts it if
// so. It must be called for every request, also while the target is warm,
// because the requests sent just before a target becomes cold count towards the
// limit.
func (c *ColdLimiter) Allow(now time.Time, cold bool, perSecond float64) bool {
	c.expire(now)
	if cold && len(c.sent)+1 > int(perSecond) {
		return false
	}
	c.sent = append(c.sent, now)
	return true
}

// Sent returns the number of requests in the window that ends at now.
func (c *ColdLimiter) Sent(now time.Time) int {
	c.expire(now)
	return len(c.sent)
}

// RetryAfter returns the time until the oldest counted request leaves the
// window.
func (c *ColdLimiter) RetryAfter(now time.Time) time.Duration {
	if len(c.sent) == 0 {
		return 0
	}
	return max(ColdWindow-now.Sub(c.sent[0]), 0)
}

func (c *ColdLimiter) expire(now time.Time) {
	i := 0
	for i < len(c.sent) && now.Sub(c.sent[i]) >= ColdWindow {
		i++
	}
	if i > 0 {
		c.sent = append(c.sent[:0], c.sent[i:]...)
	}
}
