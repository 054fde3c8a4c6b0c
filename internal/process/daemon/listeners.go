package daemon

import (
	"context"
	"net"

	"golang.org/x/net/netutil"

	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/process/settings"
)

// listeners are the open listeners of a daemon; control is nil without the
// control role.
type listeners struct {
	ingress, peer, egress, announce, operators, control net.Listener
}

// listen opens every listener, or none, each for at most this number of
// connections at once. Errors: SettingsInvalid.
func listen(at settings.Listen, connections int) (*listeners, error) {
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
		ln, err := listener.Listen(context.Background(), w.address)
		if err == nil {
			*w.place = netutil.LimitListener(ln, connections)
			continue
		}
		for _, earlier := range wanted[:i] {
			if *earlier.place != nil {
				_ = (*earlier.place).Close()
			}
		}
		return nil, err
	}
	return l, nil
}
