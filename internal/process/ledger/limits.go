package ledger

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// Limits bounds one shard of the ledger. Every replica must use the same values.
type Limits struct {
	// Retention is how long a record is kept after it was granted.
	Retention time.Duration
	// FenceTTL is how long a fence is kept. It must exceed the longest time that
	// a claim can take to arrive.
	FenceTTL time.Duration
	// Entries is the largest number of records and fences together.
	Entries int
	// Bytes is the largest total size of records and fences, including stored
	// responses.
	Bytes int
}

// DefaultLimits returns the limits of a shard in production.
func DefaultLimits() Limits {
	return Limits{
		Retention: 24 * time.Hour,
		FenceTTL:  10 * time.Minute,
		Entries:   1 << 19,
		Bytes:     512 << 20,
	}
}

const (
	// MaxResponseHeader is the size that the status and headers of a stored response
	// may add to the largest body, protocol.MaxStoredResponse, in bytes.
	MaxResponseHeader = 16 << 10
	// MaxStringLength is the largest length of each string in a command, in bytes.
	MaxStringLength = 512
	// entryOverhead is the size that an entry counts in addition to its strings,
	// in bytes.
	entryOverhead = 256
	// responseReserveDivisor sets the part of Bytes that only stored responses may
	// use, Bytes/responseReserveDivisor, so that a request that was granted can
	// store its response.
	responseReserveDivisor = 8
	// maxExpiries bounds the number of expired records, and of expired fences,
	// that one command removes, so that no command is slow. Expired entries that
	// have not been removed are ignored.
	maxExpiries = 256
)

// validRequest reports whether a command names an attempt and a key, and has no
// string longer than MaxStringLength.
func validRequest(r protocol.OnceRequest) bool {
	for _, text := range []string{r.Key.Team, r.Key.Service, r.Key.Key, r.Attempt, r.Digest} {
		if len(text) > MaxStringLength {
			return false
		}
	}
	return r.Attempt != "" && r.Key.Key != ""
}
