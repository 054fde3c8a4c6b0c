package configuration

import (
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// DefaultHistory is the number of accepted notes that a machine keeps.
const DefaultHistory = 256

// Machine is the replicated state machine of the configuration. It implements
// replica.Machine; a command is the canonical CBOR form of one release note.
//
// Apply trusts that the note was validated before it was proposed, and checks
// only what depends on the state in force: a rule that differed between two
// releases of the program would let replicas end in different states.
//
// The readers may be called from any goroutine.
type Machine struct {
	keep int

	mu    sync.RWMutex
	state *version.State
	// base is the digest of the state before the first kept note.
	base string
	// notes are the last accepted notes in order, the last one led to state.
	notes []accepted
}

// accepted is one kept note.
type accepted struct {
	Number uint64 `cbor:"1,keyasint"`
	// NoteDigest is the digest of the note.
	NoteDigest string `cbor:"2,keyasint"`
	// StateDigest is the digest of the state that the note led to.
	StateDigest string `cbor:"3,keyasint"`
	// Note is the canonical CBOR form of the note.
	Note []byte `cbor:"4,keyasint"`
}

// stored is the snapshot of a machine.
type stored struct {
	State []byte     `cbor:"1,keyasint"`
	Base  string     `cbor:"2,keyasint"`
	Notes []accepted `cbor:"3,keyasint"`
}

// NewMachine returns a machine with the initial state that keeps the last
// accepted notes, as many as keep says. Every replica must use the same keep.
func NewMachine(keep int) *Machine {
	s := version.Initial()
	return &Machine{keep: max(keep, 1), state: s, base: s.Digest()}
}

// Apply runs one committed note and returns its encoded Result.
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
		return m.answerAgain(n)
	}
	next, err := m.state.Apply(n)
	if err != nil {
		return Result{Number: n.Number, Kind: fault.KindOf(err), Message: fault.Message(err)}
	}
	m.accept(next, command)
	return Result{Number: n.Number, Digest: next.NoteDigest()}
}

// applyOrder gives an order the next number and carries it out. An order that
// was carried out before is answered as accepted and changes nothing.
func (m *Machine) applyOrder(n *version.Note) Result {
	if m.state.Holds(n.Order) {
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
	m.accept(next, command)
	return Result{Number: next.Number(), Digest: next.NoteDigest()}
}

// answerAgain answers a note whose number was accepted before.
func (m *Machine) answerAgain(n *version.Note) Result {
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

func (m *Machine) accept(next *version.State, command []byte) {
	m.notes = append(m.notes, accepted{
		Number:      next.Number(),
		NoteDigest:  next.NoteDigest(),
		StateDigest: next.Digest(),
		Note:        command,
	})
	m.state = next
	if len(m.notes) <= m.keep {
		return
	}
	m.base = m.notes[0].StateDigest
	m.notes = append([]accepted(nil), m.notes[1:]...)
}

// State returns the state in force; it is never nil.
func (m *Machine) State() *version.State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state
}

// Since returns the encoded notes that lead from the state with this number
// and state digest to the state in force, in order. ok is false where no such
// state is known: then only a whole state helps.
func (m *Machine) Since(number uint64, digest string) (notes [][]byte, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	first := m.state.Number() - uint64(len(m.notes))
	if number < first || number > m.state.Number() {
		return nil, false
	}
	at := int(number - first)
	if m.stateDigestBefore(at) != digest {
		return nil, false
	}
	for _, a := range m.notes[at:] {
		notes = append(notes, a.Note)
	}
	return notes, true
}

// stateDigestBefore returns the digest of the state before the kept note at.
func (m *Machine) stateDigestBefore(at int) string {
	if at == 0 {
		return m.base
	}
	return m.notes[at-1].StateDigest
}

// AcceptedDigest returns the digest of the note that was accepted under
// number, as long as it is kept.
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

// Snapshot returns the state and the kept notes.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	state, err := m.state.Encode()
	if err != nil {
		return nil, err
	}
	b, err := canonical.Marshal(stored{State: state, Base: m.base, Notes: m.notes})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode the configuration")
	}
	return b, nil
}

// Restore replaces everything by a snapshot. A snapshot that does not fit
// together is Damaged, and changes nothing.
func (m *Machine) Restore(snapshot []byte) error {
	var img stored
	if err := cbor.Unmarshal(snapshot, &img); err != nil {
		return fault.Wrap(fault.Damaged, err, "decode the configuration")
	}
	state, err := version.DecodeState(img.State)
	if err != nil {
		return err
	}
	if err := checkNotes(state, img); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	m.base = img.Base
	m.notes = img.Notes
	return nil
}

func checkNotes(state *version.State, img stored) error {
	if uint64(len(img.Notes)) > state.Number() {
		return fault.New(fault.Damaged, "the stored notes outnumber the state's number %d", state.Number())
	}
	first := state.Number() - uint64(len(img.Notes))
	last := img.Base
	for i, a := range img.Notes {
		if a.Number != first+uint64(i)+1 {
			return fault.New(fault.Damaged, "stored note %d stands at the place of %d", a.Number, first+uint64(i)+1)
		}
		last = a.StateDigest
	}
	if last != state.Digest() {
		return fault.New(fault.Damaged, "the stored notes lead to another state than the stored one")
	}
	return nil
}
