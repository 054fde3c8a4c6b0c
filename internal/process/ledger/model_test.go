package ledger

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// naive is the ledger as one copy without bounds: what the machine must equal.
type naive struct {
	now    time.Duration
	claims map[string]*naiveClaim
	barred map[string]time.Duration
}

type naiveClaim struct {
	holder, digest string
	at             time.Duration
	answer         *protocol.StoredAnswer
}

func newNaive() *naive {
	return &naive{claims: make(map[string]*naiveClaim), barred: make(map[string]time.Duration)}
}

func (n *naive) run(now time.Duration, r protocol.OnceRequest, l Limits) protocol.OnceReply {
	n.now = max(n.now, now)
	c := n.claims[r.Key.Key]
	if c != nil && n.now-c.at >= l.Retention {
		delete(n.claims, r.Key.Key)
		c = nil
	}
	at, was := n.barred[r.Key.Key+"/"+r.Attempt]
	barred := was && n.now-at < l.FenceLife
	switch r.Operation {
	case protocol.OnceClaim:
		return n.claim(r, c, barred)
	case protocol.OnceComplete:
		return n.complete(r, c)
	default:
		return n.bar(r, c, barred)
	}
}

func (n *naive) claim(r protocol.OnceRequest, c *naiveClaim, barred bool) protocol.OnceReply {
	switch {
	case barred:
		return protocol.OnceReply{State: protocol.OnceFenced}
	case c == nil:
		n.claims[r.Key.Key] = &naiveClaim{holder: r.Attempt, digest: r.Digest, at: n.now}
		return protocol.OnceReply{State: protocol.OnceGranted, Holder: r.Attempt}
	case c.digest != r.Digest:
		return protocol.OnceReply{State: protocol.OnceMismatch, Holder: c.holder}
	case c.holder == r.Attempt && c.answer == nil:
		return protocol.OnceReply{State: protocol.OnceGranted, Holder: r.Attempt}
	default:
		return n.tell(c)
	}
}

func (n *naive) complete(r protocol.OnceRequest, c *naiveClaim) protocol.OnceReply {
	if c == nil {
		return protocol.OnceReply{State: protocol.OnceFree}
	}
	if c.holder == r.Attempt && c.answer == nil {
		c.answer = r.Answer
	}
	return protocol.OnceReply{State: n.tell(c).State, Holder: c.holder}
}

// bar is a release or a cancel.
func (n *naive) bar(r protocol.OnceRequest, c *naiveClaim, barred bool) protocol.OnceReply {
	mine := c != nil && c.holder == r.Attempt
	if mine && (r.Operation == protocol.OnceCancel || c.answer != nil) {
		return n.tell(c)
	}
	if !barred {
		n.barred[r.Key.Key+"/"+r.Attempt] = n.now
	}
	switch {
	case r.Operation == protocol.OnceCancel && c == nil:
		return protocol.OnceReply{State: protocol.OnceFenced}
	case r.Operation == protocol.OnceCancel && c.digest != r.Digest:
		return protocol.OnceReply{State: protocol.OnceMismatch, Holder: c.holder}
	case r.Operation == protocol.OnceCancel:
		return n.tell(c)
	case c == nil || mine:
		delete(n.claims, r.Key.Key)
		return protocol.OnceReply{State: protocol.OnceFree}
	default:
		return protocol.OnceReply{State: n.tell(c).State, Holder: c.holder}
	}
}

func (n *naive) tell(c *naiveClaim) protocol.OnceReply {
	r := protocol.OnceReply{State: protocol.OnceHeld, Holder: c.holder, Since: n.now - c.at}
	if c.answer != nil {
		r.State = protocol.OnceDone
		r.Answer = c.answer
	}
	return r
}

// phase is how far an attempt has come at the daemon beside its target.
type phase int

const (
	idle phase = iota
	claiming
	dispatched
	gaveUp
)

// attempt is one try to run a once request. An honest daemon dispatches once,
// after it was granted the claim, and never after it gave up.
type attempt struct {
	key, id string
	phase   phase
	// denied is true once somebody was told that it never runs.
	denied bool
}

// world runs attempts over a link that loses, repeats and reorders commands
// and answers.
type world struct {
	now      time.Duration
	limits   Limits
	replicas []*Machine
	naive    *naive
	attempts []*attempt
	commands []sent
	answers  []answered
	runs     map[string]int
}

type sent struct {
	to *attempt
	r  protocol.OnceRequest
}

type answered struct {
	sent
	reply protocol.OnceReply
}

func newWorld(limits Limits) *world {
	w := &world{limits: limits, naive: newNaive(), runs: make(map[string]int)}
	w.replicas = []*Machine{NewMachine(limits), NewMachine(limits)}
	for i := range 8 {
		w.attempts = append(w.attempts, &attempt{key: fmt.Sprint("key", i%2), id: fmt.Sprint("attempt", i)})
	}
	return w
}

func (w *world) send(a *attempt, op protocol.OnceOperation, digest string) {
	r := protocol.OnceRequest{Operation: op, Key: protocol.OnceKey{Team: "t", Service: "s", Key: a.key}, Attempt: a.id, Digest: digest}
	if op == protocol.OnceComplete {
		r.Answer = &protocol.StoredAnswer{Status: 200, Header: map[string][]string{"A": {a.id}}, Body: []byte(a.id)}
	}
	w.commands = append(w.commands, sent{a, r})
}

