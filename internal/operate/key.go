package operate

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// keyBytes is the length of a caller's key before it is encoded.
	keyBytes  = 32
	keyPrefix = "tr_"
)

// NewKey is a caller's key that has just been made. The secret is shown once
// and stored nowhere.
type NewKey struct {
	Secret string
	// ID is the public id of the key.
	ID string
	// Line is the entry for added.keys in a release note.
	Line string
}

// MakeKey makes a key for a team.
func MakeKey(team string) (NewKey, error) {
	if !namePattern.MatchString(team) {
		return NewKey{}, fault.New(fault.BadRequest, "the team %q must be lower-case letters, digits and hyphens", team)
	}
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return NewKey{}, fault.Wrap(fault.Internal, err, "draw a key")
	}
	secret := keyPrefix + base64.RawURLEncoding.EncodeToString(raw)
	hash := version.HashKey(secret)
	line := fmt.Sprintf("- {team: %s, hash: %q}", team, hash)
	return NewKey{Secret: secret, ID: version.KeyID(hash), Line: line}, nil
}
