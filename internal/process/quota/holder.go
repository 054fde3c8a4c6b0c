package quota

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// requestBurst is the largest allowance that can accumulate while nothing is
	// sent, so that a few messages can follow each other at once. waitingReserve
	// is the part of it that is reserved for requests that wait for a token.
	requestBurst   = 1 * time.Second
	waitingReserve = 400 * time.Millisecond
	// maxWait is how long a request waits for a token before it is rejected.
	maxWait = 500 * time.Millisecond
	// recheckInterval is how often a waiting request checks for tokens and
	// signals that it needs one.
	recheckInterval = 50 * time.Millisecond
	// holderShards is the number of independently locked parts of a Holder.
	holderShards = 16
)

// Pacing limits the token requests sent between renewals, so that a daemon sends no
// more bytes than it may. The allowance for messages is a duration, and grows as time
// passes. A message costs Message, plus Team for each team in it.
type Pacing struct {
	Message time.Duration
	Team    time.Duration
}

// Pacing of messages over TLS, and of those over plain links, which have fewer bytes.
var (
	TLSPacing   = Pacing{Message: 170 * time.Millisecond, Team: 60 * time.Millisecond}
	PlainPacing = Pacing{Message: 60 * time.Millisecond, Team: 15 * time.Millisecond}
)

// cost returns the part of the allowance that a message with token requests for this
// number of teams costs.
func (p Pacing) cost(teams int) time.Duration { return p.Message + time.Duration(teams)*p.Team }

// MaxRate returns the highest rate, per second, at which a holder sends messages with
// token requests for this number of teams between renewals.
func (p Pacing) MaxRate(teams int) float64 { return float64(time.Second) / float64(p.cost(teams)) }

// RequestFunc sends token requests to a control replica and returns the grants
// of its reply. sentAt is read before the requests are sent.
type RequestFunc func(ctx context.Context, requests []protocol.QuotaRequest) (grants []protocol.QuotaGrant, sentAt time.Time, err error)

// Holder holds the tokens of a daemon. It implements hop.Quota. Token requests
// of different teams are sent in one message, and each team has at most one in
// flight. Its methods may be called from any goroutine. Tokens are requested
// between renewals only while Run is running.
type Holder struct {
	now     func() time.Time
	request RequestFunc
	pacing  Pacing
	// urgent signals that a request waits for a token, low that a pool is low.
	urgent chan struct{}
	low    chan struct{}
	shards [holderShards]holderShard
	// roundTrip is the time that token requests have taken: the last one, or half of
	// an earlier one that took longer.
	roundTrip atomic.Int64
	// maxOutage is how long teams may go on spending while no issuer replies.
	maxOutage time.Duration
	// fairRate returns this daemon's equal share of a team's rate.
	fairRate func(team string) float64
}

type holderShard struct {
	mu sync.RWMutex
	// pools holds the pools by team.
	pools map[string]*pool
}

// NewHolder returns a holder without tokens. now must be monotonic, such as
// time.Now.
func NewHolder(now func() time.Time, request RequestFunc) *Holder {
	h := &Holder{now: now, request: request, pacing: TLSPacing, urgent: make(chan struct{}, 1), low: make(chan struct{}, 1)}
	for i := range h.shards {
		h.shards[i].pools = make(map[string]*pool)
	}
	return h
}

// EnableOutageFallback lets teams go on spending while no issuer replies, for at
// most maxOutage. The allowed rate is a part of the team's spending rate before
// the outage or of fairRate, this daemon's equal share of the team's rate,
// whichever is higher. Without it, requests are rejected during an outage. It
// must be called before the holder is used.
func (h *Holder) EnableOutageFallback(maxOutage time.Duration, fairRate func(team string) float64) {
	h.maxOutage = maxOutage
	h.fairRate = fairRate
}

// SetPacing replaces TLSPacing. It must be called before the holder is used.
func (h *Holder) SetPacing(p Pacing) { h.pacing = p }

// Take spends one token of the team. If none is held, it requests tokens from
// the issuer and waits for at most maxWait or until ctx ends. Errors:
// QuotaExceeded if the issuer reported that the team is at its limit,
// QuotaUnavailable if no issuer replied or the wait ended without a token.
func (h *Holder) Take(ctx context.Context, team string) error {
	p := h.pool(team)
	p.mu.Lock()
	now := h.now()
	p.recordDemand(now)
	ok := p.spendInTurn(now, len(p.line)) || p.outage.take(now, h.maxOutage)
	low := p.low(now) && !p.backingOff(now)
	p.mu.Unlock()
	if ok {
		if low {
			signal(h.low)
		}
		return nil
	}
	return h.wait(ctx, p)
}

// wait requests tokens until it has spent one, the request is rejected, or the
// time is up.
func (h *Holder) wait(ctx context.Context, p *pool) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	w := &waiter{began: h.now()}
	p.join(w)
	defer p.leave(w)
	for ctx.Err() == nil {
		changed, done, err := h.tryTake(p, w)
		if done {
			return err
		}
		signal(h.urgent)
		waitForChange(ctx, changed)
	}
	return fault.New(fault.QuotaUnavailable, "no token available for team %s before the wait ended", p.team)
}

