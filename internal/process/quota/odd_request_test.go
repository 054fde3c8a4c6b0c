package quota

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/version"
)

// oddRequests returns token requests that no sound holder sends.
func oddRequests() map[string]protocol.QuotaRequest {
	return map[string]protocol.QuotaRequest{
		"negative waiting":   {Want: math.MaxInt64, Waiting: -1_000_000_000},
		"negative want":      {Want: math.MinInt64, Waiting: 5},
		"negative immediate": {Want: 10, Waiting: 10, Immediate: math.MinInt64},
		"all wanted":         {Want: math.MaxInt64, Waiting: math.MaxInt64, Immediate: math.MaxInt64},
		"round trip":         {Want: 10, Waiting: 10, Immediate: 10, RoundTrip: math.MaxInt64},
		"negative remaining": {Want: 10, Remaining: math.MinInt64},
		"spent":              {Want: 10, Spent: math.MaxUint64, Renewal: true},
		"standing":           {Want: 10, Renewal: true, Standing: math.MaxFloat64, StandingTotal: math.MaxFloat64},
		"negative standing":  {Want: 10, Renewal: true, Standing: -math.MaxFloat64, StandingTotal: -math.MaxFloat64},
	}
}

func (s *Issuer) bucketOf(team string) *bucket {
	for i := range s.shards {
		if b, ok := s.shards[i].buckets[team]; ok {
			return b
		}
	}
	return nil
}

// TestOddTokenRequestsKeepTheLimit guards against a holder that gets more tokens than there
// are, or keeps the others from theirs, with numbers out of range.
func TestOddTokenRequestsKeepTheLimit(t *testing.T) {
	team := version.Team{Name: "team", Rate: 100, Burst: 50}
	for name, odd := range oddRequests() {
		t.Run(name, func(t *testing.T) {
			issuer := NewIssuer()
			issuer.Reset(epoch)
			start := epoch.Add(TokenTTL)
			for i := range 100 {
				odd.Team, odd.Sequence = "team", uint64(i+1)
				if i == 0 && odd.Spent > 0 {
					first := odd
					first.Spent = 0
					issuer.Grant(start, "odd/1", first, team)
					odd.Sequence++
				}
				now := start.Add(time.Duration(i) * 10 * time.Millisecond)
				g := issuer.Grant(now, "odd/1", odd, team)
				must.GreaterEq(t, 0, g.Tokens)
				must.GreaterEq(t, 0, g.Immediate)
				must.GreaterEq(t, 0, g.Wait)
				must.LessEq(t, maxWait, g.Wait)
				must.GreaterEq(t, 0, g.Standing)
				must.LessEq(t, team.Rate*(1+unreservedShare), g.Standing)
				b := issuer.bucketOf("team")
				must.GreaterEq(t, 0, b.level)
				must.GreaterEq(t, 0, b.outstanding)
				must.LessEq(t, 50*oneToken, b.level+b.outstanding)
			}
			got := 0
			begin := start.Add(standingRetention + holderRetention)
			for i := range 100 {
				request := protocol.QuotaRequest{Team: "team", Sequence: uint64(i + 1), Want: 2, Waiting: 2, Immediate: 2, Spent: uint64(got)}
				g := issuer.Grant(begin.Add(time.Duration(i)*10*time.Millisecond), "good/1", request, team)
				got += g.Tokens + g.Immediate
			}
			must.Between(t, 100, got, 150)
		})
	}
}
