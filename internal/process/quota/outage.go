package quota

import (
	"math"
	"time"
)

const (
	// usageWindow is the time over which the spending of a team is averaged.
	usageWindow = 3 * time.Second
	// outageBurst is how much of the average may be spent at once.
	outageBurst = 500 * time.Millisecond
)

// outage lets a team go on spending at the rate of the time before, while no
// issuer answers. All daemons together then spend no more than they did before,
// which the issuer had granted.
type outage struct {
	// rate is the average of the tokens spent a second, at counted. It stands
	// still during an outage.
	rate    float64
	counted time.Time
	// since is when the outage began; zero while there is none.
	since  time.Time
	filled time.Time
	tokens float64
}

// spent counts a token of an issuer.
func (o *outage) spent(now time.Time) {
	o.decay(now)
	o.rate += 1 / usageWindow.Seconds()
}

func (o *outage) decay(now time.Time) {
	if passed := now.Sub(o.counted); passed > 0 {
		o.rate *= math.Exp(-passed.Seconds() / usageWindow.Seconds())
		o.counted = now
	}
}

// begin notes that an issuer did not answer.
func (o *outage) begin(now time.Time) {
	if o.since.IsZero() {
		o.decay(now)
		o.since = now
		o.filled = now
		o.tokens = min(o.rate*outageBurst.Seconds(), 1)
	}
}

// end notes that an issuer has answered.
func (o *outage) end() { o.since = time.Time{} }

// take spends a token where the outage has lasted for less than the bound.
func (o *outage) take(now time.Time, bound time.Duration) bool {
	if o.since.IsZero() || now.Sub(o.since) >= bound {
		return false
	}
	most := max(o.rate*outageBurst.Seconds(), 1)
	o.tokens = min(o.tokens+o.rate*now.Sub(o.filled).Seconds(), most)
	o.filled = now
	if o.tokens < 1 {
		return false
	}
	o.tokens--
	return true
}