// tryTake spends a token if there is one. If no tokens are expected, it rejects
// the request once it has waited for as long as may help, or at once if too many requests
// wait. done is true if a token was spent, with a nil err, or if the request was
// rejected. Otherwise, changed is closed when the next token request has ended.
func (h *Holder) tryTake(p *pool, w *waiter) (changed <-chan struct{}, done bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := h.now()
	if h.maxOutage > 0 && p.replyOverdue(now) {
		p.beginOutage(now)
	}
	if p.spendInTurn(now, slices.Index(p.line, w)) || p.outage.take(now, h.maxOutage) {
		return nil, true, nil
	}
	if now.Sub(w.began) >= p.patience(now) || p.tooManyWaiting() {
		if err := p.noTokenReason(now); err != nil {
			p.rejected++
			return nil, true, err
		}
	}
	return p.changed, false, nil
}

// waitForChange waits until changed is closed, recheckInterval has passed or ctx
// ends.
func waitForChange(ctx context.Context, changed <-chan struct{}) {
	t := time.NewTimer(recheckInterval)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// signal sends on c, unless a signal is already pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run sends token requests between renewals until ctx ends. Waiting requests
// have priority: token requests for future demand leave waitingReserve of the
// allowance unused.
func (h *Holder) Run(ctx context.Context) error {
	next := h.now().Add(-requestBurst)
	for {
		urgent, ok := h.awaitRequestDue(ctx, next)
		if !ok {
			return nil
		}
		now := h.now()
		if earliest := now.Add(-requestBurst); next.Before(earliest) {
			next = earliest
		}
		if urgent && !sleep(ctx, next.Sub(now)) {
			return nil
		}
		if teams := h.requestTokens(ctx); teams > 0 {
			next = next.Add(h.pacing.cost(teams))
		}
	}
}

// awaitRequestDue waits until tokens should be requested: at once if a request
// waits for one, otherwise when the allowance exceeds waitingReserve. ok is
// false if ctx ended.
func (h *Holder) awaitRequestDue(ctx context.Context, next time.Time) (urgent, ok bool) {
	select {
	case <-ctx.Done():
		return false, false
	case <-h.urgent:
		return true, true
	case <-h.low:
	}
	t := time.NewTimer(next.Add(waitingReserve).Sub(h.now()))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false, false
	case <-h.urgent:
		return true, true
	case <-t.C:
		return false, true
	}
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// requestTokens sends one message with token requests for every team that is
// low on tokens, and returns the number of those teams. Token requests without a
// grant in the reply count as failed.
func (h *Holder) requestTokens(ctx context.Context) int {
	requests := h.collectRequests(h.now(), false, func(p *pool, now time.Time) bool {
		return p.low(now) && !p.backingOff(now)
	})
	if len(requests) == 0 {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	began := h.now()
	grants, sentAt, err := h.request(ctx, requests)
	if err == nil {
		h.roundTrip.Store(max(int64(h.now().Sub(began)), h.roundTrip.Load()/2))
		h.ApplyGrants(sentAt, grants)
	}
	for _, r := range requests {
		p := h.pool(r.Team)
		p.mu.Lock()
		p.failRequest(h.now(), r.Sequence)
		p.mu.Unlock()
	}
	return len(requests)
}

// TokenRequests returns the token requests for the next renewal: the tokens that
// are missing, and a report of the tokens that were spent or are given back. The
// caller passes a time read before the renewal is sent, and passes the reply to
// ApplyGrants.
func (h *Holder) TokenRequests(now time.Time) []protocol.QuotaRequest {
	return h.collectRequests(now, true, func(*pool, time.Time) bool { return true })
}

func (h *Holder) collectRequests(now time.Time, renewal bool, due func(*pool, time.Time) bool) []protocol.QuotaRequest {
	var requests []protocol.QuotaRequest
	for _, p := range h.allPools() {
		p.mu.Lock()
		if due(p, now) {
			if request, ok := p.nextRequest(now, renewal); ok {
				request.RoundTrip = h.reportedRoundTrip()
				requests = append(requests, request)
			}
		}
		p.mu.Unlock()
	}
	return requests
}

// reportedRoundTrip returns the value of QuotaRequest.RoundTrip.
func (h *Holder) reportedRoundTrip() int64 {
	roundTrip := time.Duration(h.roundTrip.Load())
	if 2*roundTrip < immediateTTL {
		return 0
	}
	return roundTrip.Milliseconds()
}

// ApplyGrants adds granted tokens. sentAt is when the token requests were sent;
// a later time would keep tokens valid for too long.
func (h *Holder) ApplyGrants(sentAt time.Time, grants []protocol.QuotaGrant) {
	for _, g := range grants {
		p := h.pool(g.Team)
		p.mu.Lock()
		p.applyGrant(sentAt, g, h.now())
		p.mu.Unlock()
	}
}

func (h *Holder) pool(team string) *pool {
	s := &h.shards[xxhash.Sum64String(team)%holderShards]
	s.mu.RLock()
	p, ok := s.pools[team]
	s.mu.RUnlock()
	if ok {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok = s.pools[team]; !ok {
		p = newPool(team)
		p.fairRate = h.fairRate
		s.pools[team] = p
	}
	return p
}

func (h *Holder) allPools() []*pool {
	var pools []*pool
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.RLock()
		for _, p := range s.pools {
			pools = append(pools, p)
		}
		s.mu.RUnlock()
	}
	return pools
}
