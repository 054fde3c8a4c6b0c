package configuration

import (
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// DefaultHistory is the number of accepted notes that a state machine keeps by default.
const DefaultHistory = 256

// Machine is the replicated state machine of the configuration. It implements
// replica.Machine; a command is the canonical CBOR form of one release note.
//
// Apply relies on the validation of a note before it is proposed, and checks only
// what depends on the current state. If it applied a validation rule that differs
// between two releases of the program, replicas would end up in different states.
//
// The methods that only read may be called from any goroutine.
type Machine struct {
	historySize int
	// readSource reads the texts of full configurations. It may be nil.
	readSource version.SourceReader

	mu    sync.RWMutex
	state *version.State
	// baseDigest is the digest of the state before the first kept note.
	baseDigest string
	// notes holds the last accepted notes in order. The last of them led to state.
	notes []acceptedNote
	// updates holds the updates of the last accepted notes in order, since the
	// start of the process or the last Restore.
	updates []stateUpdate
	// generations counts, by failure domain, the accepted orders that named a
	// generation, and the changes by notes since the first of them. A failure domain
	// without an entry has generation 0. Earlier builds count nothing, so a log that is
	// replayed and a snapshot of theirs lead to the same generations.
	generations map[string]uint64
	// content is the encoded content of contentOf.
	contentOf *version.State
	content   []byte
}

// acceptedNote is one kept note.
type acceptedNote struct {
	Number uint64 `cbor:"1,keyasint"`
	// NoteDigest is the digest of the note.
	NoteDigest string `cbor:"2,keyasint"`
	// StateDigest is the digest of the state after the note.
	StateDigest string `cbor:"3,keyasint"`
	// Note is the canonical CBOR form of the note.
	Note []byte `cbor:"4,keyasint"`
}

// machineSnapshot is the snapshot of a state machine.
type machineSnapshot struct {
	State      []byte         `cbor:"1,keyasint"`
	BaseDigest string         `cbor:"2,keyasint"`
	Notes      []acceptedNote `cbor:"3,keyasint"`
	// Generations are those of Machine. They are not set in snapshots of earlier builds.
	Generations map[string]uint64 `cbor:"4,keyasint,omitempty"`
}

// NewMachine returns a state machine with the initial state that keeps the last
// historySize accepted notes, at least 1. Every replica must use the same
// historySize.
func NewMachine(historySize int) *Machine {
	s := version.Initial()
	return &Machine{historySize: max(historySize, 1), state: s, baseDigest: s.Digest(), generations: make(map[string]uint64)}
}

// ReadSourceWith makes the state machine complete what earlier builds have logged or stored
// of a full configuration with what read finds in its text. It must be called before the
// state machine is used.
func (m *Machine) ReadSourceWith(read version.SourceReader) { m.readSource = read }

// completed returns the state with what its text adds to it.
func (m *Machine) completed(s *version.State) *version.State {
	if m.readSource == nil {
		return s
	}
	return s.CompletedFromSource(m.readSource)
}

// Apply applies one committed note and returns its encoded Result.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	result, err := EncodeResult(m.apply(command))
	if err != nil {
		return nil
	}
	return result
}

func (m *Machine) apply(command []byte) Result {
	n, err := version.DecodeNote(command)
	if err != nil {
		return Result{Kind: fault.NoteInvalid, Message: fault.Message(err)}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if n.Order != nil {
		return m.applyOrder(n)
	}
	if n.Number <= m.state.Number() {
		return m.duplicateResult(n)
	}
	next, err := m.state.Apply(n)
	if err != nil {
		return Result{Number: n.Number, Kind: fault.KindOf(err), Message: fault.Message(err)}
	}
	for _, name := range version.ChangedDomains(m.state, next) {
		if _, counted := m.generations[name]; counted {
			m.generations[name]++
		}
	}
	m.accept(next, command)
	return Result{Number: n.Number, Digest: next.NoteDigest()}
}

// applyOrder applies an order, a note to which the state machine assigns the next number.
// An order that was applied before is accepted again and changes nothing. One about a
// failure domain is rejected if it would change something and does not build on the
// current generation.
//
// Invariant: once an order about a failure domain is accepted, the generation is higher
// than the one that it builds on, also where it changes nothing. So what was ordered
// before, on that generation or an earlier one, can no longer take effect.
func (m *Machine) applyOrder(n *version.Note) Result {
	o := n.Order
	repeated := m.state.AlreadyApplied(o)
	if o.Domain != nil && o.IfGeneration != nil {
		switch current := m.generations[o.Domain.Name]; {
		case *o.IfGeneration == current:
			m.generations[o.Domain.Name] = current + 1
		case !repeated:
			return Result{Kind: fault.OrderOutdated, Message: outdatedMessage(o, current)}
		}
	}
	if repeated {
		return Result{Number: m.state.Number(), Digest: m.state.NoteDigest(), Repeated: true}
	}
	numbered := *n
	numbered.Number = m.state.Number() + 1
	next, err := m.state.Apply(&numbered)
	if err != nil {
		return Result{Kind: fault.KindOf(err), Message: fault.Message(err)}
	}
	command, err := numbered.Encode()
	if err != nil {
		return Result{Kind: fault.KindOf(err), Message: fault.Message(err)}
	}
	if o.Configuration != nil && o.Configuration.Entries.AmbiguousTeams() {
		next = m.completed(next)
	}
	m.accept(next, command)
	return Result{Number: next.Number(), Digest: next.NoteDigest()}
}

// duplicateResult returns the result for a note whose number is not above that of
// the current state.
func (m *Machine) duplicateResult(n *version.Note) Result {
	digest, kept := m.acceptedDigest(n.Number)
	r := Result{Number: n.Number, Digest: digest}
	switch {
	case n.Number == 0:
		r.Kind = fault.NoteInvalid
		r.Message = "the first note has number 1"
	case !kept:
		r.Kind = fault.NoteGap
		r.Message = gapMessage(n.Number, m.state.Number())
	case digest != n.Digest():
		r.Kind = fault.NoteConflict
		r.Message = conflictMessage(n.Number, digest, n.Digest())
	default:
		r.Repeated = true
	}
	return r
}

// accept makes next, the state after command, the current state. It keeps at most
// historySize notes.
func (m *Machine) accept(next *version.State, command []byte) {
	m.notes = append(m.notes, acceptedNote{
		Number:      next.Number(),
		NoteDigest:  next.NoteDigest(),
		StateDigest: next.Digest(),
		Note:        command,
	})
	m.recordUpdate(next)
	m.state = next
	if len(m.notes) <= m.historySize {
		return
	}
	m.baseDigest = m.notes[0].StateDigest
	m.notes = append([]acceptedNote(nil), m.notes[1:]...)
}

// State returns the current state; it is never nil.
func (m *Machine) State() *version.State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state
}

