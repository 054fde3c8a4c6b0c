// Package daemon assembles teaselrackd: the listeners of the data path, the
// renewal loop, and the control role if the settings enable it.
package daemon

import (
	"context"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/peer"
	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/connection/target"
	"github.com/teaselrack/teaselrack/internal/process/admission"
	"github.com/teaselrack/teaselrack/internal/process/announce"
	"github.com/teaselrack/teaselrack/internal/process/clock"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/control"
	"github.com/teaselrack/teaselrack/internal/process/events"
	"github.com/teaselrack/teaselrack/internal/process/ledger"
	"github.com/teaselrack/teaselrack/internal/process/lifecycle"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/process/renewal"
	"github.com/teaselrack/teaselrack/internal/process/routing"
	"github.com/teaselrack/teaselrack/internal/process/settings"
	"github.com/teaselrack/teaselrack/internal/request/inflight"
	"github.com/teaselrack/teaselrack/internal/request/permit"
)

// Daemon is one teaselrackd process. Create it with New, then call Run once.
type Daemon struct {
	settings *settings.Settings
	log      *zap.Logger
	identity *mesh.Identity
	drain    *drain.Drain
	// clock is that of leases and tokens.
	clock *clock.Clock

	events        *events.Ring
	pool          *rpc.Pool
	peerClient    *peer.Client
	targetClient  *target.Client
	configuration *configuration.Holder
	registry      *registry.Table
	quota         *quota.Holder
	ledger        *ledger.Client
	router        *routing.Router
	admission     *admission.Controller
	permits       *permit.Allocator
	inFlight      *inflight.Table
	localTargets  *announce.Registry
	renewal       *renewal.Loop
	control       *control.Role

	// group holds the components of the process.
	group *lifecycle.Group
}

// New creates a daemon from validated settings. It opens the data directory of
// the control role. It does not start anything. Errors: SettingsInvalid,
// StorageFailed, Damaged.
func New(s *settings.Settings, log *zap.Logger) (*Daemon, error) {
	identity, err := mesh.LoadIdentity(s.Mesh.Authority, s.Mesh.Certificate, s.Mesh.Key)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, log: log, identity: identity, drain: drain.New(), clock: clock.New(), group: lifecycle.New(log)}
	if err := d.build(); err != nil {
		d.group.Close()
		return nil, err
	}
	return d, nil
}

// Run serves until ctx ends, then shuts down gracefully. It returns early with
// an error if a component fails, for example with StorageFailed.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.group.Close()
	l, err := listen(d.settings.Listen, d.settings.Limits)
	if err != nil {
		return err
	}
	d.addServers(ctx, l)
	d.group.AddLoop("renewal", d.renewal.Run)
	d.group.AddLoop("quota", d.quota.Run)
	d.group.AddLoop("local targets", d.localTargets.Run)
	d.addControl(l.control)
	d.log.Info("daemon started", zap.String("ingress", l.ingress.Addr().String()))
	return d.group.Run()
}

// closeFunc adapts a function to io.Closer.
type closeFunc func()

// Close implements io.Closer.
func (f closeFunc) Close() error {
	f()
	return nil
}
