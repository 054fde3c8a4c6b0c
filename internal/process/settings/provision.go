package settings

import (
	"cmp"
	"path/filepath"
)

// Provision fills in the default of each field that is zero and resolves file
// names against dir.
func (s *Settings) Provision(dir string) {
	s.Region = cmp.Or(s.Region, DefaultRegion)
	s.Renew = cmp.Or(s.Renew, DefaultRenew)
	s.Drain = cmp.Or(s.Drain, DefaultDrain)
	s.Log.Format = cmp.Or(s.Log.Format, DefaultLogFormat)
	s.Log.Level = cmp.Or(s.Log.Level, DefaultLogLevel)
	s.Advertise.Peer = cmp.Or(s.Advertise.Peer, s.Listen.Peer)
	s.Advertise.Control = cmp.Or(s.Advertise.Control, s.Listen.Control)
	s.Control.provision()
	s.Limits.provision()
	for _, name := range []*string{&s.Mesh.Authority, &s.Mesh.Certificate, &s.Mesh.Key, &s.Data} {
		*name = resolve(dir, *name)
	}
}

func (c *Control) provision() {
	c.LedgerShards = cmp.Or(c.LedgerShards, DefaultLedgerShards)
	c.Heartbeat = cmp.Or(c.Heartbeat, DefaultHeartbeat)
	c.Election = cmp.Or(c.Election, DefaultElection)
}

func (l *Limits) provision() {
	l.Body = cmp.Or(l.Body, DefaultBody)
	l.Header = cmp.Or(l.Header, DefaultHeader)
	l.Connections = cmp.Or(l.Connections, DefaultConnections)
}

func resolve(dir, name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(dir, name)
}
