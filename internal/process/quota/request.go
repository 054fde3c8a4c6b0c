package quota

import (
	"math"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

const (
	// maxRequested bounds the numbers of tokens and requests that a token request names,
	// and the tokens that are counted as spent since the one before. Limits of teams are
	// not higher.
	maxRequested = 1_000_000
	// maxStanding bounds the standing rates that a token request reports, in tokens per
	// second.
	maxStanding = 1_000_000
)

// bounded returns the request with every number within its bounds: what a holder says
// must not overflow what is calculated for others, nor get it more than there is.
func bounded(r protocol.QuotaRequest) protocol.QuotaRequest {
	for _, n := range []*int{&r.Want, &r.Waiting, &r.Immediate, &r.Remaining} {
		*n = min(max(*n, 0), maxRequested)
	}
	for _, rate := range []*float64{&r.Standing, &r.StandingTotal} {
		if math.IsNaN(*rate) {
			*rate = 0
		}
		*rate = min(max(*rate, 0), maxStanding)
	}
	r.RoundTrip = min(max(r.RoundTrip, 0), maxImmediateTTL.Milliseconds())
	return r
}
