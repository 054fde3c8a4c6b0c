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

// epoch is the time at which each simulated run starts.
var epoch = time.Unix(1_000_000, 0)

// message is an ask or a grant on its way.
type message struct {
	holder int
	name   string
	ask    protocol.QuotaAsk
	asked  time.Time
	grant  protocol.QuotaGrant
}

// held is an ask for which its issuer has confirmed that it leads in term.
type held struct {
	message
	replica int
	term    int
}

// world is a group of issuers of which one leads, and holders on both sides of
// a network that loses, repeats, delays and reorders.
type world struct {
	now     time.Time
	team    version.Team
	limits  []limits
	issuers []*Issuer
	// believes is the term that each replica thinks it leads, 0 for none.
	believes []int
	leader   int
	term     int

	names     []string
	purses    []*purse
	asks      []message
	confirmed []held
	grants    []message
	started   []time.Time
	starts    int
}

func newWorld(t *rapid.T) *world {
	w := &world{now: epoch}
	w.limit(t)
	for range 3 {
		w.issuers = append(w.issuers, NewIssuer())
		w.believes = append(w.believes, 0)
	}
	for range rapid.IntRange(1, 4).Draw(t, "holders") {
		w.purses = append(w.purses, nil)
		w.names = append(w.names, "")
		w.restart(len(w.purses) - 1)
	}
	w.elect(0)
	return w
}

// restart starts holder i anew; what it held is lost.
func (w *world) restart(i int) {
	w.starts++
	w.names[i] = fmt.Sprintf("%d/%d", i, w.starts)
	w.purses[i] = newPurse("team")
}

// limit puts new limits in force.
func (w *world) limit(t *rapid.T) {
	w.team = version.Team{
		Name:  "team",
		Rate:  rapid.Float64Range(0.5, 200).Draw(t, "rate"),
		Burst: float64(rapid.IntRange(1, 60).Draw(t, "burst")),
	}
	rate, burst := limitsOf(w.team)
	w.limits = append(w.limits, limits{w.now, rate, burst})
}

// elect lets replica i win an election. The replica that led before does not
// know.
func (w *world) elect(i int) {
	w.term++
	w.leader = i
	w.believes[i] = w.term
	w.issuers[i].Reset(w.now)
}

// ask lets a holder ask; an ask in flight longer than the timeout is replaced.
func (w *world) ask(i, want int) {
	p := w.purses[i]
	p.waiting = want
	if a, ok := p.begin(w.now); ok {
		w.asks = append(w.asks, message{holder: i, name: w.names[i], ask: a, asked: w.now})
	}
}

// confirm lets a replica that has received an ask confirm that it leads. It
// takes time, in which the replica may also be frozen.
func (w *world) confirm(m message, replica int) {
	if replica == w.leader {
		w.confirmed = append(w.confirmed, held{m, replica, w.believes[replica]})
	}
}

// serve lets a replica grant a confirmed ask where it believes that it still
// leads in the same term.
func (w *world) serve(h held) {
	if w.believes[h.replica] != h.term {
		return
	}
	h.grant = w.issuers[h.replica].Grant(w.now, h.name, h.ask, w.team)
	w.grants = append(w.grants, h.message)
}

// deliver brings a grant to the holder, unless it has been restarted.
func (w *world) deliver(m message) {
	if w.names[m.holder] == m.name {
		w.purses[m.holder].settle(m.asked, m.grant, w.now)
	}
}

func (w *world) spend(i, n int) {
	for range n {
		if w.purses[i].spend(w.now) {
			w.started = append(w.started, w.now)
		}
	}
}

// limits are the limits of the team from some time on.
type limits struct {
	from  time.Time
	rate  int64
	burst amount
}

