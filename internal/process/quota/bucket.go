package quota

import (
	"math"
	"slices"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/version"
)

// amount counts tokens in units of 1e-12 token. A rate in thousandths of a
// request per second multiplied by nanoseconds has the same unit, so refills
// and sums are exact.
type amount int64

const (
	oneToken amount = 1e12
	// reserveDivisor sets the part of the burst that is reserved for waiting
	// requests: burst/reserveDivisor.
	reserveDivisor = 8
	// unfilledTTL is how long the unfilled requests of a holder count as waiting. It
	// is a few times atLimitBackoff.
	unfilledTTL = 150 * time.Millisecond
	// rateScale is the number of rate units in one request per second.
	rateScale = 1000
)

// bucket is the token bucket of one team.
//
// Invariant: level + outstanding <= burst, where outstanding counts every token
// that a holder may still spend. Only spending and refilling change the sum, so
// at most rate*w + burst tokens are spent in any window of length w.
type bucket struct {
	rate        int64 // in units of 1/rateScale request per second
	burst       amount
	level       amount
	outstanding amount
	// refilledAt is the time up to which level has been refilled.
	refilledAt time.Time

	// leases holds the leases that have not expired, ordered by expiry.
	leases []*lease

	// holders holds the state of each holder by name.
	holders map[string]*holderState
	// evictedAt is when evictHolders last scanned the holders.
	evictedAt time.Time
	standing  standingHolders
	// limitedAt is when a request last got no token.
	limitedAt time.Time
}

// holderState is the bucket's record of one holder.
type holderState struct {
	// sequence is the number of the holder's last token request, and spent the
	// total number of spent tokens that it reported.
	sequence uint64
	spent    uint64
	// leases are the leases of this holder whose tokens it reports and may give
	// back, ordered by expiry. Immediate tokens are not among them.
	leases []*lease
	// lastSeen is when the holder last sent a token request. unfilled is the number
	// of its waiting requests that got no token then.
	lastSeen time.Time
	unfilled int
	// spending counts the tokens that the holder spent.
	spending average
	// standing is the holder's standing rate in tokens per second as it was last told,
	// reportedStanding as the holder last reported it. renewed is true once it has.
	standing, reportedStanding float64
	renewed                    bool
}

// lease is one grant of tokens. They may be spent until it expires.
type lease struct {
	tokens  int
	expires time.Time
}

// newBucket returns a bucket that was empty at emptyAt.
func newBucket(emptyAt time.Time, team version.Team) *bucket {
	b := &bucket{refilledAt: emptyAt, evictedAt: emptyAt, holders: make(map[string]*holderState), standing: standingHolders{since: emptyAt}}
	b.rate, b.burst = limitsOf(team)
	return b
}

// limitsOf returns the rate of team, in units of 1/rateScale request per second, and
// its burst. Both are rounded down, the burst to whole tokens.
func limitsOf(team version.Team) (rate int64, burst amount) {
	return int64(math.Floor(team.Rate * rateScale)), amount(math.Floor(team.Burst)) * oneToken
}

// advance refills the bucket up to now and applies the team's current limits.
// If the rate has changed, the lower of the two rates applies to the time since
// the last call.
func (b *bucket) advance(now time.Time, team version.Team) {
	rate, burst := limitsOf(team)
	refillRate := max(min(rate, b.rate)-int64(math.Ceil(b.silentRate(now)*rateScale)), 0)
	b.expireLeases(now, refillRate)
	b.refill(now, refillRate)
	b.rate = rate
	b.burst = burst
	b.clamp()
	b.evictHolders(now)
}

// clamp restores the invariant after the burst has been lowered.
func (b *bucket) clamp() {
	b.level = max(0, min(b.level, b.burst-b.outstanding))
}

// expireLeases counts the tokens of expired leases as spent at the time of
// expiry, because their holder has not reported otherwise. Until then they
// occupy room in the bucket that a refill cannot use.
func (b *bucket) expireLeases(now time.Time, rate int64) {
	for len(b.leases) > 0 && !now.Before(b.leases[0].expires) {
		l := b.leases[0]
		b.refill(l.expires, rate)
		b.outstanding -= amount(l.tokens) * oneToken
		l.tokens = 0
		b.leases = b.leases[1:]
	}
}

// evictHolders removes holders that have sent no token request for
// holderRetention. Their leases have expired, as holderRetention exceeds the TTL.
func (b *bucket) evictHolders(now time.Time) {
	if now.Sub(b.evictedAt) < holderRetention {
		return
	}
	b.evictedAt = now
	for name, h := range b.holders {
		if now.Sub(h.lastSeen) >= holderRetention {
			delete(b.holders, name)
		}
	}
}

// refill adds the tokens for the time from refilledAt to now, as far as there is
// room.
func (b *bucket) refill(now time.Time, rate int64) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	room := b.burst - b.outstanding - b.level
	if room <= 0 || rate <= 0 {
		return
	}
	if int64(elapsed) > int64(room)/rate {
		b.level += room
		return
	}
	b.level += amount(int64(elapsed) * rate)
}

