package quota

import (
	"math"
	"strings"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// Standing rates let teams go on spending without an issuer for some seconds. The issuer
// divides the rate of a team among its holders in proportion to what they spend, and
// tells each its part with the reply to a renewal. A holder that loses the issuer spends
// at its standing rate for maxStandingOutage.
//
// The issuer counts the standing rate of a holder that has fallen silent as spent, so
// that both together stay within the team's rate. It does not know the holders of an
// earlier issuer that are silent from the start; the reports of the others tell how much
// of the rate these hold.

const (
	// standingTTL is how long a standing rate applies if it is not renewed. An outage
	// that begins in this time may last for maxStandingOutage.
	standingTTL       = 2 * time.Second
	maxStandingOutage = 4 * time.Second
	// standingRetention is how long a silent holder may be spending.
	standingRetention = standingTTL + maxStandingOutage
	// silentAfter is the time without a token request after which a holder with a
	// standing rate counts as silent. It covers two lost renewals.
	silentAfter = 1200 * time.Millisecond
	// minStanding is the least standing rate of a holder, in tokens per second. A
	// holder that spends less seldom needs a token during an outage.
	minStanding = 0.1
	// unreservedUsage is the part of what a silent holder spent before that is not counted
	// for a team below its limit, since most silent holders have ended and are not cut off.
	unreservedUsage = 0.3
	// unreservedShare is the part of such a team's rate that silent holders may hold
	// without being counted. It is also the part by which all standing rates may exceed
	// the rate while they change.
	unreservedShare = 0.04
)

// standing is the standing rate of a holder.
type standing struct {
	rate, total float64
	// toldAt is when the request was sent whose reply contained it.
	toldAt time.Time
}

// valid reports whether an outage may begin with this rate.
func (s *standing) valid(now time.Time) bool {
	return !s.toldAt.IsZero() && now.Sub(s.toldAt) < standingTTL
}

// standingHolders holds what an issuer knows of the standing rates of one team.
type standingHolders struct {
	// since is when the issuer became ready. inherited is the highest total that a
	// holder reported from an earlier issuer, accounted the part of it that belongs to
	// holders that have sent a request.
	since      time.Time
	inherited  float64
	accounted  float64
	spending   average
	reservedAt time.Time
	reserved   float64
}

// report records the standing rate that a holder reports with a renewal. In its first
// one, the rate is that of an earlier issuer.
func (s *standingHolders) report(now time.Time, h *holderState, request protocol.QuotaRequest) {
	if !request.Renewal {
		return
	}
	h.reportedStanding = request.Standing
	if h.renewed {
		return
	}
	h.renewed = true
	if now.Sub(s.since) < standingRetention {
		s.accounted += request.Standing
		s.inherited = max(s.inherited, request.StandingTotal)
	}
}

// silentUsage returns what the holder spent per second when it was last seen.
func (h *holderState) silentUsage() float64 { return h.spending.perSecond }

// held returns the standing rate that the holder may be using: the reply with the last
// one may have been lost.
func (h *holderState) held() float64 { return max(h.standing, h.reportedStanding) }

// unknown returns the part of the rate that holders of an earlier issuer may be spending
// which have sent no request to this one.
func (s *standingHolders) unknown(now time.Time) float64 {
	if now.Sub(s.since) > standingRetention {
		return 0
	}
	return max(s.inherited-s.accounted, 0)
}

// silentRate returns the standing rates of silent holders, which count as spent, in
// tokens per second.
func (b *bucket) silentRate(now time.Time) float64 {
	s := &b.standing
	if now.Sub(s.reservedAt) < unfilledTTL {
		return s.reserved
	}
	unreservedUsage, unreserved := unreservedUsage, unreservedShare*float64(b.rate)/rateScale
	if now.Sub(b.limitedAt) < recentlyAtLimitWindow {
		unreservedUsage, unreserved = 0, 0
	}
	s.reservedAt = now
	s.reserved = s.unknown(now)
	for _, h := range b.holders {
		silence := now.Sub(h.lastSeen)
		if silence > silentAfter && silence < standingRetention {
			s.reserved += max(h.held()-unreservedUsage*h.silentUsage(), 0)
		}
	}
	s.reserved = max(s.reserved-unreserved, 0)
	return s.reserved
}

// tellStanding sets the standing rate of a holder in a grant. The rates that others were
// told before limit it, until they renew theirs.
func (b *bucket) tellStanding(now time.Time, holder string, g *protocol.QuotaGrant) {
	h := b.holders[holder]
	rate := float64(b.rate) / rateScale
	others := b.standing.unknown(now)
	for name, other := range b.holders {
		if name != holder && now.Sub(other.lastSeen) < standingRetention {
			others += other.held()
		}
	}
	h.standing = 0
	if total := b.standing.spending.value(now); total > 0 {
		h.standing = min(rate*h.spending.value(now)/total, max(rate*(1+unreservedShare)-others, 0))
	}
	// Rounding down keeps messages short, and drops a rate below minStanding.
	h.standing = math.Floor(h.standing/minStanding) * minStanding
	g.Standing = h.standing
	g.StandingTotal = max(math.Floor(min(others+h.standing, rate)), minStanding)
}

// forgetEarlierSessions drops the standing rates of earlier starts of a daemon, which can
// no longer spend. A holder is named by its instance and a session.
func (b *bucket) forgetEarlierSessions(holder string) {
	at := strings.LastIndexByte(holder, '/')
	if at < 0 {
		return
	}
	for name, h := range b.holders {
		if name != holder && strings.HasPrefix(name, holder[:at+1]) && strings.LastIndexByte(name, '/') == at {
			h.standing, h.reportedStanding = 0, 0
		}
	}
}
