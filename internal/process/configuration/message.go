package configuration

import (
	"fmt"

	"github.com/teaselrack/teaselrack/internal/version"
)

// outdatedMessage explains why an order about a failure domain is rejected whose current
// generation is another than the one that the order builds on.
func outdatedMessage(o *version.Order, current uint64) string {
	return fmt.Sprintf("the order builds on generation %d of failure domain %q, which now has generation %d", *o.IfGeneration, o.Domain.Name, current)
}

// gapMessage explains why a note whose number is not above current cannot be compared
// with the accepted one.
func gapMessage(number, current uint64) string {
	return fmt.Sprintf("the note has number %d, the current number is %d, and the note accepted with that earlier number is no longer kept", number, current)
}

// conflictMessage explains a conflict with the note that was accepted with number.
func conflictMessage(number uint64, acceptedDigest, digest string) string {
	return fmt.Sprintf("note %d was accepted with digest %s, but this note has digest %s", number, acceptedDigest, digest)
}
