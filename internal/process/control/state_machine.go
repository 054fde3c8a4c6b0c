package control

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/targetlog"
)

// targetLogMarker is the first byte of commands of the target log, and of snapshots that
// contain it. No release note and no snapshot of the configuration alone begins with it.
const targetLogMarker = 1

// stateMachine is the state machine of the configuration group. It implements
// replica.Machine. The target log shares the group of the configuration, and so its
// members, its repair and its syncs.
type stateMachine struct {
	configuration *configuration.Machine
	targets       *targetlog.Machine
}

// groupSnapshot is the snapshot of a stateMachine, after the marker.
type groupSnapshot struct {
	Configuration []byte `cbor:"1,keyasint"`
	Targets       []byte `cbor:"2,keyasint"`
}

// Apply applies a release note or a command of the target log.
func (m *stateMachine) Apply(index uint64, command []byte) []byte {
	if len(command) > 0 && command[0] == targetLogMarker {
		return m.targets.Apply(index, command[1:])
	}
	return m.configuration.Apply(index, command)
}

// Snapshot returns the encoded state. Errors: Internal.
func (m *stateMachine) Snapshot() ([]byte, error) {
	var s groupSnapshot
	var err error
	if s.Configuration, err = m.configuration.Snapshot(); err != nil {
		return nil, err
	}
	if s.Targets, err = m.targets.Snapshot(); err != nil {
		return nil, err
	}
	b, err := cbor.Marshal(s)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode the snapshot of the configuration group")
	}
	return append([]byte{targetLogMarker}, b...), nil
}

// Restore replaces the state with that of a snapshot. One of an earlier build has no
// target log. Errors: Damaged.
func (m *stateMachine) Restore(encoded []byte) error {
	if len(encoded) == 0 || encoded[0] != targetLogMarker {
		return m.configuration.Restore(encoded)
	}
	var s groupSnapshot
	if err := cbor.Unmarshal(encoded[1:], &s); err != nil {
		return fault.Wrap(fault.Damaged, err, "decode the snapshot of the configuration group")
	}
	if err := m.configuration.Restore(s.Configuration); err != nil {
		return err
	}
	return m.targets.Restore(s.Targets)
}
