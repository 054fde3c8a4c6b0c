package quota

import (
	"math"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// demandWindow and surgeWindow are the times over which the demand for
	// tokens is averaged; the higher average counts.
	demandWindow = time.Second
	surgeWindow  = 100 * time.Millisecond
	// horizon is the time for which a holder wants to hold tokens.
	horizon = 400 * time.Millisecond
	// askTimeout is how long an ask may take before another one replaces it.
	askTimeout = 500 * time.Millisecond
	// answerTimeout is how long an issuer that is well takes to answer at most:
	// a few confirmed rounds of its group.
	answerTimeout = 150 * time.Millisecond
	// leanPause is how long a holder asks only for waiting requests after the
	// issuer had no tokens to spare.
	leanPause = time.Second
	// finalPause is the time without an ask after the issuer said that the team
	// is at its limit.
	finalPause = 50 * time.Millisecond
	// patience is how long a request waits although no tokens are to be expected,
	// and patient how many requests of a team do so on one daemon: tokens that
	// others give back, or the refill, may still serve a few.
	patience = 150 * time.Millisecond
	patient  = 4
	// refusedFor is how long the word of the issuer that a team is at its limit
	// counts for requests that arrive: until the next ask was answered, which
	// takes a few ask intervals.
	refusedFor = time.Second
)

// purse holds the tokens of one team on one daemon.
type purse struct {
	team string

	mu       sync.Mutex
	batches  []batch
	spent    uint64
	reported uint64
	sequence uint64
	// asked is when the ask with sequence was made; zero where it is settled.
	asked time.Time
	// refused is when the issuer last said that the team is at its limit.
	refused time.Time
	// limit is the same, but stays when the issuer has tokens again.
	limit time.Time
	// wanted is what the last ask wanted, lean when an answer last gave less.
	wanted  int
	lean    time.Time
	waiting int
	// missed is how many requests were refused at once since the last answer.
	missed int
	// flooded says that many were refused before the last answer.
	flooded bool
	// changed is closed and replaced when an ask is settled.
	changed chan struct{}

	// demand and surge are averages of takes a second, brought up to date at
	// counted.
	demand  float64
	surge   float64
	counted time.Time

	// outage is what the team may still spend while no issuer answers.
	outage outage
	// fair returns the part of the team's rate that falls to each daemon; nil
	// where outages are not outlasted.
	fair func(team string) float64
}

// batch is a number of tokens that expire together.
type batch struct {
	tokens  int
	expires time.Time
}

func newPurse(team string) *purse {
	return &purse{team: team, changed: make(chan struct{})}
}

// count adds one take to the demand.
func (p *purse) count(now time.Time) {
	p.decay(now)
	p.demand += 1 / demandWindow.Seconds()
	p.surge += 1 / surgeWindow.Seconds()
}

func (p *purse) decay(now time.Time) {
	elapsed := now.Sub(p.counted)
	if elapsed <= 0 {
		return
	}
	p.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	p.surge *= math.Exp(-elapsed.Seconds() / surgeWindow.Seconds())
	p.counted = now
}

// spend takes one token that is good at now.
func (p *purse) spend(now time.Time) bool {
	p.drop(now)
	if len(p.batches) == 0 {
		return false
	}
	p.batches[0].tokens--
	if p.batches[0].tokens == 0 {
		p.batches = p.batches[1:]
	}
	p.spent++
	p.outage.spent(now)
	return true
}

// drop removes tokens whose life is over.
func (p *purse) drop(now time.Time) {
	kept := p.batches[:0]
	for _, b := range p.batches {
		if now.Before(b.expires) {
			kept = append(kept, b)
		}
	}
	p.batches = kept
}

func (p *purse) left() int {
	n := 0
	for _, b := range p.batches {
		n += b.tokens
	}
	return n
}

// target is the number of tokens that fit the demand. One take alone is no
// surge.
func (p *purse) target(now time.Time) int {
	p.decay(now)
	rate := max(p.demand, p.surge-1/surgeWindow.Seconds())
	return p.waiting + int(math.Ceil(rate*horizon.Seconds()-0.1))
}

// low reports whether tokens should be asked for before the next renewal: for
// requests that wait, and for those to come unless the issuer has just said
// that it has none to spare.
func (p *purse) low(now time.Time) bool {
	p.drop(now)
	target := p.target(now)
	if target <= 4 || !p.lean.IsZero() && now.Sub(p.lean) < leanPause {
		return p.left() < p.needed()
	}
	return p.left() < (target+1)/2
}

// paused reports whether the issuer said a moment ago that the team is at its
// limit.
func (p *purse) paused(now time.Time) bool {
	return !p.refused.IsZero() && now.Sub(p.refused) < finalPause
}

