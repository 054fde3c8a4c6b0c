// Package quota limits each team to its rate and burst over all instances
// together. The leader's Issuer hands out tokens with a life; the Holder of
// each daemon spends them.
//
// A holder counts the life of tokens from when it sent the ask, the issuer from
// when it granted them, which is later. So no clocks need agree, only move at
// the rate of real time.
//
// Safety over a change of leader needs two things of the caller. It grants an
// ask only where a quorum confirmed, after the ask had arrived, that this
// replica leads in the term of its last Reset; the time passed to Issuer.Grant
// is read after that. And it calls Reset with a time read after the election
// was won. Then the next leader is elected after every such ask was sent, and
// waits for as long as any of its tokens lives.
package quota

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// TokenLife is how long a token is good.
	TokenLife = 2 * time.Second
	// forgetAfter is how long a holder without tokens is remembered.
	forgetAfter  = time.Minute
	issuerShards = 16
)

// Issuer hands out the tokens of every team. Its methods may be called from
// any goroutine.
type Issuer struct {
	life   time.Duration
	shards [issuerShards]issuerShard
}

type issuerShard struct {
	mu sync.Mutex
	// active is false while this replica does not lead.
	active bool
	// since is when every token of an earlier issuer has expired.
	since   time.Time
	buckets map[string]*bucket
}

// NewIssuer returns an issuer that grants nothing until Reset is called.
func NewIssuer() *Issuer { return NewIssuerWithLife(TokenLife) }

// NewIssuerWithLife returns an issuer whose tokens are good for life. Every
// replica must use the same: a new issuer waits that long.
func NewIssuerWithLife(life time.Duration) *Issuer { return &Issuer{life: life} }

// Reset starts the issuer anew when this replica has won an election. It waits
// until the tokens of the earlier leader have expired, and starts with empty
// buckets, since that leader may have emptied them.
func (s *Issuer) Reset(now time.Time) {
	for i := range s.shards {
		s.shards[i].reset(now.Add(s.life))
	}
}

// Stop ends granting when this replica no longer leads.
func (s *Issuer) Stop() {
	for i := range s.shards {
		s.shards[i].stop()
	}
}

// Ready reports whether the issuer grants tokens at now.
func (s *Issuer) Ready(now time.Time) bool {
	return s.shards[0].ready(now)
}

// Grant answers one ask. holder names one start of one daemon; team holds the
// limits in force. A grant without tokens that is not Final says that no
// issuer is ready. An ask that is repeated, or that a newer one has overtaken,
// gets no tokens.
func (s *Issuer) Grant(now time.Time, holder string, ask protocol.QuotaAsk, team version.Team) protocol.QuotaGrant {
	sh := &s.shards[xxhash.Sum64String(ask.Team)%issuerShards]
	answer := protocol.QuotaGrant{Team: ask.Team, Sequence: ask.Sequence, Life: s.life}
	answer.Tokens, answer.Final = sh.grant(now, s.life, holder, ask, team)
	return answer
}

func (sh *issuerShard) reset(since time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.active = true
	sh.since = since
	sh.buckets = make(map[string]*bucket)
}

func (sh *issuerShard) stop() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.active = false
	sh.buckets = nil
}

func (sh *issuerShard) ready(now time.Time) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.active && !now.Before(sh.since)
}

func (sh *issuerShard) grant(now time.Time, life time.Duration, holder string, ask protocol.QuotaAsk, team version.Team) (tokens int, final bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !sh.active || now.Before(sh.since) {
		return 0, false
	}
	b, ok := sh.buckets[ask.Team]
	if !ok {
		b = newBucket(sh.since, team)
		sh.buckets[ask.Team] = b
	}
	b.advance(now, team)
	if !b.settle(now, holder, ask) {
		return 0, false
	}
	// A caller that was held up may pass a time before b.last; the tokens then
	// live from the later one.
	expires := b.last.Add(life)
	tokens, full := b.grant(holder, ask, expires)
	return tokens, !full
}
