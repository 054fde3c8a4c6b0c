package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/connection/peer"
	"github.com/teaselrack/teaselrack/internal/process/events"
	"github.com/teaselrack/teaselrack/internal/request/hop"
)

// closeTimeout is how long a shutdown waits for in-flight requests after the
// drain period.
const closeTimeout = 5 * time.Second

// servers are the HTTP servers of a daemon.
type servers struct {
	ingress, peer, egress, announce, operators *http.Server
}

// newServers creates the servers. Those that serve requests take part in the graceful
// shutdown.
func (d *Daemon) newServers() *servers {
	deps := d.hopDeps()
	errorLog := zap.NewStdLog(d.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))
	root, forwarded, egress := hop.NewRoot(deps), hop.NewPeer(deps), hop.NewEgress(deps)
	s := &servers{
		ingress:   d.callerServer(root),
		peer:      peer.NewServer(d.identity, d.peerHandler(forwarded), peer.ServerOptions{ErrorLog: errorLog}),
		egress:    d.callerServer(egress),
		announce:  d.callerServer(d.localTargets),
		operators: d.callerServer(d.operatorsHandler()),
	}
	d.drain.Track(s.ingress, "ingress", root)
	d.drain.Track(s.peer, "peer", forwarded)
	d.drain.Track(s.egress, "egress", egress)
	return s
}

// addServers adds an actor for each HTTP listener, and the actor that shuts the
// daemon down after ctx has ended and then ends the group.
func (d *Daemon) addServers(ctx context.Context, l *listeners) {
	d.drain.Log = d.log
	s := d.newServers()
	d.drain.RefuseNew = func() { l.refuseNew(d.log) }
	d.addShutdown(ctx, s)
	for _, server := range []*http.Server{s.ingress, s.egress, s.announce, s.operators, s.peer} {
		l.guard.Protect(server)
	}
	d.addServer("ingress", s.ingress, l.ingress, false)
	d.addServer("egress", s.egress, l.egress, false)
	d.addServer("announcements", s.announce, l.announce, false)
	d.addServer("operators", s.operators, l.operators, false)
	d.addServer("peer", s.peer, l.peer, true)
}

// addShutdown adds the actor that waits for ctx and then shuts down in phases:
// it announces the shutdown to the senders of requests, waits until the
// callers' connections have ended, and then stops the servers, the callers'
// server first.
func (d *Daemon) addShutdown(ctx context.Context, s *servers) {
	stopped, stop := context.WithCancel(context.Background())
	d.group.Add("shutdown", func() error {
		select {
		case <-ctx.Done():
			d.shutDown(stopped, s)
		case <-stopped.Done():
		}
		return nil
	}, func(error) { stop() })
}

func (d *Daemon) shutDown(ctx context.Context, s *servers) {
	drainTimeout := d.settings.DrainTimeout
	d.log.Info("graceful shutdown started", zap.Duration("drain", drainTimeout))
	d.drain.AnnouncePeriod = min(drain.DefaultAnnouncePeriod, drainTimeout)
	d.drain.GracePeriod = drainTimeout
	d.drain.Begin()
	d.renewal.RenewNow()
	ctx, cancel := context.WithTimeout(ctx, drainTimeout+closeTimeout)
	defer cancel()
	if err := d.drain.Run(ctx, s.ingress, s.peer, s.egress); err != nil {
		d.log.Warn("requests were interrupted during shutdown", zap.Error(err))
	}
}

func (d *Daemon) hopDeps() hop.Deps {
	s := d.settings
	return hop.Deps{
		Instance:      s.Instance,
		FailureDomain: s.FailureDomain,
		PeerAddress:   s.Advertise.Peer,
		BodyLimit:     s.Limits.BodyBytes,
		HeaderLimit:   s.Limits.HeaderBytes,
		Configuration: d.configuration,
		Quota:         d.quota,
		Ledger:        d.ledger,
		Router:        d.router,
		Admission:     d.admission,
		Permits:       d.permits,
		Recorder:      d.events,
		InFlight:      d.inFlight,
		Peers:         events.NewTimestampedLink(d.events, d.peerClient),
		Targets:       d.targetClient,
		LocalTargets:  d.localTargets,
	}
}

// callerServer returns a server for plain HTTP/1.1 and HTTP/2. The handler
// rejects a header block above the configured limit with its own kind of error,
// so the limit of the server itself is higher.
func (d *Daemon) callerServer(handler http.Handler) *http.Server {
	limit := max(listener.HeaderLimit, 2*d.settings.Limits.HeaderBytes)
	return listener.NewServer(handler, listener.Options{HeaderLimit: limit})
}

// addServer adds the component of one server. The component of a server that was shut
// down returns only when the group ends, because the return of any component ends
// the group before the shutdown is complete.
func (d *Daemon) addServer(name string, server *http.Server, ln net.Listener, withTLS bool) {
	stop := make(chan struct{})
	d.group.Add(name, func() error {
		err := serve(server, ln, withTLS)
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-stop
		return nil
	}, func(error) {
		close(stop)
		_ = server.Close()
	})
}

func serve(server *http.Server, ln net.Listener, withTLS bool) error {
	if withTLS {
		return server.ServeTLS(ln, "", "")
	}
	return server.Serve(ln)
}
