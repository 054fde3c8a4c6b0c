package envelope

import (
	"net/netip"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// idLength is the length of an ID, in hexadecimal digits.
	idLength = 32
	// MaxOnceKey is the maximum length of an Idempotency-Key, in bytes.
	MaxOnceKey = 256
	// maxNameLength is the maximum length of a team, a service and a key ID, in bytes.
	maxNameLength = 256
)

// Validate returns BadRequest if a field is missing or out of range.
func (e *Envelope) Validate() error {
	switch {
	case !ValidID(e.RequestID):
		return invalidField("request ID")
	case !ValidID(e.AttemptID):
		return invalidField("attempt ID")
	case !validName(e.Team):
		return invalidField("team")
	case len(e.KeyID) > maxNameLength:
		return invalidField("key ID")
	case !validName(e.Service):
		return invalidField("service")
	}
	return e.validateLimits()
}

func (e *Envelope) validateLimits() error {
	switch {
	case !e.Importance.Valid():
		return invalidField("importance")
	case e.Cohort >= CohortCount:
		return invalidField("cohort")
	case e.Depth == 0:
		return invalidField("depth")
	case e.Remaining <= 0 || e.Remaining > version.MaxTimeout:
		return invalidField("remaining time")
	}
	return e.validateRootAndMode()
}

func (e *Envelope) validateRootAndMode() error {
	if _, err := netip.ParseAddrPort(e.Root); err != nil {
		return invalidField("root address")
	}
	switch e.Mode {
	case version.Idempotent:
		if e.OnceKey != "" {
			return invalidField("idempotency key")
		}
	case version.Once:
		if !ValidOnceKey(e.OnceKey) {
			return invalidField("idempotency key")
		}
	default:
		return invalidField("mode")
	}
	return nil
}

// ValidID reports whether id is 32 lower-case hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for i := range len(id) {
		c := id[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// ValidOnceKey reports whether key is a valid Idempotency-Key: 1 to MaxOnceKey
// printable ASCII characters.
func ValidOnceKey(key string) bool {
	if key == "" || len(key) > MaxOnceKey {
		return false
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

func validName(name string) bool { return name != "" && len(name) <= maxNameLength }

func invalidField(field string) error {
	return fault.New(fault.BadRequest, "the request envelope has a missing or invalid %s", field)
}
