package version

import (
	"crypto/rand"
	"encoding/base32"
	"strings"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// secretPrefix lets people and secret scanners recognize a key.
	secretPrefix = "tsl_"
	// secretBytes is the number of random bytes in a key.
	secretBytes = 20
)

// NewKey generates a caller's key at random. The secret goes to the caller and
// is never stored; the hash goes into a release note.
func NewKey() (secret, hash string, err error) {
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", "", fault.Wrap(fault.Internal, err, "generate a key")
	}
	secret = secretPrefix + strings.ToLower(base32.StdEncoding.EncodeToString(raw))
	return secret, HashKey(secret), nil
}
