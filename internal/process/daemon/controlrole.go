package daemon

import (
	"net"

	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/process/control"
)

// buildControl creates the control role if the settings enable it.
func (d *Daemon) buildControl() error {
	s := d.settings
	if !s.Control.Enabled {
		return nil
	}
	role, err := control.NewRole(control.RoleOptions{
		DataDir:           s.DataDir,
		Address:           s.Advertise.Control,
		FailureDomain:     s.FailureDomain,
		Replicas:          func() []string { return s.Replicas },
		LedgerShards:      s.Control.LedgerShards,
		HeartbeatInterval: s.Control.HeartbeatInterval,
		ElectionTimeout:   s.Control.ElectionTimeout,
		Caller:            d.pool,
		Recorder:          d.events,
		Log:               d.log,
	})
	if err != nil {
		return err
	}
	d.control = role
	d.group.AddCloser("control role", role)
	return nil
}

// addControl adds the actors of the control role if this process has it.
func (d *Daemon) addControl(ln net.Listener) {
	if d.control == nil {
		return
	}
	server := rpc.NewServer(d.identity, d.control.Handlers(), d.log)
	d.group.AddLoop("control role", d.control.Run)
	d.group.Add("control links", func() error { return server.Run(ln) }, func(error) { _ = server.Close() })
}
