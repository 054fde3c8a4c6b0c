package quota

import (
	"math"
	"slices"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/version"
)

// amount counts tokens in parts of 1e-12, so that the sums of a bucket are
// exact: a rate in thousandths a second times nanoseconds has this unit.
type amount int64

const (
	oneToken amount = 1e12
	// reservePart is the part of the burst that only waiting requests get: one
	// part in this many.
	reservePart = 8
	// rateUnits is the number of rate units in one request a second.
	rateUnits = 1000
)

// bucket is the token bucket of one team.
//
// Invariant: level + out <= burst, where out counts every token that a holder
// may still spend. Spending and refilling are the only moves of the sum, so no
// window of length w sees more than rate*w + burst spent tokens.
type bucket struct {
	rate  int64 // rateUnits a second
	burst amount
	level amount
	out   amount
	// last is when level was brought up to date.
	last time.Time

	// issued holds the grants that may still be spent, by expiry.
	issued []*issued

	holders map[string]*holding
	// swept is when unused holders were last forgotten.
	swept time.Time
}

// holding is what one holder of the bucket has.
type holding struct {
	sequence uint64
	spent    uint64
	// grants are the grants of this holder by expiry.
	grants []*issued
	// seen is when the holder last asked.
	seen time.Time
}

// issued is one grant; its tokens may still be spent until it expires.
type issued struct {
	tokens  int
	expires time.Time
}

// newBucket returns a bucket that was empty at since.
func newBucket(since time.Time, team version.Team) *bucket {
	b := &bucket{last: since, swept: since, holders: make(map[string]*holding)}
	b.rate, b.burst = limitsOf(team)
	return b
}

func limitsOf(team version.Team) (rate int64, burst amount) {
	return int64(math.Floor(team.Rate * rateUnits)), amount(math.Floor(team.Burst)) * oneToken
}

// advance refills the bucket until now and takes new limits over. Where the
// rate changes, the time since the last call counts with the lower rate.
func (b *bucket) advance(now time.Time, team version.Team) {
	rate, burst := limitsOf(team)
	b.expire(now, min(rate, b.rate))
	b.refill(now, min(rate, b.rate))
	b.rate = rate
	b.burst = burst
	b.clamp()
	b.forget(now)
}

// clamp keeps the invariant where the burst has been lowered.
func (b *bucket) clamp() {
	b.level = max(0, min(b.level, b.burst-b.out))
}

// expire counts tokens whose life is over as spent when it ended, since their
// holder has not said otherwise. Until that moment they leave no room for a
// refill.
func (b *bucket) expire(now time.Time, rate int64) {
	for len(b.issued) > 0 && !now.Before(b.issued[0].expires) {
		g := b.issued[0]
		b.refill(g.expires, rate)
		b.out -= amount(g.tokens) * oneToken
		g.tokens = 0
		b.issued = b.issued[1:]
	}
}

// forget drops holders that have no tokens and have not asked for long.
func (b *bucket) forget(now time.Time) {
	if now.Sub(b.swept) < forgetAfter {
		return
	}
	b.swept = now
	for name, h := range b.holders {
		if now.Sub(h.seen) >= forgetAfter {
			delete(b.holders, name)
		}
	}
}

func (b *bucket) refill(now time.Time, rate int64) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	room := b.burst - b.out - b.level
	if room <= 0 || rate <= 0 {
		return
	}
	if int64(elapsed) > int64(room)/rate {
		b.level += room
		return
	}
	b.level += amount(int64(elapsed) * rate)
}

// settle takes over what an ask says about earlier grants. Tokens that are
// neither left nor spent are given up by the holder and go back to the level.
// It returns false for an ask that is not newer than the last one.
func (b *bucket) settle(now time.Time, holder string, ask protocol.QuotaAsk) bool {
	h, known := b.holders[holder]
	if !known {
		h = &holding{spent: ask.Spent}
		b.holders[holder] = h
	}
	if known && ask.Sequence <= h.sequence {
		return false
	}
	closed := h.keep(max(ask.Left, 0))
	b.out -= amount(closed) * oneToken
	b.level += amount(closed-h.spentOf(closed, ask.Spent)) * oneToken
	b.clamp()
	h.sequence = ask.Sequence
	h.spent = ask.Spent
	h.seen = now
	return true
}

// spentOf returns how many of closed tokens count as spent where the holder
// says that it has spent total since its start.
func (h *holding) spentOf(closed int, total uint64) int {
	if total < h.spent || total-h.spent > uint64(closed) {
		return closed
	}
	return int(total - h.spent)
}

// keep leaves at most left tokens in the newest grants and returns how many it
// took out.
func (h *holding) keep(left int) (closed int) {
	kept := make([]*issued, 0, len(h.grants)+1)
	for _, g := range slices.Backward(h.grants) {
		n := min(g.tokens, left)
		left -= n
		closed += g.tokens - n
		g.tokens = n
		if n > 0 {
			kept = append(kept, g)
		}
	}
	slices.Reverse(kept)
	h.grants = kept
	return closed
}

// grant hands out tokens until expires: for waiting requests as long as there
// are any, for those to come only above the reserve. full is false where
// requests go without.
func (b *bucket) grant(holder string, ask protocol.QuotaAsk, expires time.Time) (n int, full bool) {
	free := int(b.level / oneToken)
	waiting := min(ask.Waiting, ask.Want)
	n = min(waiting, free)
	spare := free - n - int(b.burst/oneToken)/reservePart
	n += max(0, min(ask.Want-waiting, spare))
	b.hand(holder, n, expires)
	return n, n >= waiting
}

func (b *bucket) hand(holder string, n int, expires time.Time) {
	if n == 0 {
		return
	}
	b.level -= amount(n) * oneToken
	b.out += amount(n) * oneToken
	g := &issued{tokens: n, expires: expires}
	h := b.holders[holder]
	h.grants = append(h.grants, g)
	b.issued = append(b.issued, g)
}
