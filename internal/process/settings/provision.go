package settings

import (
	"cmp"
	"path/filepath"
)

// Provision sets each field that is zero to its default and resolves relative
// file names against dir.
func (s *Settings) Provision(dir string) {
	s.Region = cmp.Or(s.Region, DefaultRegion)
	s.Renew = cmp.Or(s.Renew, DefaultRenewInterval)
	s.Drain = cmp.Or(s.Drain, DefaultDrainTimeout)
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
	c.Heartbeat = cmp.Or(c.Heartbeat, DefaultHeartbeatInterval)
	c.Election = cmp.Or(c.Election, DefaultElectionTimeout)
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
