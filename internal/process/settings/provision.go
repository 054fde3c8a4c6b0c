package settings

import (
	"cmp"
	"path/filepath"
)

// Provision sets each field that is zero to its default and resolves relative
// file names against dir.
func (s *Settings) Provision(dir string) {
	s.Region = cmp.Or(s.Region, DefaultRegion)
	s.RenewInterval = cmp.Or(s.RenewInterval, DefaultRenewInterval)
	s.DrainTimeout = cmp.Or(s.DrainTimeout, DefaultDrainTimeout)
	s.Log.Format = cmp.Or(s.Log.Format, DefaultLogFormat)
	s.Log.Level = cmp.Or(s.Log.Level, DefaultLogLevel)
	s.Advertise.Peer = cmp.Or(s.Advertise.Peer, s.Listen.Peer)
	s.Advertise.Control = cmp.Or(s.Advertise.Control, s.Listen.Control)
	s.Control.provision()
	s.Limits.provision()
	for _, name := range []*string{&s.Mesh.Authority, &s.Mesh.Certificate, &s.Mesh.Key, &s.DataDir} {
		*name = resolve(dir, *name)
	}
}

func (c *Control) provision() {
	c.LedgerShards = cmp.Or(c.LedgerShards, DefaultLedgerShards)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.ElectionTimeout = cmp.Or(c.ElectionTimeout, DefaultElectionTimeout)
}

func (l *Limits) provision() {
	l.BodyBytes = cmp.Or(l.BodyBytes, DefaultBodyBytes)
	l.HeaderBytes = cmp.Or(l.HeaderBytes, DefaultHeaderBytes)
	l.Connections = cmp.Or(l.Connections, DefaultConnections)
	l.MemoryBytes = cmp.Or(l.MemoryBytes, DefaultMemoryBytes)
}

func resolve(dir, name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(dir, name)
}
