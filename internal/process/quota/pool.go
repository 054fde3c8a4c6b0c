package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// demandWindow and surgeWindow are the times over which the demand for tokens
	// is averaged. The higher of the two averages counts.
	demandWindow = time.Second
	surgeWindow  = 100 * time.Millisecond
	// horizon is the time for which a holder wants to hold tokens in advance.
	horizon = 400 * time.Millisecond
	// requestTimeout is how long a token request may be in flight before another
	// one replaces it.
	requestTimeout = 500 * time.Millisecond
	// maxReplyTime is the longest time that a healthy issuer takes to reply: a few
	// quorum round trips of its group.
	maxReplyTime = 150 * time.Millisecond
	// shortageBackoff is how long a holder requests tokens only for waiting and
	// rejected requests after the issuer has granted fewer than it wanted.
	shortageBackoff = time.Second
	// atLimitBackoff is the time without token requests after the issuer has
	// reported that the team is at its limit.
	atLimitBackoff = 50 * time.Millisecond
	// noTokenWait is how long a request waits when no tokens are expected, and
	// maxNoTokenWaiters how many requests of a team may do so on one daemon.
	// Tokens given back by other holders may still serve a few.
	noTokenWait       = 150 * time.Millisecond
	maxNoTokenWaiters = 4
	// refillWait is how long a request of a team at its limit waits if the refill
	// covers all waiting requests within that time. Otherwise it is rejected at once,
	// as is each later one until hopelessTTL after the report.
	refillWait  = 450 * time.Millisecond
	hopelessTTL = 200 * time.Millisecond
	// atLimitReportTTL is how long the issuer's report that a team is at its limit
	// applies to new requests. It lasts until the reply to the next token request,
	// which takes a few request intervals.
	atLimitReportTTL = time.Second
)

// pool holds the tokens of one team on one daemon. All methods except join and
// leave must be called with mu locked.
type pool struct {
	team string

	mu sync.Mutex
	// batches holds the tokens, immediate ones first, then oldest first.
	batches []batch
	// spent is the number of issued tokens spent since the daemon's start, reported
	// the number of them that token requests have reported.
	spent    uint64
	reported uint64
	// sequence is the number of the last token request.
	sequence uint64
	// requestedAt is when the last token request was made; zero once its grant has
	// arrived or it has failed.
	requestedAt time.Time
	// limitReportedAt is when the issuer last reported that the team is at its limit.
	// Any later grant that does not report it resets it to zero.
	limitReportedAt time.Time
	// expectedWait is the wait that the last report stated.
	expectedWait time.Duration
	// lastLimitReportAt is the same time, but later grants do not reset it.
	lastLimitReportAt time.Time
	// wanted is the number of tokens in the last token request. shortAt is when
	// the last grant came if it had fewer tokens, zero otherwise.
	wanted  int
	shortAt time.Time
	// line holds the requests that wait for a token, in order of arrival. waiting is
	// their number.
	line    []*waiter
	waiting int
	// rejected is the number of requests that tryTake has rejected since the last
	// grant.
	rejected int
	// manyRejected is true if maxNoTokenWaiters or more requests were rejected
	// between the last two grants.
	manyRejected bool
	// changed is closed and replaced when a grant has arrived or a token request
	// has failed.
	changed chan struct{}

	// demand and surge are averages of the calls of Holder.Take per second,
	// updated at averagedAt.
	demand     float64
	surge      float64
	averagedAt time.Time

	// outage limits spending while no issuer replies, standing says how far.
	outage   outage
	standing standing
	// fairRate returns this daemon's equal share of the team's rate; nil if
	// EnableOutageFallback was not called.
	fairRate func(team string) float64
}

// waiter is one request that waits for a token.
type waiter struct{ began time.Time }

// batch is a number of tokens that expire together.
type batch struct {
	tokens  int
	expires time.Time
	// immediate tokens count as spent for the issuer, so they are not reported.
	immediate bool
}

func newPool(team string) *pool {
	return &pool{team: team, changed: make(chan struct{})}
}

// recordDemand adds one call of Holder.Take to the averages.
func (p *pool) recordDemand(now time.Time) {
	p.decay(now)
	p.demand += 1 / demandWindow.Seconds()
	p.surge += 1 / surgeWindow.Seconds()
}

// decay lets the averages decay from averagedAt to now.
func (p *pool) decay(now time.Time) {
	elapsed := now.Sub(p.averagedAt)
	if elapsed <= 0 {
		return
	}
	p.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	p.surge *= math.Exp(-elapsed.Seconds() / surgeWindow.Seconds())
	p.averagedAt = now
}

// spend spends one token that has not expired.
func (p *pool) spend(now time.Time) bool {
	p.dropExpired(now)
	if len(p.batches) == 0 {
		return false
	}
	if !p.batches[0].immediate {
		p.spent++
	}
	p.batches[0].tokens--
	if p.batches[0].tokens == 0 {
		p.batches = p.batches[1:]
	}
	p.outage.recordSpent(now)
	return true
}

