package node

import (
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// coldRate returns the number of requests per second that a cold local target
// may get, or 0 if its service states no limit.
func (n *Node) coldRate() float64 {
	s, _ := n.configuration.Current().Service(n.options.Traffic.Service)
	if factor := n.options.Traffic.ColdOverage; factor > 0 {
		return s.ColdRate * factor
	}
	return s.ColdRate
}

// targetPermitted returns nil if the configuration allows the local target to get new
// requests. Errors: see local.Options.Permitted.
func (n *Node) targetPermitted() error {
	state := n.configuration.Current()
	switch {
	case state.Number() == 0:
		return fault.New(fault.LeaseExpired, "the daemon of the target has received no configuration yet")
	case !state.DomainInService(n.options.FailureDomain):
		return fault.New(fault.OutOfService, "the failure domain is out of service")
	}
	return nil
}

func (n *Node) announcements() []protocol.Announcement {
	a, ok := n.target.Announcement()
	if !ok {
		return nil
	}
	return []protocol.Announcement{a}
}
