package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/version"
)

// epoch is the start time of each simulation.
var epoch = time.Unix(1_000_000, 0)

// message is a token request or a grant in transit.
type message struct {
	holder      int
	name        string
	request     protocol.QuotaRequest
	requestedAt time.Time
	grant       protocol.QuotaGrant
}

// confirmedMessage is a token request for which replica has confirmed that it
// leads in term.
type confirmedMessage struct {
	message
	replica int
	term    int
}

// simulation is a group of issuers, one of which leads, and several holders. The
// network between them loses, repeats, delays and reorders messages.
type simulation struct {
	now     time.Time
	team    version.Team
	limits  []limits
	issuers []*Issuer
	// leadingTerm is the term in which each replica believes that it leads, 0 for
	// none.
	leadingTerm []int
	leader      int
	term        int

	names     []string
	pools     []*pool
	requests  []message
	confirmed []confirmedMessage
	grants    []message
	// spentAt holds the time at which each token was spent.
	spentAt      []time.Time
	holderStarts int
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{now: epoch}
	s.changeLimits(t)
	for range 3 {
		s.issuers = append(s.issuers, NewIssuer())
		s.leadingTerm = append(s.leadingTerm, 0)
	}
	for range rapid.IntRange(1, 4).Draw(t, "holders") {
		s.pools = append(s.pools, nil)
		s.names = append(s.names, "")
		s.restart(len(s.pools) - 1)
	}
	s.elect(0)
	return s
}

// restart restarts holder i. It loses its tokens.
func (s *simulation) restart(i int) {
	s.holderStarts++
	s.names[i] = fmt.Sprintf("%d/%d", i, s.holderStarts)
	s.pools[i] = newPool("team")
}

// changeLimits puts new random limits into effect.
func (s *simulation) changeLimits(t *rapid.T) {
	s.team = version.Team{
		Name:  "team",
		Rate:  rapid.Float64Range(0.5, 200).Draw(t, "rate"),
		Burst: float64(rapid.IntRange(1, 60).Draw(t, "burst")),
	}
	rate, burst := limitsOf(s.team)
	s.limits = append(s.limits, limits{s.now, rate, burst})
}

// elect makes replica i win an election. The previous leader does not notice.
func (s *simulation) elect(i int) {
	s.term++
	s.leader = i
	s.leadingTerm[i] = s.term
	s.issuers[i].Reset(s.now)
}

// request makes a holder send a token request, unless one is in flight for less
// than the timeout.
func (s *simulation) request(i, want int) {
	p := s.pools[i]
	p.waiting = want
	if r, ok := p.nextRequest(s.now, want%2 == 0); ok {
		s.requests = append(s.requests, message{holder: i, name: s.names[i], request: r, requestedAt: s.now})
	}
}

// confirm makes a replica that has received a request confirm that it leads. Time
// may pass before serve, as if the replica were frozen.
func (s *simulation) confirm(m message, replica int) {
	if replica == s.leader {
		s.confirmed = append(s.confirmed, confirmedMessage{m, replica, s.leadingTerm[replica]})
	}
}

// serve makes a replica grant a confirmed request if it still believes that it
// leads in the same term.
func (s *simulation) serve(c confirmedMessage) {
	if s.leadingTerm[c.replica] != c.term {
		return
	}
	c.grant = s.issuers[c.replica].Grant(s.now, c.name, c.request, s.team)
	s.grants = append(s.grants, c.message)
}

// deliver brings a grant to its holder, unless the holder has been restarted.
func (s *simulation) deliver(m message) {
	if s.names[m.holder] == m.name {
		s.pools[m.holder].applyGrant(m.requestedAt, m.grant, s.now)
	}
}

func (s *simulation) spend(i, n int) {
	for range n {
		if s.pools[i].spend(s.now) {
			s.spentAt = append(s.spentAt, s.now)
		}
	}
}

// limits are the limits of the team that apply from a point in time.
type limits struct {
	from  time.Time
	rate  int64
	burst amount
}

