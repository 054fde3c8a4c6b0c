package gate

import "time"

// ColdWindow is the time over which a cold target's requests are counted.
const ColdWindow = time.Second

// Cold bounds the requests that a cold target gets in any window. The zero
// value knows of no requests.
type Cold struct {
	sent []time.Time // oldest first
}

// Take reports whether one more request may be sent at now, and counts it. It
// is called for each request, also while the target is warm, because a target
// may turn cold at any moment.
func (c *Cold) Take(now time.Time, cold bool, perSecond float64) bool {
	c.drop(now)
	if cold && len(c.sent)+1 > int(perSecond) {
		return false
	}
	c.sent = append(c.sent, now)
	return true
}

// Wait is the time until the next request may be sent.
func (c *Cold) Wait(now time.Time) time.Duration {
	if len(c.sent) == 0 {
		return 0
	}
	return max(ColdWindow-now.Sub(c.sent[0]), 0)
}

func (c *Cold) drop(now time.Time) {
	i := 0
	for i < len(c.sent) && now.Sub(c.sent[i]) >= ColdWindow {
		i++
	}
	if i > 0 {
		c.sent = append(c.sent[:0], c.sent[i:]...)
	}
}