// join adds a request to the end of the line.
func (p *pool) join(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.line = append(p.line, w)
	p.waiting++
}

// leave removes a request from the line.
func (p *pool) leave(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.line, w)
	p.line = slices.Delete(p.line, at, at+1)
	p.waiting--
}

// spendInTurn spends one token for a request that this number of others were before.
// It leaves a token for each of them.
func (p *pool) spendInTurn(now time.Time, ahead int) bool {
	p.dropExpired(now)
	return p.remaining() > ahead && p.spend(now)
}

// dropExpired removes expired tokens.
func (p *pool) dropExpired(now time.Time) {
	kept := p.batches[:0]
	for _, b := range p.batches {
		if now.Before(b.expires) {
			kept = append(kept, b)
		}
	}
	p.batches = kept
}

// remaining returns the number of tokens in the pool.
func (p *pool) remaining() int {
	n := 0
	for _, b := range p.batches {
		n += b.tokens
	}
	return n
}

// returnable returns the number of tokens that can be given back.
func (p *pool) returnable() int {
	n := 0
	for _, b := range p.batches {
		if !b.immediate {
			n += b.tokens
		}
	}
	return n
}

// desired returns the number of tokens to hold: one for each waiting request, and
// those for the demand during horizon, rounded down. A single call of Holder.Take does
// not count as a surge. A daemon that sees a team less than once in horizon holds
// none for it: with hundreds of daemons, such tokens would add up to the team's
// whole burst.
func (p *pool) desired(now time.Time) int {
	p.decay(now)
	rate := max(p.demand, p.surge-2/surgeWindow.Seconds())
	return p.waiting + int(rate*horizon.Seconds())
}

// low reports whether tokens should be requested before the next renewal. If the
// desired number is at most four, or the issuer has granted too few within
// shortageBackoff, only waiting and rejected requests count. Otherwise the pool
// is low when it holds less than half of the desired number.
func (p *pool) low(now time.Time) bool {
	p.dropExpired(now)
	desired := p.desired(now)
	if desired <= 4 || !p.shortAt.IsZero() && now.Sub(p.shortAt) < shortageBackoff {
		return p.remaining() < p.needed()
	}
	return p.remaining() < (desired+1)/2
}

// backingOff reports whether the issuer reported less than atLimitBackoff ago
// that the team is at its limit.
func (p *pool) backingOff(now time.Time) bool {
	return !p.limitReportedAt.IsZero() && now.Sub(p.limitReportedAt) < atLimitBackoff
}

// needed returns the number of requests that wait for a token, or were rejected
// since the last grant: about as many new or retried requests are expected.
func (p *pool) needed() int { return p.waiting + p.rejected }

// tooManyWaiting reports whether a request should not join those that wait. When
// many requests are being rejected, one waiting request is enough to use the
// tokens that become available.
func (p *pool) tooManyWaiting() bool {
	if p.manyRejected || p.rejected >= maxNoTokenWaiters {
		return p.waiting > 1
	}
	return p.waiting > maxNoTokenWaiters
}

// patience returns how long a request waits for a token while none is expected.
func (p *pool) patience(now time.Time) time.Duration {
	age := now.Sub(p.limitReportedAt)
	switch {
	case p.limitReportedAt.IsZero() || age >= atLimitReportTTL || p.expectedWait == 0:
		return noTokenWait
	case p.expectedWait <= refillWait:
		return refillWait
	case age < hopelessTTL:
		return 0
	}
	return noTokenWait
}

// noTokenReason returns the error that tells why no tokens are expected, or nil
// if they are. Errors: QuotaExceeded, QuotaUnavailable.
func (p *pool) noTokenReason(now time.Time) error {
	if !p.limitReportedAt.IsZero() && now.Sub(p.limitReportedAt) < atLimitReportTTL {
		return fault.New(fault.QuotaExceeded, "team %s is at its limit, as reported by the issuer %s ago", p.team, now.Sub(p.limitReportedAt).Round(time.Millisecond))
	}
	if !p.outage.startedAt.IsZero() {
		return fault.New(fault.QuotaUnavailable, "no quota issuer has replied for %s, and team %s has spent what it may spend during an outage", now.Sub(p.outage.startedAt).Round(time.Millisecond), p.team)
	}
	return nil
}

// inFlight reports whether a token request awaits its reply.
func (p *pool) inFlight(now time.Time) bool {
	return !p.requestedAt.IsZero() && now.Sub(p.requestedAt) < requestTimeout
}

// beginOutage starts an outage, because no issuer replied. Without
// Holder.EnableOutageFallback it does nothing.
func (p *pool) beginOutage(now time.Time) {
	switch {
	case p.fairRate == nil:
	case p.standing.valid(now):
		p.outage.beginStanding(now, p.standing.rate, p.fairRate(p.team), p.recentlyAtLimit(now))
	default:
		p.outage.begin(now, p.fairRate(p.team), p.recentlyAtLimit(now))
	}
}

