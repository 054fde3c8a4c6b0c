package daemon

import (
	"net"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/settings"
)

// listeners are the open listeners of a daemon; control is nil without the
// control role.
type listeners struct {
	ingress, peer, egress, announce, operators, control net.Listener
}

// listen opens every listener, or none. Errors: SettingsInvalid.
func listen(at settings.Listen) (*listeners, error) {
	l := new(listeners)
	wanted := []struct {
		address string
		place   *net.Listener
	}{
		{at.Ingress, &l.ingress},
		{at.Peer, &l.peer},
		{at.Egress, &l.egress},
		{at.Announce, &l.announce},
		{at.Operators, &l.operators},
		{at.Control, &l.control},
	}
	for i, w := range wanted {
		if w.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", w.address)
		if err == nil {
			*w.place = ln
			continue
		}
		for _, earlier := range wanted[:i] {
			if *earlier.place != nil {
				_ = (*earlier.place).Close()
			}
		}
		return nil, fault.Wrap(fault.SettingsInvalid, err, "listen on %s: %s", w.address, err)
	}
	return l, nil
}
