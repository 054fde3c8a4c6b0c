package targetlog

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/quarantine"
)

// Machine is the replicated state machine. It implements replica.TimedMachine. The
// methods that only read may be called from any goroutine.
type Machine struct {
	// Quarantine is the part about requests that crash targets.
	Quarantine *quarantine.Table

	mu         sync.RWMutex
	now        time.Duration
	departures departures
}

// machineSnapshot is the snapshot of a state machine.
type machineSnapshot struct {
	Now        time.Duration `cbor:"1,keyasint"`
	Departures departures    `cbor:"2,keyasint"`
	// Quarantine is unset in snapshots of a build that kept it elsewhere.
	Quarantine quarantine.Snapshot `cbor:"3,keyasint"`
}

// NewMachine returns a state machine that knows nothing.
func NewMachine() *Machine {
	return &Machine{Quarantine: quarantine.NewTable(), departures: make(departures)}
}

// Now returns the highest time in any command so far.
func (m *Machine) Now() time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.now
}

// Departed returns the incarnations of an instance's targets that leave, oldest first.
func (m *Machine) Departed(instance string) []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var incarnations []string
	for _, d := range m.departures[instance] {
		incarnations = append(incarnations, d.Incarnation)
	}
	return incarnations
}

// Apply applies one committed command. One that cannot be decoded changes nothing. The
// result is empty.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	var c Command
	if err := cbor.Unmarshal(command, &c); err != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = max(m.now, time.Duration(c.Now))
	m.departures.expire(m.now)
	if c.Departure != nil {
		m.departures.add(m.now, *c.Departure)
	}
	m.applyCrashes(c)
	return nil
}

// applyCrashes applies the part of a command about requests that crash targets.
func (m *Machine) applyCrashes(c Command) {
	m.Quarantine.Expire(m.now)
	if len(c.Crashes) > 0 {
		m.Quarantine.Record(m.now, c.Crashes)
	}
	if len(c.Familiar) > 0 {
		m.Quarantine.Familiar(c.Familiar)
	}
	if len(c.Completed) > 0 {
		m.Quarantine.Complete(c.Completed)
	}
	if len(c.Convicted) > 0 {
		m.Quarantine.Convict(m.now, c.Convicted)
	}
	if len(c.Probes) > 0 {
		m.Quarantine.Probe(m.now, c.Probes)
	}
}

// Snapshot returns the encoded state. Errors: Internal.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	b, err := canonical.Marshal(machineSnapshot{m.now, m.departures, m.Quarantine.Snapshot()})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode the snapshot of the target log")
	}
	return b, nil
}

// Restore replaces the state with that of a snapshot. Errors: Damaged; the state is then
// unchanged.
func (m *Machine) Restore(encoded []byte) error {
	var snapshot machineSnapshot
	if err := cbor.Unmarshal(encoded, &snapshot); err != nil {
		return fault.Wrap(fault.Damaged, err, "decode the snapshot of the target log")
	}
	if snapshot.Departures == nil {
		snapshot.Departures = make(departures)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now, m.departures = snapshot.Now, snapshot.Departures
	m.Quarantine.Restore(snapshot.Quarantine)
	return nil
}

// Check returns a BadRequest error if a departure cannot be one.
func (d Departure) Check() error {
	if d.Instance == "" || len(d.Incarnations) == 0 || len(d.Incarnations) > maxDepartures {
		return fault.New(fault.BadRequest, "a departure names an instance and 1 to %d incarnations", maxDepartures)
	}
	for _, incarnation := range d.Incarnations {
		if err := protocol.CheckIncarnation(incarnation); err != nil {
			return err
		}
	}
	return nil
}
