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

// referenceModel is an unreplicated ledger without size limits. The state machine must give
// the same replies.
type referenceModel struct {
	now    time.Duration
	claims map[string]*modelClaim
	fences map[string]time.Duration
}

type modelClaim struct {
	holder, digest string
	grantedAt      time.Duration
	response       *protocol.StoredResponse
}

func newReferenceModel() *referenceModel {
	return &referenceModel{claims: make(map[string]*modelClaim), fences: make(map[string]time.Duration)}
}

func (m *referenceModel) run(now time.Duration, r protocol.OnceRequest, l Limits) protocol.OnceReply {
	m.now = max(m.now, now)
	c := m.claims[r.Key.Key]
	if c != nil && m.now-c.grantedAt >= l.Retention {
		delete(m.claims, r.Key.Key)
		c = nil
	}
	fencedAt, found := m.fences[r.Key.Key+"/"+r.Attempt]
	fenced := found && m.now-fencedAt < l.FenceTTL
	switch r.Operation {
	case protocol.OnceClaim:
		return m.claim(r, c, fenced)
	case protocol.OnceComplete:
		return m.complete(r, c)
	default:
		return m.fence(r, c, fenced)
	}
}

func (m *referenceModel) claim(r protocol.OnceRequest, c *modelClaim, fenced bool) protocol.OnceReply {
	switch {
	case fenced:
		return protocol.OnceReply{State: protocol.OnceFenced}
	case c == nil:
		m.claims[r.Key.Key] = &modelClaim{holder: r.Attempt, digest: r.Digest, grantedAt: m.now}
		return protocol.OnceReply{State: protocol.OnceGranted, Holder: r.Attempt}
	case c.digest != r.Digest:
		return protocol.OnceReply{State: protocol.OnceMismatch, Holder: c.holder}
	case c.holder == r.Attempt && c.response == nil:
		return protocol.OnceReply{State: protocol.OnceGranted, Holder: r.Attempt}
	default:
		return m.describe(c)
	}
}

func (m *referenceModel) complete(r protocol.OnceRequest, c *modelClaim) protocol.OnceReply {
	if c == nil {
		return protocol.OnceReply{State: protocol.OnceFree}
	}
	if c.holder == r.Attempt && c.response == nil {
		c.response = r.Response
	}
	return protocol.OnceReply{State: m.describe(c).State, Holder: c.holder}
}

// fence handles a release or a cancel.
func (m *referenceModel) fence(r protocol.OnceRequest, c *modelClaim, fenced bool) protocol.OnceReply {
	holds := c != nil && c.holder == r.Attempt
	if holds && (r.Operation == protocol.OnceCancel || c.response != nil) {
		return m.describe(c)
	}
	if !fenced {
		m.fences[r.Key.Key+"/"+r.Attempt] = m.now
	}
	switch {
	case r.Operation == protocol.OnceCancel && c == nil:
		return protocol.OnceReply{State: protocol.OnceFenced}
	case r.Operation == protocol.OnceCancel && c.digest != r.Digest:
		return protocol.OnceReply{State: protocol.OnceMismatch, Holder: c.holder}
	case r.Operation == protocol.OnceCancel:
		return m.describe(c)
	case c == nil || holds:
		delete(m.claims, r.Key.Key)
		return protocol.OnceReply{State: protocol.OnceFree}
	default:
		return protocol.OnceReply{State: m.describe(c).State, Holder: c.holder}
	}
}

func (m *referenceModel) describe(c *modelClaim) protocol.OnceReply {
	r := protocol.OnceReply{State: protocol.OnceHeld, Holder: c.holder, Since: m.now - c.grantedAt}
	if c.response != nil {
		r.State = protocol.OnceDone
		r.Response = c.response
	}
	return r
}

// phase is the progress of an attempt at its daemon.
type phase int

const (
	idle phase = iota
	claiming
	dispatched
	abandoned
)

// attempt is one attempt to run a request at most once. A correct daemon dispatches
// it once, after the claim was granted, and never after it has abandoned it.
type attempt struct {
	key, id string
	phase   phase
	// denied is true once a caller has been told that the attempt will never run.
	denied bool
}

// simulation runs attempts over a network that loses, repeats and reorders commands
// and replies.
type simulation struct {
	now        time.Duration
	limits     Limits
	replicas   []*Machine
	model      *referenceModel
	attempts   []*attempt
	commands   []sentCommand
	replies    []sentReply
	dispatches map[string]int
}

type sentCommand struct {
	attempt *attempt
	request protocol.OnceRequest
}

type sentReply struct {
	sentCommand
	reply protocol.OnceReply
}

func newSimulation(limits Limits) *simulation {
	sim := &simulation{limits: limits, model: newReferenceModel(), dispatches: make(map[string]int)}
	sim.replicas = []*Machine{NewMachine(limits), NewMachine(limits)}
	for i := range 8 {
		sim.attempts = append(sim.attempts, &attempt{key: fmt.Sprint("key", i%2), id: fmt.Sprint("attempt", i)})
	}
	return sim
}

func (sim *simulation) send(a *attempt, op protocol.OnceOperation, digest string) {
	r := protocol.OnceRequest{Operation: op, Key: protocol.OnceKey{Team: "t", Service: "s", Key: a.key}, Attempt: a.id, Digest: digest}
	if op == protocol.OnceComplete {
		r.Response = &protocol.StoredResponse{Status: 200, Header: map[string][]string{"A": {a.id}}, Body: []byte(a.id)}
	}
	sim.commands = append(sim.commands, sentCommand{a, r})
}

