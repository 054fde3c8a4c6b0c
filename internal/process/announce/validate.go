package announce

import (
	"net/netip"
	"regexp"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const maxConnections = 1_000_000

// serviceName matches valid service names, in the same form as in release
// notes.
var serviceName = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// validate returns nil for a valid announcement. Errors: Forbidden for an
// address that is not on loopback, BadRequest otherwise.
func validate(a protocol.Announcement) error {
	if !serviceName.MatchString(a.Service) {
		return fault.New(fault.BadRequest, "invalid service name %q", a.Service)
	}
	if err := validateAddress(a.Address); err != nil {
		return err
	}
	if err := protocol.CheckIncarnation(a.Incarnation); err != nil {
		return err
	}
	if err := protocol.CheckSlots(a.Slots); err != nil {
		return err
	}
	if a.Connections < 1 || a.Connections > maxConnections {
		return fault.New(fault.BadRequest, "connections must be between 1 and %d", maxConnections)
	}
	return protocol.CheckState(a.State)
}

func validateAddress(address string) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 {
		return fault.New(fault.BadRequest, "address %q is not of the form IP:port", address)
	}
	if !ap.Addr().IsLoopback() {
		return fault.New(fault.Forbidden, "address %s is not a loopback address", address)
	}
	return nil
}