// Domain returns whether the failure domain is in service, and its generation.
func (m *Machine) Domain(name string) (inService bool, generation uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.DomainInService(name), m.generations[name]
}

// NotesSince returns the encoded notes that lead from the state with this number and
// state digest to the current state, in order. ok is false if no such state is
// known, so that the complete state has to be sent instead.
func (m *Machine) NotesSince(number uint64, digest string) (notes [][]byte, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	first := m.state.Number() - uint64(len(m.notes))
	if number < first || number > m.state.Number() {
		return nil, false
	}
	index := int(number - first)
	if m.stateDigestBefore(index) != digest {
		return nil, false
	}
	for _, a := range m.notes[index:] {
		notes = append(notes, a.Note)
	}
	return notes, true
}

// stateDigestBefore returns the digest of the state before m.notes[index].
func (m *Machine) stateDigestBefore(index int) string {
	if index == 0 {
		return m.baseDigest
	}
	return m.notes[index-1].StateDigest
}

// AcceptedDigest returns the digest of the note that was accepted with number, or
// false if that note is not kept.
func (m *Machine) AcceptedDigest(number uint64) (string, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.acceptedDigest(number)
}

func (m *Machine) acceptedDigest(number uint64) (string, bool) {
	first := m.state.Number() - uint64(len(m.notes))
	if number <= first || number > m.state.Number() {
		return "", false
	}
	return m.notes[number-first-1].NoteDigest, true
}

// Snapshot returns the encoded state and kept notes. Errors: Internal.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	state, err := m.state.Encode()
	if err != nil {
		return nil, err
	}
	b, err := canonical.Marshal(machineSnapshot{State: state, BaseDigest: m.baseDigest, Notes: m.notes, Generations: m.generations})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode the configuration snapshot")
	}
	return b, nil
}

// Restore replaces the state and the kept notes with those of a snapshot. Errors:
// Damaged if the snapshot is inconsistent; the state machine is then unchanged.
func (m *Machine) Restore(encoded []byte) error {
	var snapshot machineSnapshot
	if err := cbor.Unmarshal(encoded, &snapshot); err != nil {
		return fault.Wrap(fault.Damaged, err, "decode the configuration snapshot")
	}
	state, err := version.DecodeState(snapshot.State)
	if err != nil {
		return err
	}
	if err := checkNotes(state, snapshot); err != nil {
		return err
	}
	if complete := m.completed(state); complete != state {
		// The kept notes lead to the state that was stored.
		state, snapshot.Notes, snapshot.BaseDigest = complete, nil, complete.Digest()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	m.baseDigest = snapshot.BaseDigest
	m.notes = snapshot.Notes
	m.generations = snapshot.Generations
	if m.generations == nil {
		m.generations = make(map[string]uint64)
	}
	m.updates = nil
	return nil
}

// checkNotes checks that the notes of a snapshot have consecutive numbers and lead to
// state. Errors: Damaged.
func checkNotes(state *version.State, snapshot machineSnapshot) error {
	if uint64(len(snapshot.Notes)) > state.Number() {
		return fault.New(fault.Damaged, "the snapshot has more notes than were accepted up to its state %d", state.Number())
	}
	first := state.Number() - uint64(len(snapshot.Notes))
	digest := snapshot.BaseDigest
	for i, a := range snapshot.Notes {
		if a.Number != first+uint64(i)+1 {
			return fault.New(fault.Damaged, "the snapshot has note %d in place of note %d", a.Number, first+uint64(i)+1)
		}
		digest = a.StateDigest
	}
	if digest != state.Digest() {
		return fault.New(fault.Damaged, "the notes of the snapshot do not lead to its state")
	}
	return nil
}