// take draws one of list, and removes it unless it is to arrive again.
func take[M any](t *rapid.T, list *[]M, again bool) (M, bool) {
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

func (w *world) step(t *rapid.T) {
	i := rapid.IntRange(0, len(w.purses)-1).Draw(t, "holder")
	r := rapid.IntRange(0, len(w.issuers)-1).Draw(t, "replica")
	if rapid.Bool().Draw(t, "to the leader") {
		r = w.leader
	}
	switch rapid.IntRange(0, 23).Draw(t, "action") {
	case 0, 1, 2:
		w.now = w.now.Add(time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "ns")))
	case 3:
		w.now = w.now.Add(time.Duration(rapid.IntRange(300, 2600).Draw(t, "ms")) * time.Millisecond)
	case 4, 5, 6:
		w.ask(i, rapid.IntRange(0, 40).Draw(t, "want"))
	case 7, 8:
		again := rapid.IntRange(0, 4).Draw(t, "again") == 0
		if m, ok := take(t, &w.asks, again); ok {
			w.confirm(m, r)
		}
	case 9, 10:
		if h, ok := take(t, &w.confirmed, false); ok {
			w.serve(h)
		}
	case 11, 12:
		again := rapid.IntRange(0, 4).Draw(t, "again") == 0
		if m, ok := take(t, &w.grants, again); ok {
			w.deliver(m)
		}
	case 13, 14:
		w.spend(i, rapid.IntRange(1, 60).Draw(t, "spend"))
	case 15:
		w.rare(t, i, r)
	default:
		w.exchange(i, r, rapid.IntRange(1, 40).Draw(t, "want"), rapid.IntRange(0, 40).Draw(t, "spend"))
	}
}

// exchange is an ask that is answered at once, and some spending.
func (w *world) exchange(i, replica, want, spend int) {
	asks, confirmed, grants := len(w.asks), len(w.confirmed), len(w.grants)
	w.ask(i, want)
	for _, m := range w.asks[asks:] {
		w.confirm(m, replica)
	}
	for _, h := range w.confirmed[confirmed:] {
		w.serve(h)
	}
	for _, m := range w.grants[grants:] {
		w.deliver(m)
	}
	w.asks, w.confirmed, w.grants = w.asks[:asks], w.confirmed[:confirmed], w.grants[:grants]
	w.spend(i, spend)
}

// rare is what happens now and then.
func (w *world) rare(t *rapid.T, holder, replica int) {
	switch rapid.IntRange(0, 5).Draw(t, "rare") {
	case 0:
		w.elect(replica)
	case 1:
		w.restart(holder)
	case 2:
		w.believes[replica] = 0
		w.issuers[replica].Stop()
		if replica == w.leader {
			w.elect((replica + 1) % len(w.issuers))
		}
	case 3:
		_, _ = take(t, &w.asks, false)
	case 4:
		w.limit(t)
	default:
		_, _ = take(t, &w.grants, false)
	}
}

// excess returns the index of the first start at which some window ending
// there has seen more than rate*window+burst, -1 where there is none. A single
// bucket that starts full admits a start in exactly the other case.
func excess(started []time.Time, rate int64, burst amount) int {
	level := burst
	last := epoch
	for i, at := range started {
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

// check compares the starts with the limits: the highest ones over the whole
// run, and each one from a token life after it came into force.
func (w *world) check(t *rapid.T) {
	var rate int64
	var burst amount
	for i, l := range w.limits {
		rate, burst = max(rate, l.rate), max(burst, l.burst)
		until := w.now.Add(1)
		if i+1 < len(w.limits) {
			until = w.limits[i+1].from
		}
		var within []time.Time
		for _, at := range w.started {
			if !at.Before(l.from.Add(TokenLife)) && at.Before(until) {
				within = append(within, at)
			}
		}
		if at := excess(within, l.rate, l.burst); at >= 0 {
			t.Fatalf("%v after the start: more than rate %d/1000 and burst %d", within[at].Sub(epoch), l.rate, l.burst/oneToken)
		}
	}
	if at := excess(w.started, rate, burst); at >= 0 {
		t.Fatalf("%v after the start: more than the highest rate %d/1000 and burst %d", w.started[at].Sub(epoch), rate, burst/oneToken)
	}
}

// TestNoWindowSeesMoreThanRateAndBurst holds over issuer change, changed
// limits, lost, late, repeated and reordered asks and grants, frozen and
// restarted holders.
func TestNoWindowSeesMoreThanRateAndBurst(t *testing.T) {
	started, elections, changes := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 300 {
			w.step(t)
		}
		w.check(t)
		started += len(w.started)
		elections += w.term - 1
		changes += len(w.limits) - 1
	})
	t.Logf("%d requests started, %d elections, %d changes of limits", started, elections, changes)
	must.Positive(t, started)
}