// needed is the number of tokens that requests wait for, or were refused for
// since the last answer: as many are about to come or to come back.
func (p *purse) needed() int { return p.waiting + p.missed }

// crowded reports whether a request should not wait beside those that do: where
// many are refused, one is enough to take what is left over.
func (p *purse) crowded() bool {
	if p.flooded || p.missed >= patient {
		return p.waiting > 1
	}
	return p.waiting > patient
}

// hopeless returns why no tokens are to be expected, or nil. Errors:
// QuotaExceeded, QuotaUnavailable.
func (p *purse) hopeless(now time.Time) error {
	if !p.refused.IsZero() && now.Sub(p.refused) < refusedFor {
		return fault.New(fault.QuotaExceeded, "team %s is at its limit, as the issuer said %s ago", p.team, now.Sub(p.refused).Round(time.Millisecond))
	}
	if !p.outage.since.IsZero() {
		return fault.New(fault.QuotaUnavailable, "no issuer has answered for %s, and team %s has used what it may without one", now.Sub(p.outage.since).Round(time.Millisecond), p.team)
	}
	return nil
}

// inFlight reports whether an ask waits for its answer.
func (p *purse) inFlight(now time.Time) bool {
	return !p.asked.IsZero() && now.Sub(p.asked) < askTimeout
}

// beginOutage notes that an issuer did not answer.
func (p *purse) beginOutage(now time.Time) {
	if p.fair != nil {
		p.outage.begin(now, p.fair(p.team), p.limited(now))
	}
}

// limited reports whether the team was at its limit a short time ago.
func (p *purse) limited(now time.Time) bool {
	return !p.limit.IsZero() && now.Sub(p.limit) < limitedFor
}

// unanswered reports whether an issuer takes longer to answer than one that is
// well would.
func (p *purse) unanswered(now time.Time) bool {
	return !p.asked.IsZero() && now.Sub(p.asked) > answerTimeout
}

// begin makes the next ask where there is something to ask for or to report.
// It gives back tokens that exceed the target by more than a quarter.
func (p *purse) begin(now time.Time) (protocol.QuotaAsk, bool) {
	if p.inFlight(now) {
		return protocol.QuotaAsk{}, false
	}
	p.drop(now)
	target := p.target(now)
	surplus := p.trim(target + target/4 + 1)
	want := max(target-p.left(), 0)
	if want == 0 && !surplus && p.spent == p.reported {
		return protocol.QuotaAsk{}, false
	}
	p.sequence++
	p.asked = now
	p.reported = p.spent
	p.wanted = want
	ask := protocol.QuotaAsk{
		Team:     p.team,
		Want:     want,
		Waiting:  min(p.needed(), max(target, p.waiting)),
		Sequence: p.sequence,
		Spent:    p.spent,
		Left:     p.left(),
	}
	return ask, true
}

// trim drops the oldest tokens above limit.
func (p *purse) trim(limit int) bool {
	surplus := p.left() - limit
	trimmed := surplus > 0
	for surplus > 0 {
		n := min(surplus, p.batches[0].tokens)
		p.batches[0].tokens -= n
		surplus -= n
		if p.batches[0].tokens == 0 {
			p.batches = p.batches[1:]
		}
	}
	return trimmed
}

// settle takes the answer to the ask in flight. Answers to other asks are
// ignored: their tokens were given up when the next ask was made. A grant that
// carries neither tokens nor the word of an issuer wakes nobody.
func (p *purse) settle(sentAt time.Time, grant protocol.QuotaGrant, now time.Time) {
	if p.asked.IsZero() || grant.Sequence != p.sequence {
		return
	}
	from := p.asked
	if sentAt.Before(from) {
		from = sentAt
	}
	p.asked = time.Time{}
	if grant.Tokens > 0 {
		p.batches = append(p.batches, batch{tokens: grant.Tokens, expires: from.Add(grant.Life)})
	}
	p.flooded = p.missed >= patient
	p.missed = 0
	p.lean = time.Time{}
	if grant.Tokens < p.wanted {
		p.lean = now
	}
	p.refused = time.Time{}
	if grant.Final {
		p.refused = now
		p.limit = now
	}
	if grant.Tokens > 0 || grant.Final {
		p.outage.end()
	} else if p.wanted > 0 {
		p.beginOutage(now)
	}
	p.wake()
}

// fail ends the ask with this sequence without an answer.
func (p *purse) fail(now time.Time, sequence uint64) {
	if sequence == p.sequence && !p.asked.IsZero() {
		p.asked = time.Time{}
		if p.wanted > 0 {
			p.beginOutage(now)
		}
		p.wake()
	}
}

func (p *purse) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}
