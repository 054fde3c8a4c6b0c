package daemon

import (
	"net"

	"github.com/oklog/run"

	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/process/control"
)

// buildControl opens the control role where the settings ask for it.
func (d *Daemon) buildControl() error {
	s := d.settings
	if !s.Control.Enabled {
		return nil
	}
	role, err := control.NewRole(control.RoleOptions{
		Folder:       s.Data,
		Address:      s.Advertise.Control,
		Replicas:     func() []string { return s.Replicas },
		LedgerShards: s.Control.LedgerShards,
		Heartbeat:    s.Control.Heartbeat,
		Election:     s.Control.Election,
		Caller:       d.pool,
		Recorder:     d.ring,
		Log:          d.log,
	})
	if err != nil {
		return err
	}
	d.control = role
	d.closers = append(d.closers, role)
	return nil
}

// addControl adds the actors of the control role, if this process has it.
func (d *Daemon) addControl(g *run.Group, ln net.Listener) {
	if d.control == nil {
		return
	}
	server := rpc.NewServer(d.id, d.control.Handlers(), d.log)
	addLoop(g, d.control.Run)
	g.Add(func() error { return server.Run(ln) }, func(error) { _ = server.Close() })
}
