package targetlog

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Command is one replicated command.
type Command struct {
	// Now is the leader's time in nanoseconds; see replica.Clock.
	Now       int64      `cbor:"1,keyasint"`
	Departure *Departure `cbor:"2,keyasint,omitempty"`
	// Crashes and Completed are evidence about requests that crash targets; Convicted are
	// requests that the leader finds at fault. See quarantine.Table.
	Crashes   []protocol.CrashReport `cbor:"3,keyasint,omitempty"`
	Completed []uint64               `cbor:"4,keyasint,omitempty"`
	Convicted []uint64               `cbor:"5,keyasint,omitempty"`
	// Familiar are suspects that had completed before they were lost.
	Familiar []uint64 `cbor:"7,keyasint,omitempty"`
	// Probes are requests for probes.
	Probes []protocol.ProbeRequest `cbor:"6,keyasint,omitempty"`
}

// Departure records that targets of one instance leave.
type Departure struct {
	Instance     string   `cbor:"1,keyasint"`
	Incarnations []string `cbor:"2,keyasint"`
}

// Encode returns the encoded command with the leader's time. Errors: Internal.
func (c Command) Encode(now time.Duration) ([]byte, error) {
	c.Now = int64(now)
	b, err := canonical.Marshal(c)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode a command of the target log")
	}
	return b, nil
}

var canonical = mustCanonical()

func mustCanonical() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}