// recentlyAtLimit reports whether the issuer reported within
// recentlyAtLimitWindow that the team was at its limit.
func (p *pool) recentlyAtLimit(now time.Time) bool {
	return !p.lastLimitReportAt.IsZero() && now.Sub(p.lastLimitReportAt) < recentlyAtLimitWindow
}

// replyOverdue reports whether the issuer is taking longer than maxReplyTime to
// reply.
func (p *pool) replyOverdue(now time.Time) bool {
	return !p.requestedAt.IsZero() && now.Sub(p.requestedAt) > maxReplyTime
}

// nextRequest returns the next token request, or false if one is in flight or there
// is nothing to request or report. A renewal also keeps the standing rate. It gives
// back the tokens that exceed the desired number by more than a quarter and one, or all
// if none are desired.
func (p *pool) nextRequest(now time.Time, renewal bool) (protocol.QuotaRequest, bool) {
	if p.inFlight(now) {
		return protocol.QuotaRequest{}, false
	}
	p.dropExpired(now)
	desired := p.desired(now)
	surplus := p.trim(desired + (desired+3)/4)
	want := max(desired-p.remaining(), 0)
	if want == 0 && !surplus && p.spent == p.reported && !(renewal && p.standing.rate > 0) {
		return protocol.QuotaRequest{}, false
	}
	p.sequence++
	p.requestedAt = now
	p.reported = p.spent
	p.wanted = want
	request := protocol.QuotaRequest{
		Team:      p.team,
		Want:      want,
		Waiting:   min(p.needed(), max(desired, p.waiting)),
		Sequence:  p.sequence,
		Spent:     p.spent,
		Remaining: p.returnable(),
		Immediate: p.waiting,
		Renewal:   renewal,
	}
	if renewal && now.Sub(p.standing.toldAt) < standingRetention {
		request.Standing, request.StandingTotal = p.standing.rate, p.standing.total
	}
	return request, true
}

// trim drops the oldest returnable tokens above limit and reports whether there
// were any.
func (p *pool) trim(limit int) bool {
	surplus := p.returnable() - limit
	if surplus <= 0 {
		return false
	}
	kept := p.batches[:0]
	for _, b := range p.batches {
		if !b.immediate {
			n := min(surplus, b.tokens)
			b.tokens -= n
			surplus -= n
		}
		if b.tokens > 0 {
			kept = append(kept, b)
		}
	}
	p.batches = kept
	return true
}

// applyGrant applies the grant for the token request in flight. Grants for other
// requests are ignored, because their tokens were given up when the next request
// was made. The TTL of the tokens counts from the token request, or from sentAt
// if that is earlier. A grant that no issuer handled starts an outage if tokens were
// wanted.
func (p *pool) applyGrant(sentAt time.Time, grant protocol.QuotaGrant, now time.Time) {
	if p.requestedAt.IsZero() || grant.Sequence != p.sequence {
		return
	}
	from := p.requestedAt
	if sentAt.Before(from) {
		from = sentAt
	}
	p.requestedAt = time.Time{}
	if grant.Tokens > 0 {
		p.batches = append(p.batches, batch{tokens: grant.Tokens, expires: from.Add(grant.TTL)})
	}
	if grant.Immediate > 0 {
		p.batches = slices.Insert(p.batches, 0, batch{tokens: grant.Immediate, expires: from.Add(grant.ImmediateTTL), immediate: true})
	}
	if grant.StandingTotal > 0 {
		p.standing = standing{rate: grant.Standing, total: grant.StandingTotal, toldAt: from}
	}
	p.manyRejected = p.rejected >= maxNoTokenWaiters
	p.rejected = 0
	p.shortAt = time.Time{}
	if grant.Tokens+grant.Immediate < p.wanted {
		p.shortAt = now
	}
	p.limitReportedAt = time.Time{}
	if grant.AtLimit {
		p.limitReportedAt = now
		p.lastLimitReportAt = now
		p.expectedWait = grant.Wait
	}
	if grant.NothingToSpare || grant.Immediate > 0 || grant.Tokens > 0 || grant.AtLimit {
		p.outage.end()
	} else if p.wanted > 0 {
		p.beginOutage(now)
	}
	p.notifyWaiters()
}

// failRequest ends the token request with this sequence number without a grant. It
// starts an outage if tokens were wanted.
func (p *pool) failRequest(now time.Time, sequence uint64) {
	if sequence == p.sequence && !p.requestedAt.IsZero() {
		p.requestedAt = time.Time{}
		if p.wanted > 0 {
			p.beginOutage(now)
		}
		p.notifyWaiters()
	}
}

func (p *pool) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}
