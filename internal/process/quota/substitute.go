package quota

import (
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// substituteTTL is how long a token of a Substitute may be spent. It covers the time
// in which the replica found out that no issuer replies.
const substituteTTL = 500 * time.Millisecond

// substituteRoom is the number of tokens of a small team that a Substitute keeps for
// requests that come in close succession.
const substituteRoom = 3

// Substitute grants tokens on a replica while no issuer does, for the daemons that
// renew with the replica. It knows what they spent before, and grants a part of that.
// A daemon alone sees so few requests of a small team that its own part would come to
// less than one token for the whole outage. Its methods are safe for concurrent use.
type Substitute struct {
	maxOutage time.Duration

	mu    sync.Mutex
	teams map[string]*substituteTeam
}

// substituteTeam is what a Substitute knows of one team.
type substituteTeam struct {
	outage outage
	// limitReportedAt is when the issuer last reported that the team is at its limit.
	limitReportedAt time.Time
	// standing holds the standing rates of the holders, and when they reported them.
	standing map[string]standing
}

// NewSubstitute returns a Substitute for outages of at most maxOutage.
func NewSubstitute(maxOutage time.Duration) *Substitute {
	return &Substitute{maxOutage: maxOutage, teams: make(map[string]*substituteTeam)}
}

// Complete returns a grant for each request: that of grants if an issuer handled the
// request, and one of its own otherwise. All requests are those of holder. fairRate
// returns this replica's equal share of a team's rate.
func (s *Substitute) Complete(now time.Time, holder string, requests []protocol.QuotaRequest, grants []protocol.QuotaGrant, fairRate func(team string) float64) []protocol.QuotaGrant {
	s.mu.Lock()
	defer s.mu.Unlock()
	issued := make(map[string]protocol.QuotaGrant, len(grants))
	for _, g := range grants {
		issued[g.Team] = g
	}
	complete := make([]protocol.QuotaGrant, 0, len(requests))
	for _, r := range requests {
		r = bounded(r)
		g, ok := issued[r.Team]
		t := s.team(r.Team)
		if r.Renewal {
			t.standing[holder] = standing{rate: r.Standing, toldAt: now}
		}
		if ok && handled(g) {
			t.recordGrant(now, g)
		} else {
			g = t.substitute(now, r, fairRate(r.Team), s.maxOutage)
		}
		complete = append(complete, g)
	}
	return complete
}

// handled reports whether a ready issuer handled the request of a grant.
func handled(g protocol.QuotaGrant) bool {
	return g.Tokens > 0 || g.Immediate > 0 || g.AtLimit || g.NothingToSpare
}

func (s *Substitute) team(name string) *substituteTeam {
	t, ok := s.teams[name]
	if !ok {
		t = &substituteTeam{outage: outage{room: substituteRoom}, standing: make(map[string]standing)}
		s.teams[name] = t
	}
	return t
}

func (t *substituteTeam) recordGrant(now time.Time, g protocol.QuotaGrant) {
	t.outage.end()
	for range g.Tokens + g.Immediate {
		t.outage.recordSpent(now)
	}
	if g.AtLimit {
		t.limitReportedAt = now
	}
}

// substitute grants tokens for the requests that wait. It reports the team as at its
// limit if there are too few, so that the daemon does not begin an outage of its own.
func (t *substituteTeam) substitute(now time.Time, r protocol.QuotaRequest, fairRate float64, maxOutage time.Duration) protocol.QuotaGrant {
	if fairRate <= 0 { // the team was withdrawn
		return protocol.QuotaGrant{Team: r.Team, Sequence: r.Sequence, NothingToSpare: r.Immediate == 0, AtLimit: r.Immediate > 0}
	}
	atLimit := !t.limitReportedAt.IsZero() && now.Sub(t.limitReportedAt) < recentlyAtLimitWindow
	if t.outage.startedAt.IsZero() {
		if rate := t.standingRate(now); rate > 0 {
			t.outage.beginStanding(now, rate, fairRate, atLimit)
		} else {
			t.outage.begin(now, fairRate, atLimit)
		}
		t.outage.tokens = max(t.outage.tokens, min(fairRate, 1))
	}
	g := protocol.QuotaGrant{Team: r.Team, Sequence: r.Sequence, NothingToSpare: r.Immediate == 0}
	for g.Immediate < r.Immediate && t.outage.take(now, maxOutage) {
		g.Immediate++
	}
	g.AtLimit = g.Immediate < r.Immediate
	if g.Immediate > 0 {
		g.ImmediateTTL = substituteTTL
	}
	if g.AtLimit {
		g.Wait = t.outage.nextToken()
	}
	return g
}

// standingRate returns the sum of the holders' standing rates, which this replica may
// spend in their place.
func (t *substituteTeam) standingRate(now time.Time) float64 {
	sum := 0.0
	for holder, s := range t.standing {
		if !s.valid(now) {
			delete(t.standing, holder)
			continue
		}
		sum += s.rate
	}
	return sum
}
