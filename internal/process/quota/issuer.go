// Package quota limits each team to its rate and burst, summed over all
// instances. The Issuer on the leader grants tokens with a limited time to
// live; the Holder on each daemon spends them.
//
// A holder counts the TTL of tokens from the time at which it sent the token
// request, the issuer from the time of the grant, which is later. So the clocks
// need not agree; they only have to run at the rate of real time.
//
// To keep to the limits across a change of leader, the caller must do two
// things. First, it grants a token request only after a quorum has confirmed
// that this replica leads in the term of its last Reset. The confirmation must
// begin after the request has arrived, and the time passed to Issuer.Grant must
// be read after it. Second, the time passed to Reset must be read after the
// election was won. Every request that a leader grants was then sent before the
// next leader was elected. The next leader waits until all tokens of those
// requests have expired.
package quota

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// TokenTTL is how long a token may be spent after it was granted.
	TokenTTL = 2 * time.Second
	// immediateTTL is how long a token for a request that already waits may be spent.
	// Such a token occupies room in the bucket only for this time, and not until the
	// holder reports it. It covers the way from the holder to the issuer and back; for
	// a holder whose requests take longer it is twice that, at most maxImmediateTTL.
	immediateTTL    = 80 * time.Millisecond
	maxImmediateTTL = 500 * time.Millisecond
	// holderRetention is how long a bucket keeps its record of a holder that
	// sends no token requests.
	holderRetention = time.Minute
	// issuerShards is the number of independently locked parts of an Issuer.
	issuerShards = 16
)

// Issuer grants the tokens of every team. Its methods may be called from any
// goroutine.
type Issuer struct {
	ttl    time.Duration
	shards [issuerShards]issuerShard
}

type issuerShard struct {
	mu sync.Mutex
	// leading is false while this replica does not lead.
	leading bool
	// readyAt is when all tokens of earlier issuers have expired.
	readyAt time.Time
	// buckets holds the buckets by team.
	buckets map[string]*bucket
}

// NewIssuer returns an issuer that grants nothing until Reset is called.
func NewIssuer() *Issuer { return NewIssuerWithTTL(TokenTTL) }

// NewIssuerWithTTL returns an issuer whose tokens expire after ttl. Every
// replica must use the same ttl, because a new issuer waits that long.
func NewIssuerWithTTL(ttl time.Duration) *Issuer { return &Issuer{ttl: ttl} }

// Reset starts a new term after this replica has won an election. The issuer
// grants nothing until the tokens of the previous leader have expired. It then
// starts with empty buckets, because that leader may have emptied them. now must
// be read after the election was won.
func (s *Issuer) Reset(now time.Time) {
	for i := range s.shards {
		s.shards[i].reset(now.Add(s.ttl))
	}
}

// Stop stops granting tokens when this replica no longer leads.
func (s *Issuer) Stop() {
	for i := range s.shards {
		s.shards[i].stop()
	}
}

// Ready reports whether the issuer grants tokens at now.
func (s *Issuer) Ready(now time.Time) bool {
	return s.shards[0].ready(now)
}

// Grant returns the grant for one token request. holder identifies a daemon from
// its start to its end; after a restart it is another holder. team contains the
// limits in effect. If the issuer is not ready, the grant has no tokens and
// AtLimit and NothingToSpare are false. The same applies to a request that is repeated, or
// that arrives after a newer one.
func (s *Issuer) Grant(now time.Time, holder string, request protocol.QuotaRequest, team version.Team) protocol.QuotaGrant {
	sh := &s.shards[xxhash.Sum64String(request.Team)%issuerShards]
	grant := protocol.QuotaGrant{Team: request.Team, Sequence: request.Sequence}
	sh.grant(now, s.ttl, holder, bounded(request), team, &grant)
	return grant
}

func (sh *issuerShard) reset(readyAt time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.leading = true
	sh.readyAt = readyAt
	sh.buckets = make(map[string]*bucket)
}

func (sh *issuerShard) stop() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.leading = false
	sh.buckets = nil
}

func (sh *issuerShard) ready(now time.Time) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.leading && !now.Before(sh.readyAt)
}

// grant adds the tokens to grant.
func (sh *issuerShard) grant(now time.Time, ttl time.Duration, holder string, request protocol.QuotaRequest, team version.Team, grant *protocol.QuotaGrant) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !sh.leading || now.Before(sh.readyAt) {
		return
	}
	b, ok := sh.buckets[request.Team]
	if !ok {
		b = newBucket(sh.readyAt, team)
		sh.buckets[request.Team] = b
	}
	b.advance(now, team)
	if !b.reconcile(now, holder, request) {
		return
	}
	b.grant(holder, request, ttl, grant)
}