// act lets one attempt, or the sender that lost it, take a step.
func (w *world) act(t *rapid.T) {
	a := rapid.SampledFrom(w.attempts).Draw(t, "attempt")
	digest := "same"
	if rapid.IntRange(0, 9).Draw(t, "content") == 9 {
		digest = "other"
	}
	switch choice := rapid.IntRange(0, 5).Draw(t, "act"); {
	case choice <= 2 && a.phase <= claiming:
		a.phase = claiming
		w.send(a, protocol.OnceClaim, digest)
	case choice == 3 && a.phase == claiming:
		a.phase = gaveUp
		w.send(a, protocol.OnceRelease, digest)
	case choice == 4 && a.phase == dispatched:
		w.send(a, protocol.OnceComplete, digest)
	case choice == 5:
		w.send(a, protocol.OnceCancel, digest)
	}
}

// apply runs one command on every replica and on the naive copy.
func (w *world) apply(t *rapid.T, s sent) {
	command, err := EncodeCommand(w.now, s.r)
	must.NoError(t, err)
	want := w.naive.run(w.now, s.r, w.limits)
	var reply protocol.OnceReply
	for _, m := range w.replicas {
		reply, err = DecodeReply(m.Apply(0, command))
		must.NoError(t, err)
		must.Eq(t, want, reply)
	}
	if reply.State == protocol.OnceFenced && s.r.Operation == protocol.OnceCancel && w.runs[s.to.key] > 0 {
		t.Fatalf("%s ran, and the cancel of %s says that it did not", s.to.key, s.to.id)
	}
	w.answers = append(w.answers, answered{s, reply})
}

// hear brings an answer to whoever waits for it.
func (w *world) hear(t *rapid.T, x answered) {
	a := x.to
	switch {
	case x.r.Operation == protocol.OnceClaim && x.reply.State == protocol.OnceGranted && a.phase == claiming:
		a.phase = dispatched
		w.runs[a.key]++
	case x.r.Operation == protocol.OnceRelease && x.reply.State == protocol.OnceFree:
		a.denied = true
	case x.r.Operation == protocol.OnceCancel && x.reply.State == protocol.OnceFenced:
		a.denied = true
	}
	if a.denied && a.phase == dispatched {
		t.Fatalf("%s was told not run, and was dispatched", a.id)
	}
	if w.runs[a.key] > 1 {
		t.Fatalf("%s ran %d times", a.key, w.runs[a.key])
	}
}

// draw takes one of list, which one time in three stays to arrive again.
func draw[M any](t *rapid.T, list *[]M) (M, bool) {
	var none M
	if len(*list) == 0 {
		return none, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	m := (*list)[i]
	if rapid.IntRange(0, 2).Draw(t, "again") > 0 {
		*list = slices.Delete(*list, i, i+1)
	}
	return m, true
}

func (w *world) step(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0, 1, 2:
		w.act(t)
	case 3, 4, 5:
		if s, ok := draw(t, &w.commands); ok {
			w.apply(t, s)
		}
	case 6, 7:
		if x, ok := draw(t, &w.answers); ok {
			w.hear(t, x)
		}
	case 8:
		w.now += time.Duration(rapid.IntRange(-1000, 60000).Draw(t, "ms")) * time.Millisecond
	default:
		w.restart(t)
	}
}

// restart replaces one replica by one that restores the other's snapshot.
func (w *world) restart(t *rapid.T) {
	snapshot, err := w.replicas[0].Snapshot()
	must.NoError(t, err)
	restored := NewMachine(w.limits)
	must.NoError(t, restored.Restore(snapshot))
	again, err := restored.Snapshot()
	must.NoError(t, err)
	must.True(t, bytes.Equal(snapshot, again))
	must.Eq(t, w.replicas[0].Stats(), restored.Stats())
	w.replicas[1] = restored
}

// TestAtMostOneRun compares the machine with the naive copy over lost, late,
// repeated and reordered commands and answers: a key is dispatched at most
// once, an attempt that somebody was told not to run never is, and a cancel
// says not run only of a key that was not dispatched. Times stay within the
// retention of records and the life of fences.
func TestAtMostOneRun(t *testing.T) {
	limits := DefaultLimits()
	limits.FenceLife = limits.Retention
	runs, denied := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(limits)
		for range 150 {
			w.step(t)
		}
		for _, n := range w.runs {
			runs += n
		}
		for _, a := range w.attempts {
			if a.denied {
				denied++
			}
		}
	})
	t.Logf("%d dispatched, %d attempts told not run", runs, denied)
	must.Positive(t, runs)
	must.Positive(t, denied)
}

// TestExpiryEqualsTheNaiveCopy lets records and fences expire all the time.
func TestExpiryEqualsTheNaiveCopy(t *testing.T) {
	limits := DefaultLimits()
	limits.Retention = 90 * time.Second
	limits.FenceLife = 40 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(limits)
		for range 150 {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				w.act(t)
				rapid.SampledFrom(w.attempts).Draw(t, "attempt").phase = phase(rapid.IntRange(0, 3).Draw(t, "phase"))
			case 1, 2:
				if s, ok := draw(t, &w.commands); ok {
					w.apply(t, s)
				}
			default:
				w.now += time.Duration(rapid.IntRange(0, 30000).Draw(t, "ms")) * time.Millisecond
			}
		}
		w.restart(t)
	})
}
