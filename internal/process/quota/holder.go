package quota

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// askInterval and askTeamInterval are the time that one ask beside the
	// renewals takes up, and each team in it, so that the asks of a daemon
	// stay within the bytes that it may send.
	askInterval     = 170 * time.Millisecond
	askTeamInterval = 60 * time.Millisecond
	// askAhead is how much of that time asks may use in advance, so that a few
	// can follow each other at once, and askKept the part of it that is kept
	// for requests that wait.
	askAhead = 1 * time.Second
	askKept  = 400 * time.Millisecond
	// maxWait is how long a request waits for tokens before it is refused.
	maxWait = 500 * time.Millisecond
	// recheck is how often a waiting request looks whether an ask is due.
	recheck      = 50 * time.Millisecond
	holderShards = 16
)

// AskFunc sends asks to a control replica. sentAt is read before they are sent.
type AskFunc func(ctx context.Context, asks []protocol.QuotaAsk) (grants []protocol.QuotaGrant, sentAt time.Time, err error)

// Holder holds the tokens of a daemon. It implements hop.Quota. Asks of
// different teams travel together, and at most one ask of a team is in flight.
// Its methods may be called from any goroutine; Run must be running.
type Holder struct {
	now    func() time.Time
	ask    AskFunc
	urgent chan struct{}
	low    chan struct{}
	shards [holderShards]holderShard
	// outageBound is how long teams go on spending while no issuer answers.
	outageBound time.Duration
	// fair returns the part of a team's rate that falls to each daemon.
	fair func(team string) float64
}

type holderShard struct {
	mu     sync.RWMutex
	purses map[string]*purse
}

// NewHolder returns a holder without tokens. now must be monotonic, such as
// time.Now.
func NewHolder(now func() time.Time, ask AskFunc) *Holder {
	h := &Holder{now: now, ask: ask, urgent: make(chan struct{}, 1), low: make(chan struct{}, 1)}
	for i := range h.shards {
		h.shards[i].purses = make(map[string]*purse)
	}
	return h
}

// OutlastOutages lets teams go on spending, for at most bound, while no issuer
// answers: at a part of the rate of the time before or of fair, the part of the
// team's rate that falls to each daemon, whichever is more. Without it they are
// refused then. It is called before the holder is used.
func (h *Holder) OutlastOutages(bound time.Duration, fair func(team string) float64) {
	h.outageBound = bound
	h.fair = fair
}

// Take spends one token of the team. Where none is held it asks the issuer and
// waits for the answer, no longer than ctx allows. Errors: QuotaExceeded where
// the issuer said that the team is at its limit, QuotaUnavailable where no
// issuer answered.
func (h *Holder) Take(ctx context.Context, team string) error {
	p := h.purse(team)
	p.mu.Lock()
	now := h.now()
	p.count(now)
	ok := p.spend(now) || p.outage.take(now, h.outageBound)
	low := p.low(now) && !p.paused(now)
	p.mu.Unlock()
	if ok {
		if low {
			signal(h.low)
		}
		return nil
	}
	return h.wait(ctx, p)
}

// wait asks for a token until there is one, the issuer refuses, or the time is
// over.
func (h *Holder) wait(ctx context.Context, p *purse) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	began := h.now()
	p.addWaiting(1)
	defer p.addWaiting(-1)
	for ctx.Err() == nil {
		changed, done, err := h.attempt(p, began)
		if done {
			return err
		}
		signal(h.urgent)
		pause(ctx, changed)
	}
	return fault.New(fault.QuotaUnavailable, "no token of team %s could be had in time", p.team)
}

// attempt spends a token, or refuses where no tokens are to be expected and the
// request has waited long enough or too many wait.
func (h *Holder) attempt(p *purse, began time.Time) (changed <-chan struct{}, done bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := h.now()
	if h.outageBound > 0 && p.unanswered(now) {
		p.beginOutage(now)
	}
	if p.spend(now) || p.outage.take(now, h.outageBound) {
		return nil, true, nil
	}
	if now.Sub(began) >= patience || p.crowded() {
		if err := p.hopeless(now); err != nil {
			p.missed++
			return nil, true, err
		}
	}
	return p.changed, false, nil
}

