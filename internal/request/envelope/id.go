package envelope

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// NewID returns a random 128-bit ID as 32 lower-case hexadecimal digits. It is
// used for requests, attempts and handles.
func NewID() string {
	var b [idLength / 2]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// CohortOf returns the cohort of a request, a hash of its ID.
func CohortOf(requestID string) uint8 {
	return uint8(xxhash.Sum64String(requestID) % CohortCount)
}
