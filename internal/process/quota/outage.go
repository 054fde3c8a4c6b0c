package quota

import "time"

const (
	// outageBurst is the time in which the allowed rate fills the token bucket of
	// an outage. The bucket has room for at least one token, and starts with at
	// most one.
	outageBurst = 500 * time.Millisecond
	// outageShare is the part of the earlier spending rate that is allowed during
	// an outage to a holder without a recent standing rate. If only some daemons are
	// cut off, the others may get the whole rate from the issuer at the same time.
	// With a third of the daemons cut off and a team that reaches its limit during the
	// outage, total spending stays within 10 % above rate and burst.
	outageShare = 0.6
	// atLimitShare replaces outageShare for a team that was at its limit before
	// the outage.
	atLimitShare = 0.3
	// fairShare is the part of a daemon's equal share of the team's rate that it
	// may always spend. With a third of the daemons cut off, total spending stays
	// within the same 10 %.
	fairShare = 0.35
	// recentlyAtLimitWindow is how long a team counts as at its limit after the
	// issuer has reported it.
	recentlyAtLimitWindow = 3 * time.Second
	// idleFairShare replaces fairShare for a holder with a standing rate. All standing
	// rates together are the team's rate, so it is all that comes on top.
	idleFairShare = 0.1
)

// outage is the token bucket from which a team spends while no issuer replies.
type outage struct {
	// spending counts the issued tokens that were spent. It does not change during an
	// outage.
	spending average
	// startedAt is when the outage began; zero if there is none.
	startedAt time.Time
	// allowedRate is the number of tokens per second during the outage. standingRate, if
	// it is not 0, replaces it for maxStandingOutage.
	allowedRate, standingRate float64
	// refilledAt is when tokens was last refilled.
	refilledAt time.Time
	tokens     float64
	// room is the least number of tokens that the bucket has room for; 0 means one.
	room float64
}

// recordSpent counts one spent token of an issuer.
func (o *outage) recordSpent(now time.Time) { o.spending.add(now, 1) }

// begin starts an outage unless one has started. fairRate is this daemon's equal
// share of the team's rate; it sets the minimum for a daemon that has spent less
// or has just started. atLimit is true if the team was recently at its limit.
func (o *outage) begin(now time.Time, fairRate float64, atLimit bool) {
	if !o.startedAt.IsZero() {
		return
	}
	share := outageShare
	if atLimit {
		share = atLimitShare
	}
	o.allowedRate = max(o.spending.value(now)*share, fairRate*fairShare)
	o.startedAt = now
	o.refilledAt = now
	o.standingRate = 0
	o.tokens = min(o.allowedRate*outageBurst.Seconds(), 1)
}

// beginStanding is begin for a holder with a recent standing rate, which replaces the
// allowed rate for maxStandingOutage. If the team was at its limit, it is only a part of
// it: the issuer may take a moment to notice that the holder is silent.
func (o *outage) beginStanding(now time.Time, standing, fairRate float64, atLimit bool) {
	if !o.startedAt.IsZero() {
		return
	}
	o.begin(now, fairRate, atLimit)
	if atLimit {
		standing *= outageShare
	}
	o.standingRate = max(standing, fairRate*idleFairShare)
}

// rate returns the number of tokens per second that may be spent at now.
func (o *outage) rate(now time.Time) float64 {
	if o.standingRate > 0 && now.Sub(o.startedAt) < maxStandingOutage {
		return o.standingRate
	}
	return o.allowedRate
}

// end ends the outage after an issuer has replied.
func (o *outage) end() { o.startedAt = time.Time{} }

// take spends a token if there is one and the outage has lasted less than
// maxOutage.
func (o *outage) take(now time.Time, maxOutage time.Duration) bool {
	if o.startedAt.IsZero() || now.Sub(o.startedAt) >= maxOutage {
		return false
	}
	rate := o.rate(now)
	capacity := max(rate*outageBurst.Seconds(), o.room, 1)
	o.tokens = min(o.tokens+rate*now.Sub(o.refilledAt).Seconds(), capacity)
	o.refilledAt = now
	if o.tokens < 1 {
		return false
	}
	o.tokens--
	return true
}

// nextToken returns the time from the last refill until the bucket has a token, at
// most maxWait.
func (o *outage) nextToken() time.Duration {
	missing, rate := 1-o.tokens, o.rate(o.refilledAt)
	if missing > rate*maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(missing / rate * float64(time.Second))
}
