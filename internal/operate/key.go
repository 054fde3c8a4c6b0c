package operate

import (
	"fmt"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// GeneratedKey is a new caller's key. The secret is shown once and not stored.
type GeneratedKey struct {
	Secret string
	// ID is the public ID of the key.
	ID string
	// Line is the entry for added.keys in a release note.
	Line string
}

// GenerateKey generates a caller's key for a team. Errors: BadRequest where the team
// name is not valid, Internal.
func GenerateKey(team string) (GeneratedKey, error) {
	if !namePattern.MatchString(team) {
		return GeneratedKey{}, fault.New(fault.BadRequest, "the team name %q must be lower-case letters, digits and hyphens", team)
	}
	secret, hash, err := version.NewKey()
	if err != nil {
		return GeneratedKey{}, err
	}
	line := fmt.Sprintf("- {team: %s, hash: %q}", team, hash)
	return GeneratedKey{Secret: secret, ID: version.KeyID(hash), Line: line}, nil
}
