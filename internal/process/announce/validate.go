package announce

import (
	"net/netip"
	"regexp"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	maxSlots       = 100_000
	maxConnections = 1_000_000
	maxIncarnation = 128
)

// serviceName is the form of a service's name, as release notes write it.
var serviceName = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

func validate(a protocol.Announcement) error {
	if !serviceName.MatchString(a.Service) {
		return fault.New(fault.BadRequest, "service %q is not a name", a.Service)
	}
	if err := validateAddress(a.Address); err != nil {
		return err
	}
	switch {
	case a.Incarnation == "" || len(a.Incarnation) > maxIncarnation:
		return fault.New(fault.BadRequest, "incarnation has not 1 to %d bytes", maxIncarnation)
	case a.Slots < 1 || a.Slots > maxSlots:
		return fault.New(fault.BadRequest, "slots is not within 1 and %d", maxSlots)
	case a.Connections < 1 || a.Connections > maxConnections:
		return fault.New(fault.BadRequest, "connections is not within 1 and %d", maxConnections)
	}
	switch a.State {
	case protocol.Cold, protocol.Warm, protocol.Leaving:
		return nil
	}
	return fault.New(fault.BadRequest, "state %q is none of cold, warm, leaving", a.State)
}

func validateAddress(address string) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 {
		return fault.New(fault.BadRequest, "address %q is not IP:port", address)
	}
	if !ap.Addr().IsLoopback() {
		return fault.New(fault.Forbidden, "address %s is not on loopback", address)
	}
	return nil
}