// stepAttempt advances one attempt, or cancels it on behalf of its caller.
func (sim *simulation) stepAttempt(t *rapid.T) {
	a := rapid.SampledFrom(sim.attempts).Draw(t, "attempt")
	digest := "same"
	if rapid.IntRange(0, 9).Draw(t, "content") == 9 {
		digest = "other"
	}
	switch choice := rapid.IntRange(0, 5).Draw(t, "act"); {
	case choice <= 2 && a.phase <= claiming:
		a.phase = claiming
		sim.send(a, protocol.OnceClaim, digest)
	case choice == 3 && a.phase == claiming:
		a.phase = abandoned
		sim.send(a, protocol.OnceRelease, digest)
	case choice == 4 && a.phase == dispatched:
		sim.send(a, protocol.OnceComplete, digest)
	case choice == 5:
		sim.send(a, protocol.OnceCancel, digest)
	}
}

// apply runs one command on every replica and on the reference model.
func (sim *simulation) apply(t *rapid.T, s sentCommand) {
	command, err := EncodeCommand(sim.now, s.request)
	must.NoError(t, err)
	want := sim.model.run(sim.now, s.request, sim.limits)
	var reply protocol.OnceReply
	for _, m := range sim.replicas {
		reply, err = DecodeReply(m.Apply(0, command))
		must.NoError(t, err)
		must.Eq(t, want, reply)
	}
	if reply.State == protocol.OnceFenced && s.request.Operation == protocol.OnceCancel && sim.dispatches[s.attempt.key] > 0 {
		t.Fatalf("%s was dispatched, but the reply to the cancel of %s says that it was not", s.attempt.key, s.attempt.id)
	}
	sim.replies = append(sim.replies, sentReply{s, reply})
}

// receive delivers a reply to the sender of its command.
func (sim *simulation) receive(t *rapid.T, sent sentReply) {
	a := sent.attempt
	switch {
	case sent.request.Operation == protocol.OnceClaim && sent.reply.State == protocol.OnceGranted && a.phase == claiming:
		a.phase = dispatched
		sim.dispatches[a.key]++
	case sent.request.Operation == protocol.OnceRelease && sent.reply.State == protocol.OnceFree:
		a.denied = true
	case sent.request.Operation == protocol.OnceCancel && sent.reply.State == protocol.OnceFenced:
		a.denied = true
	}
	if a.denied && a.phase == dispatched {
		t.Fatalf("%s was reported as not run, but was dispatched", a.id)
	}
	if sim.dispatches[a.key] > 1 {
		t.Fatalf("%s was dispatched %d times", a.key, sim.dispatches[a.key])
	}
}

// drawFrom picks one element of list. With a probability of 1/3 it stays in list, to
// be repeated.
func drawFrom[M any](t *rapid.T, list *[]M) (M, bool) {
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

func (sim *simulation) step(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0, 1, 2:
		sim.stepAttempt(t)
	case 3, 4, 5:
		if s, ok := drawFrom(t, &sim.commands); ok {
			sim.apply(t, s)
		}
	case 6, 7:
		if sent, ok := drawFrom(t, &sim.replies); ok {
			sim.receive(t, sent)
		}
	case 8:
		sim.now += time.Duration(rapid.IntRange(-1000, 60000).Draw(t, "ms")) * time.Millisecond
	default:
		sim.restart(t)
	}
}

// restart replaces one replica with a new one that restores the other's snapshot.
func (sim *simulation) restart(t *rapid.T) {
	snapshot, err := sim.replicas[0].Snapshot()
	must.NoError(t, err)
	restored := NewMachine(sim.limits)
	must.NoError(t, restored.Restore(snapshot))
	again, err := restored.Snapshot()
	must.NoError(t, err)
	must.True(t, bytes.Equal(snapshot, again))
	must.Eq(t, sim.replicas[0].Stats(), restored.Stats())
	sim.replicas[1] = restored
}

// TestAtMostOneRun guards against running a request twice, and against telling a
// caller that a request did not run when it did. Commands and replies are lost,
// late, repeated and reordered, and the state machine must give the same replies as the
// reference model. A key is dispatched at most once, an attempt reported as not run
// is never dispatched, and a cancel reports "not run" only for keys that were not
// dispatched. The simulated time stays within the retention of records and the TTL
// of fences.
func TestAtMostOneRun(t *testing.T) {
	limits := DefaultLimits()
	limits.FenceTTL = limits.Retention
	runs, denied := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(limits)
		for range 150 {
			sim.step(t)
		}
		for _, n := range sim.dispatches {
			runs += n
		}
		for _, a := range sim.attempts {
			if a.denied {
				denied++
			}
		}
	})
	t.Logf("%d dispatched, %d attempts reported as not run", runs, denied)
	must.Positive(t, runs)
	must.Positive(t, denied)
}

// TestExpiryMatchesReferenceModel guards against differences from the reference model
// when records and fences expire during the run.
func TestExpiryMatchesReferenceModel(t *testing.T) {
	limits := DefaultLimits()
	limits.Retention = 90 * time.Second
	limits.FenceTTL = 40 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(limits)
		for range 150 {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				sim.stepAttempt(t)
				rapid.SampledFrom(sim.attempts).Draw(t, "attempt").phase = phase(rapid.IntRange(0, 3).Draw(t, "phase"))
			case 1, 2:
				if s, ok := drawFrom(t, &sim.commands); ok {
					sim.apply(t, s)
				}
			default:
				sim.now += time.Duration(rapid.IntRange(0, 30000).Draw(t, "ms")) * time.Millisecond
			}
		}
		sim.restart(t)
	})
}
