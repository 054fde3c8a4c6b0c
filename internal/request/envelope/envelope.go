// Package envelope defines the request metadata that daemons send to each other
// over peer links. Only a process with the mesh certificate of a daemon or a replica
// may send an envelope.
package envelope

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/version"
)

// MaxDepth is the maximum number of hops of a call chain.
const MaxDepth = 32

// CohortCount is the number of cohorts into which the requests of one importance
// are divided for load shedding.
const CohortCount = 128

// Envelope is the metadata of one attempt of one hop. It contains no API key and
// no absolute time: the deadline is sent as the remaining time, so that clocks
// need not be synchronized.
type Envelope struct {
	// RequestID identifies the request at every hop: 32 lower-case hexadecimal
	// digits.
	RequestID string `cbor:"1,keyasint"`
	// AttemptID is unique to each attempt of each hop: 32 lower-case hexadecimal
	// digits.
	AttemptID string `cbor:"2,keyasint"`
	Team      string `cbor:"3,keyasint"`
	// KeyID is the public ID of the API key of the request, empty on open routes.
	KeyID      string             `cbor:"4,keyasint,omitempty"`
	Importance version.Importance `cbor:"5,keyasint"`
	// Cohort is assigned at the root for the whole call chain. It is less than
	// CohortCount.
	Cohort uint8 `cbor:"6,keyasint"`
	// Depth is the number of hops so far: 1 at the daemon of the first target.
	Depth uint8 `cbor:"7,keyasint"`
	// Remaining is the time until the deadline at the moment of sending.
	Remaining time.Duration `cbor:"8,keyasint"`
	// Root is the peer address, IP:port, of the root daemon, which grants retry
	// permits.
	Root string `cbor:"9,keyasint"`
	// Service is the service that this hop calls.
	Service string `cbor:"10,keyasint"`
	// Mode states whether this hop may be retried after it may have run.
	Mode version.Mode `cbor:"11,keyasint"`
	// OnceKey is the Idempotency-Key if Mode is once, empty otherwise.
	OnceKey string `cbor:"12,keyasint,omitempty"`
	// Version is the configuration version at the root when the request arrived.
	Version uint64 `cbor:"13,keyasint"`
}
