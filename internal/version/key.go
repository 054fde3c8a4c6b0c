package version

import (
	"crypto/rand"
	"encoding/base32"
	"strings"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// keyPrefix lets people and secret scanners know a key.
	keyPrefix = "tsl_"
	// keyBytes is the number of random bytes in a key.
	keyBytes = 20
)

// NewKey draws a new caller's key. The secret goes to the caller and is never
// stored; the hash goes into a release note.
func NewKey() (secret, hash string, err error) {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", "", fault.Wrap(fault.Internal, err, "draw a key")
	}
	secret = keyPrefix + strings.ToLower(base32.StdEncoding.EncodeToString(raw))
	return secret, HashKey(secret), nil
}
