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
	// outageShare is the part of the rate before that is spent: where only some
	// daemons are cut off, the others may get the whole rate from the issuer at
	// the same time. With a third of the daemons cut off and a team that reaches
	// its limit then, all spend no more than a tenth above rate and burst.
	outageShare = 0.6
	// limitedShare is the same for a team that was at its limit before.
	limitedShare = 0.3
	// fairShare is the part of a daemon's even part of the rate that it may
	// spend in any case; with a third of the daemons cut off it stays within the
	// same tenth.
	fairShare = 0.35
	// limitedFor is how long a team counts as being at its limit after the
	// issuer has said so.
	limitedFor = 3 * time.Second
)

// outage lets a team go on spending while no issuer answers.
type outage struct {
	// rate is the average of the tokens spent a second, at counted. It stands
	// still during an outage.
	rate    float64
	counted time.Time
	// since is when the outage began; zero while there is none.
	since time.Time
	// allowed is the number of tokens a second during the outage.
	allowed float64
	filled  time.Time
	tokens  float64
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

// begin notes that an issuer did not answer. fair is the part of the team's rate
// that falls to this daemon, for a daemon that has spent less or has just
// started. limited says that the team was at its limit a short time ago.
func (o *outage) begin(now time.Time, fair float64, limited bool) {
	if !o.since.IsZero() {
		return
	}
	o.decay(now)
	share := outageShare
	if limited {
		share = limitedShare
	}
	o.allowed = max(o.rate*share, fair*fairShare)
	o.since = now
	o.filled = now
	o.tokens = min(o.allowed*outageBurst.Seconds(), 1)
}

// end notes that an issuer has answered.
func (o *outage) end() { o.since = time.Time{} }

// take spends a token where the outage has lasted for less than the bound.
func (o *outage) take(now time.Time, bound time.Duration) bool {
	if o.since.IsZero() || now.Sub(o.since) >= bound {
		return false
	}
	most := max(o.allowed*outageBurst.Seconds(), 1)
	o.tokens = min(o.tokens+o.allowed*now.Sub(o.filled).Seconds(), most)
	o.filled = now
	if o.tokens < 1 {
		return false
	}
	o.tokens--
	return true
}
