package envelope

import (
	"net/netip"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	idLength = 32
	// MaxOnceKey is the longest Idempotency-Key, in bytes.
	MaxOnceKey = 256
	maxName    = 256
)

// Validate returns BadRequest where a field is missing or out of range.
func (e *Envelope) Validate() error {
	switch {
	case !ValidID(e.RequestID):
		return invalid("request id")
	case !ValidID(e.AttemptID):
		return invalid("attempt id")
	case !validName(e.Team):
		return invalid("team")
	case len(e.KeyID) > maxName:
		return invalid("key id")
	case !validName(e.Service):
		return invalid("service")
	}
	return e.validateLimits()
}

func (e *Envelope) validateLimits() error {
	switch {
	case !e.Importance.Valid():
		return invalid("importance")
	case e.Cohort >= CohortCount:
		return invalid("cohort")
	case e.Depth == 0:
		return invalid("depth")
	case e.Remaining <= 0 || e.Remaining > version.MaxTimeout:
		return invalid("remaining time")
	}
	return e.validateMode()
}

func (e *Envelope) validateMode() error {
	if _, err := netip.ParseAddrPort(e.Root); err != nil {
		return invalid("root address")
	}
	switch e.Mode {
	case version.Idempotent:
		if e.OnceKey != "" {
			return invalid("idempotency key")
		}
	case version.Once:
		if !ValidOnceKey(e.OnceKey) {
			return invalid("idempotency key")
		}
	default:
		return invalid("mode")
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

// ValidOnceKey reports whether key may serve as an Idempotency-Key: 1 to
// MaxOnceKey printable ASCII characters.
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

func validName(name string) bool { return name != "" && len(name) <= maxName }

func invalid(field string) error {
	return fault.New(fault.BadRequest, "the request context holds no valid %s", field)
}