// drawFrom picks one element of list, and removes it unless it is to be repeated.
func drawFrom[M any](t *rapid.T, list *[]M, again bool) (M, bool) {
	var none M
	if len(*list) == 0 {
		return none, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	m := (*list)[i]
	if !again {
		*list = slices.Delete(*list, i, i+1)
	}
	return m, true
}

func (s *simulation) step(t *rapid.T) {
	i := rapid.IntRange(0, len(s.pools)-1).Draw(t, "holder")
	r := rapid.IntRange(0, len(s.issuers)-1).Draw(t, "replica")
	if rapid.Bool().Draw(t, "to the leader") {
		r = s.leader
	}
	switch rapid.IntRange(0, 23).Draw(t, "action") {
	case 0, 1, 2:
		s.now = s.now.Add(time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "ns")))
	case 3:
		s.now = s.now.Add(time.Duration(rapid.IntRange(300, 2600).Draw(t, "ms")) * time.Millisecond)
	case 4, 5, 6:
		s.request(i, rapid.IntRange(0, 40).Draw(t, "want"))
	case 7, 8:
		again := rapid.IntRange(0, 4).Draw(t, "again") == 0
		if m, ok := drawFrom(t, &s.requests, again); ok {
			s.confirm(m, r)
		}
	case 9, 10:
		if c, ok := drawFrom(t, &s.confirmed, false); ok {
			s.serve(c)
		}
	case 11, 12:
		again := rapid.IntRange(0, 4).Draw(t, "again") == 0
		if m, ok := drawFrom(t, &s.grants, again); ok {
			s.deliver(m)
		}
	case 13, 14:
		s.spend(i, rapid.IntRange(1, 60).Draw(t, "spend"))
	case 15:
		s.rareEvent(t, i, r)
	default:
		s.exchange(i, r, rapid.IntRange(1, 40).Draw(t, "want"), rapid.IntRange(0, 40).Draw(t, "spend"))
	}
}

// exchange makes a holder send a token request and receive the grant without
// delay. The holder then spends some tokens.
func (s *simulation) exchange(i, replica, want, spend int) {
	requests, confirmed, grants := len(s.requests), len(s.confirmed), len(s.grants)
	s.request(i, want)
	for _, m := range s.requests[requests:] {
		s.confirm(m, replica)
	}
	for _, c := range s.confirmed[confirmed:] {
		s.serve(c)
	}
	for _, m := range s.grants[grants:] {
		s.deliver(m)
	}
	s.requests, s.confirmed, s.grants = s.requests[:requests], s.confirmed[:confirmed], s.grants[:grants]
	s.spend(i, spend)
}

// rareEvent makes one rare event happen: an election, a restart, a stopped leader,
// a lost message or changed limits.
func (s *simulation) rareEvent(t *rapid.T, holder, replica int) {
	switch rapid.IntRange(0, 5).Draw(t, "rare") {
	case 0:
		s.elect(replica)
	case 1:
		s.restart(holder)
	case 2:
		s.leadingTerm[replica] = 0
		s.issuers[replica].Stop()
		if replica == s.leader {
			s.elect((replica + 1) % len(s.issuers))
		}
	case 3:
		_, _ = drawFrom(t, &s.requests, false)
	case 4:
		s.changeLimits(t)
	default:
		_, _ = drawFrom(t, &s.grants, false)
	}
}

// excess returns the index of the first time in spentAt that ends a window with
// more than rate*window+burst spent tokens, or -1. It simulates a single token
// bucket that starts full: at exactly that time, the bucket has no token left.
func excess(spentAt []time.Time, rate int64, burst amount) int {
	level := burst
	last := epoch
	for i, at := range spentAt {
		elapsed := int64(at.Sub(last))
		last = at
		if elapsed > int64(burst-level)/max(rate, 1) {
			level = burst
		} else {
			level += amount(elapsed * rate)
		}
		level -= oneToken
		if level < 0 {
			return i
		}
	}
	return -1
}

// check compares the spent tokens with the limits. Over the whole run the highest
// limits apply. Each set of limits applies alone once it has been in effect for
// the TTL of a token.
func (s *simulation) check(t *rapid.T) {
	var rate int64
	var burst amount
	for i, l := range s.limits {
		rate, burst = max(rate, l.rate), max(burst, l.burst)
		until := s.now.Add(1)
		if i+1 < len(s.limits) {
			until = s.limits[i+1].from
		}
		var within []time.Time
		for _, at := range s.spentAt {
			if !at.Before(l.from.Add(TokenTTL)) && at.Before(until) {
				within = append(within, at)
			}
		}
		if at := excess(within, l.rate, l.burst); at >= 0 {
			t.Fatalf("%v after the start: more tokens spent than rate %d/1000 and burst %d allow", within[at].Sub(epoch), l.rate, l.burst/oneToken)
		}
	}
	if at := excess(s.spentAt, rate, burst); at >= 0 {
		t.Fatalf("%v after the start: more tokens spent than the highest rate %d/1000 and burst %d allow", s.spentAt[at].Sub(epoch), rate, burst/oneToken)
	}
}

// TestNoWindowSeesMoreThanRateAndBurst guards against spending above rate and
// burst in any window of time. The ways to get there are changes of leader,
// changed limits, frozen and restarted processes, and lost, late, repeated and
// reordered messages.
func TestNoWindowSeesMoreThanRateAndBurst(t *testing.T) {
	spent, elections, changes := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range 300 {
			s.step(t)
		}
		s.check(t)
		spent += len(s.spentAt)
		elections += s.term - 1
		changes += len(s.limits) - 1
	})
	t.Logf("%d tokens spent, %d elections, %d changes of limits", spent, elections, changes)
	must.Positive(t, spent)
}
