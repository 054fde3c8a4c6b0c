package hop

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/version"
)

// fakeConfiguration is shared by all daemons of a test.
type fakeConfiguration struct {
	mu    sync.Mutex
	state *version.State
	stale bool
}

func (f *fakeConfiguration) Current() *version.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *fakeConfiguration) Fresh() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stale {
		return fault.New(fault.LeaseExpired, "the lease has expired")
	}
	return nil
}

func (f *fakeConfiguration) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stale = true
}

// apply puts the next release note, whose content edit sets, into effect.
func (f *fakeConfiguration) apply(edit func(n *version.Note)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &version.Note{Number: f.state.Number() + 1}
	edit(n)
	next, err := f.state.Apply(n)
	if err != nil {
		panic(err)
	}
	f.state = next
}

type fakeQuota struct{ err error }

func (f *fakeQuota) Take(context.Context, string) error { return f.err }

// fakePermits counts retry permits as the root does. It is shared by all daemons
// of a test.
type fakePermits struct {
	mu        sync.Mutex
	remaining map[string]int
	granted   int
}

func (f *fakePermits) Open(id string, retries int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remaining[id] = retries
}

func (f *fakePermits) Close(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.remaining, id)
}

func (f *fakePermits) Take(_ context.Context, e *envelope.Envelope) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.remaining[e.RequestID] == 0 {
		return false
	}
	f.remaining[e.RequestID]--
	f.granted++
	return true
}

// fakeRouter selects the targets of a service in round-robin order.
type fakeRouter struct {
	mu      sync.Mutex
	targets []protocol.TargetRecord
	next    int
	levels  map[string]Level // last reported level of each instance
}

func (f *fakeRouter) Pick(e *envelope.Envelope, exclude []string) (Choice, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.targets {
		t := f.targets[f.next%len(f.targets)]
		f.next++
		if t.Service == e.Service && !slices.Contains(exclude, t.Instance) {
			return Choice{Target: t, Done: func(_ time.Duration, _ error, level *Level) { f.recordLevel(t.Instance, level) }}, nil
		}
	}
	return Choice{}, fault.New(fault.NoTarget, "no target")
}

func (f *fakeRouter) recordLevel(instance string, level *Level) {
	if level == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.levels == nil {
		f.levels = make(map[string]Level)
	}
	f.levels[instance] = *level
}

// fakeAdmission calls beforeAdmit, then admits every request for which that
// returns nil.
type fakeAdmission struct {
	address     string
	beforeAdmit func(e *envelope.Envelope) error
	heldSlots   atomic.Int64 // slots not released
	resets      atomic.Int64 // slots released after a connection reset
	activeCalls atomic.Int64 // outgoing calls of the target in progress
	level       Level        // if zero, Level returns the most permissive level
	totalCalls  atomic.Int64 // outgoing calls of the target so far
}

func (f *fakeAdmission) Admit(_ context.Context, e *envelope.Envelope) (Slot, error) {
	if f.beforeAdmit != nil {
		if err := f.beforeAdmit(e); err != nil {
			return Slot{}, err
		}
	}
	f.heldSlots.Add(1)
	return Slot{f.address, f}, nil
}

// Done implements Occupancy.
func (f *fakeAdmission) Done(_ time.Duration, _ error, reset bool) {
	f.heldSlots.Add(-1)
	if reset {
		f.resets.Add(1)
	}
}

// OutgoingCall implements inflight.CallObserver.
func (f *fakeAdmission) OutgoingCall(started bool) {
	if started {
		f.totalCalls.Add(1)
		f.activeCalls.Add(1)
		return
	}
	f.activeCalls.Add(-1)
}

func (f *fakeAdmission) Level(string) Level {
	if f.level != (Level{}) {
		return f.level
	}
	return Level{Importance: version.Low, Cohort: envelope.CohortCount - 1}
}

type fakeLocalTargets struct{ err error }

func (f *fakeLocalTargets) Check(string, string) error { return f.err }

type fakeRecorder struct {
	mu     sync.Mutex
	events []protocol.Event
}

func (f *fakeRecorder) Record(e protocol.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

// fakeLedger is a once ledger in memory, shared by all daemons of a test.
type fakeLedger struct {
	mu     sync.Mutex
	claims map[protocol.OnceKey]*fakeClaim
	fenced map[string]bool // by attempt ID
	err    error
	// beforeCommand is called before each command is applied.
	beforeCommand func(r protocol.OnceRequest)
	// loseReply reports whether the reply to a command that was applied gets lost.
	loseReply func() bool
}

type fakeClaim struct {
	holder, digest string
	response       *protocol.StoredResponse
}

func (f *fakeLedger) Do(_ context.Context, r protocol.OnceRequest) (protocol.OnceReply, error) {
	if f.beforeCommand != nil {
		f.beforeCommand(r)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return protocol.OnceReply{}, f.err
	}
	reply := f.apply(r)
	if f.loseReply != nil && f.loseReply() {
		return protocol.OnceReply{}, fault.New(fault.LedgerUnknown, "the reply was lost")
	}
	return reply, nil
}

func (f *fakeLedger) apply(r protocol.OnceRequest) protocol.OnceReply {
	claim := f.claims[r.Key]
	switch {
	case claim != nil && r.Digest != claim.digest:
		return protocol.OnceReply{State: protocol.OnceMismatch}
	case claim != nil && claim.response != nil:
		return protocol.OnceReply{State: protocol.OnceDone, Holder: claim.holder, Response: claim.response}
	case claim == nil:
		return protocol.OnceReply{State: f.applyToFreeKey(r)}
	case claim.holder != r.Attempt:
		return protocol.OnceReply{State: protocol.OnceHeld, Holder: claim.holder}
	}
	return f.applyToHeldKey(r, claim)
}

// applyToFreeKey applies a command to a key without a claim.
func (f *fakeLedger) applyToFreeKey(r protocol.OnceRequest) protocol.OnceState {
	switch {
	case f.fenced[r.Attempt]:
		return protocol.OnceFenced
	case r.Operation == protocol.OnceClaim:
		f.claims[r.Key] = &fakeClaim{holder: r.Attempt, digest: r.Digest}
		return protocol.OnceGranted
	case r.Operation == protocol.OnceCancel:
		f.fenced[r.Attempt] = true
		return protocol.OnceFenced
	}
	return protocol.OnceFree
}

// applyToHeldKey applies a command of the attempt that holds the key.
func (f *fakeLedger) applyToHeldKey(r protocol.OnceRequest, claim *fakeClaim) protocol.OnceReply {
	switch r.Operation {
	case protocol.OnceRelease:
		delete(f.claims, r.Key)
		f.fenced[r.Attempt] = true
		return protocol.OnceReply{State: protocol.OnceFree}
	case protocol.OnceComplete:
		claim.response = r.Response
		return protocol.OnceReply{State: protocol.OnceDone, Holder: claim.holder}
	}
	return protocol.OnceReply{State: protocol.OnceHeld, Holder: claim.holder}
}
