package operate

import (
	"fmt"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
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
	secret, hash, err := version.NewKey()
	if err != nil {
		return NewKey{}, err
	}
	line := fmt.Sprintf("- {team: %s, hash: %q}", team, hash)
	return NewKey{Secret: secret, ID: version.KeyID(hash), Line: line}, nil
}