// reconcile applies what a token request reports about earlier grants. Tokens
// that the holder has neither kept nor spent have been given up and return to
// the level. It returns false if the request is not newer than the holder's
// last one.
func (b *bucket) reconcile(now time.Time, holder string, request protocol.QuotaRequest) bool {
	h, known := b.holders[holder]
	if !known {
		h = &holderState{spent: request.Spent}
		b.holders[holder] = h
		b.forgetEarlierSessions(holder)
	}
	if known && request.Sequence <= h.sequence {
		return false
	}
	b.standing.report(now, h, request)
	if request.Spent > h.spent {
		b.countSpent(now, h, int(min(request.Spent-h.spent, maxRequested)))
	}
	removed := h.keepNewest(max(request.Remaining, 0))
	b.outstanding -= amount(removed) * oneToken
	b.level += amount(removed-h.spentAmong(removed, request.Spent)) * oneToken
	b.clamp()
	h.sequence = request.Sequence
	h.spent = request.Spent
	h.lastSeen = now
	return true
}

// countSpent counts tokens that a holder spent.
func (b *bucket) countSpent(now time.Time, h *holderState, n int) {
	h.spending.add(now, n)
	b.standing.spending.add(now, n)
}

// spentAmong returns how many of the removed tokens count as spent. total is the
// number of tokens that the holder reports as spent since its start. If it is
// below the last report, or exceeds it by more than removed, all of them count as
// spent.
func (h *holderState) spentAmong(removed int, total uint64) int {
	if total < h.spent || total-h.spent > uint64(removed) {
		return removed
	}
	return int(total - h.spent)
}

// keepNewest keeps at most remaining tokens, those of the newest leases, and returns
// the number of tokens that it removed.
func (h *holderState) keepNewest(remaining int) (removed int) {
	kept := make([]*lease, 0, len(h.leases)+1)
	for _, l := range slices.Backward(h.leases) {
		n := min(l.tokens, remaining)
		remaining -= n
		removed += l.tokens - n
		l.tokens = n
		if n > 0 {
			kept = append(kept, l)
		}
	}
	slices.Reverse(kept)
	h.leases = kept
	return removed
}

// grant leases tokens and adds them to g. Waiting requests get tokens as long as
// there are any; tokens for future requests come only from the level above the
// reserve.
func (b *bucket) grant(holder string, request protocol.QuotaRequest, ttl time.Duration, g *protocol.QuotaGrant) {
	free := int(b.level / oneToken)
	waiting := min(request.Waiting, request.Want)
	n := min(waiting, free)
	spare := free - n - int(b.burst/oneToken)/reserveDivisor
	g.AtLimit = n < waiting
	b.holders[holder].unfilled = waiting - n
	if g.AtLimit {
		b.limitedAt = b.refilledAt
		g.Wait = b.waitFor(b.unfilled())
	}
	g.Immediate = min(n, request.Immediate)
	g.Tokens = n - g.Immediate + max(0, min(request.Want-waiting, spare))
	g.NothingToSpare = g.Immediate+g.Tokens == 0 && !g.AtLimit
	if g.Immediate > 0 {
		roundTrip := time.Duration(request.RoundTrip) * time.Millisecond
		g.ImmediateTTL = min(max(immediateTTL, 2*roundTrip), maxImmediateTTL, ttl)
		b.issue(g.Immediate, g.ImmediateTTL)
		b.countSpent(b.refilledAt, b.holders[holder], g.Immediate)
	}
	if g.Tokens > 0 {
		g.TTL = ttl
		h := b.holders[holder]
		h.leases = append(h.leases, b.issue(g.Tokens, ttl))
	}
	if request.Renewal {
		b.tellStanding(b.refilledAt, holder, g)
	}
}

// unfilled returns the number of requests that wait for a token at any holder. A
// holder whose requests still wait asks again within unfilledTTL.
func (b *bucket) unfilled() int {
	n := 0
	for _, h := range b.holders {
		if b.refilledAt.Sub(h.lastSeen) < unfilledTTL {
			n += h.unfilled
		}
	}
	return n
}

// waitFor returns the time in which the bucket is refilled by n tokens, at most
// maxWait.
func (b *bucket) waitFor(n int) time.Duration {
	if b.rate <= 0 {
		return maxWait
	}
	if float64(n)*rateScale >= float64(b.rate)*maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(n) * time.Second * rateScale / time.Duration(b.rate)
}

// issue leases n tokens for ttl. It counts from refilledAt, which a delayed caller's
// time may precede.
func (b *bucket) issue(n int, ttl time.Duration) *lease {
	expires := b.refilledAt.Add(ttl)
	b.level -= amount(n) * oneToken
	b.outstanding += amount(n) * oneToken
	l := &lease{tokens: n, expires: expires}
	at := len(b.leases)
	for at > 0 && expires.Before(b.leases[at-1].expires) {
		at--
	}
	b.leases = slices.Insert(b.leases, at, l)
	return l
}