func pause(ctx context.Context, changed <-chan struct{}) {
	t := time.NewTimer(recheck)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run sends asks between renewals until ctx ends. Asks for requests that wait
// go first: those for requests to come leave them some of the allowance.
func (h *Holder) Run(ctx context.Context) error {
	next := h.now().Add(-askAhead)
	for {
		urgent, ok := h.awaitDue(ctx, next)
		if !ok {
			return nil
		}
		now := h.now()
		if earliest := now.Add(-askAhead); next.Before(earliest) {
			next = earliest
		}
		if urgent && !sleep(ctx, next.Sub(now)) {
			return nil
		}
		if teams := h.askOnce(ctx); teams > 0 {
			next = next.Add(askCost(teams))
		}
	}
}

// awaitDue returns when an ask is due: at once where a request waits, else as
// soon as the allowance has more than its kept part. It returns false where ctx
// ended.
func (h *Holder) awaitDue(ctx context.Context, next time.Time) (urgent, ok bool) {
	select {
	case <-ctx.Done():
		return false, false
	case <-h.urgent:
		return true, true
	case <-h.low:
	}
	t := time.NewTimer(next.Add(askKept).Sub(h.now()))
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

// askCost returns the time that an ask for this number of teams takes up.
func askCost(teams int) time.Duration {
	return askInterval + time.Duration(teams)*askTeamInterval
}

// AskRate returns the most asks for this number of teams that a holder sends
// beside the renewals, a second.
func AskRate(teams int) float64 {
	return float64(time.Second) / float64(askCost(teams))
}

// sleep waits for d; it returns false where ctx ended first.
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

// askOnce asks for every team that is low, and returns how many those are.
func (h *Holder) askOnce(ctx context.Context) int {
	asks := h.collect(h.now(), func(p *purse, now time.Time) bool {
		return p.low(now) && !p.paused(now)
	})
	if len(asks) == 0 {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	grants, sentAt, err := h.ask(ctx, asks)
	if err == nil {
		h.Granted(sentAt, grants)
	}
	for _, a := range asks {
		p := h.purse(a.Team)
		p.mu.Lock()
		p.fail(h.now(), a.Sequence)
		p.mu.Unlock()
	}
	return len(asks)
}

// Wants returns the asks that the next renewal carries: what is missing, and
// what was spent or is given back. The caller passes a time read before the
// renewal is sent, and hands the answer to Granted.
func (h *Holder) Wants(now time.Time) []protocol.QuotaAsk {
	return h.collect(now, func(*purse, time.Time) bool { return true })
}

func (h *Holder) collect(now time.Time, due func(*purse, time.Time) bool) []protocol.QuotaAsk {
	var asks []protocol.QuotaAsk
	for _, p := range h.all() {
		p.mu.Lock()
		if due(p, now) {
			if ask, ok := p.begin(now); ok {
				asks = append(asks, ask)
			}
		}
		p.mu.Unlock()
	}
	return asks
}

// Granted takes the tokens of an answer. sentAt is when the asks were sent; a
// time later than that would let tokens live too long.
func (h *Holder) Granted(sentAt time.Time, grants []protocol.QuotaGrant) {
	for _, g := range grants {
		p := h.purse(g.Team)
		p.mu.Lock()
		p.settle(sentAt, g, h.now())
		p.mu.Unlock()
	}
}

func (h *Holder) purse(team string) *purse {
	s := &h.shards[xxhash.Sum64String(team)%holderShards]
	s.mu.RLock()
	p, ok := s.purses[team]
	s.mu.RUnlock()
	if ok {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok = s.purses[team]; !ok {
		p = newPurse(team)
		p.fair = h.fair
		s.purses[team] = p
	}
	return p
}

func (h *Holder) all() []*purse {
	var purses []*purse
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.RLock()
		for _, p := range s.purses {
			purses = append(purses, p)
		}
		s.mu.RUnlock()
	}
	return purses
}

func (p *purse) addWaiting(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting += n
}
