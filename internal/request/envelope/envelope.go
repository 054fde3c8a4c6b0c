// Package envelope holds the request context that daemons pass to each other
// over peer links. Only a process with a mesh certificate may send one.
package envelope

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/version"
)

// MaxDepth is the number of hops a call chain may have.
const MaxDepth = 32

// CohortCount is the number of cohorts that split one importance.
const CohortCount = 128

// Envelope is the context of one request as one hop passes it on. It holds no
// key and no clock reading: the deadline travels as the time that remains.
type Envelope struct {
	// RequestID is the same at every hop: 32 hexadecimal digits.
	RequestID string `cbor:"1,keyasint"`
	// AttemptID is new for each attempt of each hop: 32 hexadecimal digits.
	AttemptID string `cbor:"2,keyasint"`
	Team      string `cbor:"3,keyasint"`
	// KeyID is the public id of the key the request came with, empty on open
	// routes.
	KeyID      string             `cbor:"4,keyasint,omitempty"`
	Importance version.Importance `cbor:"5,keyasint"`
	// Cohort is fixed at the root for the whole chain, below CohortCount.
	Cohort uint8 `cbor:"6,keyasint"`
	// Depth is 1 at the daemon beside the first target.
	Depth uint8 `cbor:"7,keyasint"`
	// Remaining is the time until the deadline, as seen when the hop was sent.
	Remaining time.Duration `cbor:"8,keyasint"`
	// Root is the peer address of the root daemon, which grants retry permits.
	Root string `cbor:"9,keyasint"`
	// Service is the service of the target that this hop wants.
	Service string `cbor:"10,keyasint"`
	// Mode says whether this hop may be repeated.
	Mode version.Mode `cbor:"11,keyasint"`
	// OnceKey is the Idempotency-Key of a once hop.
	OnceKey string `cbor:"12,keyasint,omitempty"`
	// Version is the configuration version at the root when the request began.
	Version uint64 `cbor:"13,keyasint"`
}
