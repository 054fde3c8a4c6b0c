package daemon

import (
	"context"
	"net"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/process/settings"
)

// listeners are the open listeners of a daemon. control is nil without the
// control role.
type listeners struct {
	ingress, peer, egress, announce, operators, control net.Listener
	// opened are the listeners below those that the guard limits.
	opened []*listener.Listener
	guard  *listener.Guard
}

// refuseNew makes the listeners refuse new connections.
func (l *listeners) refuseNew(log *zap.Logger) {
	for _, opened := range l.opened {
		if err := opened.RefuseNew(); err != nil {
			log.Info("connections that are opened while the listener closes may be reset", zap.Stringer("address", opened.Addr()), zap.Error(err))
		}
	}
}

// listen opens all listeners. If one fails, it closes the others.
// Errors: SettingsInvalid.
func listen(addresses settings.Listen, limits settings.Limits) (*listeners, error) {
	l := &listeners{guard: listener.NewGuard(capacity(limits))}
	wanted := []struct {
		address  string
		listener *net.Listener
		open     func(ln net.Listener, part float64) (net.Listener, error)
		part     float64
	}{
		{addresses.Ingress, &l.ingress, l.guard.Listen, listener.TrafficShare},
		{addresses.Peer, &l.peer, l.guard.ListenLinks, listener.TrafficShare},
		{addresses.Egress, &l.egress, l.guard.Listen, listener.TrafficShare},
		{addresses.Announce, &l.announce, l.guard.Listen, listener.CallShare},
		{addresses.Operators, &l.operators, l.guard.Listen, listener.CallShare},
		{addresses.Control, &l.control, l.guard.ListenLinks, listener.TrafficShare},
	}
	for i, endpoint := range wanted {
		if endpoint.address == "" {
			continue
		}
		ln, err := listener.Listen(context.Background(), endpoint.address)
		if err == nil {
			l.opened = append(l.opened, ln)
			if *endpoint.listener, err = endpoint.open(ln, endpoint.part); err == nil {
				continue
			}
			_ = ln.Close()
		}
		for _, earlier := range wanted[:i] {
			if *earlier.listener != nil {
				_ = (*earlier.listener).Close()
			}
		}
		return nil, err
	}
	return l, nil
}

// capacity returns what clients may hold of the process at the same time.
func capacity(limits settings.Limits) listener.Capacity {
	c := listener.CapacityFor(limits.MemoryBytes, 0)
	c.Connections = min(c.Connections, limits.Connections)
	return c
}
