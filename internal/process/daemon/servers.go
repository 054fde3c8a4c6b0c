package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/connection/peer"
	"github.com/teaselrack/teaselrack/internal/process/events"
	"github.com/teaselrack/teaselrack/internal/request/hop"
)

// closeTimeout bounds waiting for requests that still run after the drain.
const closeTimeout = 5 * time.Second

// servers are the HTTP servers of a daemon.
type servers struct {
	ingress, peer, egress, announce, operators *http.Server
}

func (d *Daemon) newServers() *servers {
	deps := d.hopDeps()
	errorLog := zap.NewStdLog(d.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))
	return &servers{
		ingress:   d.callerServer(hop.NewRoot(deps)),
		peer:      peer.NewServer(d.id, d.peerHandler(hop.NewBeside(deps)), peer.ServerOptions{ErrorLog: errorLog}),
		egress:    d.callerServer(hop.NewEgress(deps)),
		announce:  d.callerServer(d.announced),
		operators: d.callerServer(d.operatorsHandler()),
	}
}

// addServers adds an actor for each HTTP listener, and the one that ends the
// group once ctx has ended and the daemon has left.
func (d *Daemon) addServers(ctx context.Context, g *run.Group, l *listeners) {
	s := d.newServers()
	for _, server := range []*http.Server{s.ingress, s.peer, s.egress} {
		d.drain.Track(server)
	}
	d.addLeaving(ctx, g, s)
	addServer(g, s.ingress, l.ingress, false)
	addServer(g, s.egress, l.egress, false)
	addServer(g, s.announce, l.announce, false)
	addServer(g, s.operators, l.operators, false)
	addServer(g, s.peer, l.peer, true)
}

// addLeaving adds the actor that waits for ctx and then leaves in phases:
// senders learn of it, callers' connections end, then the servers stop from
// the callers inwards.
func (d *Daemon) addLeaving(ctx context.Context, g *run.Group, s *servers) {
	stopped, stop := context.WithCancel(context.Background())
	g.Add(func() error {
		select {
		case <-ctx.Done():
			d.leave(stopped, s)
		case <-stopped.Done():
		}
		return nil
	}, func(error) { stop() })
}

func (d *Daemon) leave(ctx context.Context, s *servers) {
	wait := d.settings.Drain
	d.log.Info("leaving", zap.Duration("drain", wait))
	d.drain.Announce = min(drain.DefaultAnnounce, wait)
	d.drain.Grace = wait
	d.drain.Begin()
	d.renewal.Kick()
	ctx, cancel := context.WithTimeout(ctx, wait+closeTimeout)
	defer cancel()
	if err := d.drain.Run(ctx, s.ingress, s.peer, s.egress); err != nil {
		d.log.Warn("requests were cut off while leaving", zap.Error(err))
	}
}

func (d *Daemon) hopDeps() hop.Deps {
	s := d.settings
	return hop.Deps{
		Instance:      s.Instance,
		FailureDomain: s.FailureDomain,
		PeerAddress:   s.Advertise.Peer,
		BodyLimit:     s.Limits.Body,
		HeaderLimit:   s.Limits.Header,
		Configuration: d.holder,
		Quota:         d.quota,
		Ledger:        d.ledger,
		Router:        d.router,
		Admission:     d.admission,
		Permits:       d.permits,
		Recorder:      d.ring,
		Running:       d.running,
		Peers:         events.NewLink(d.ring, d.peers),
		Targets:       d.targets,
		Announced:     d.announced,
	}
}

// callerServer returns a server for plain HTTP/1.1 and HTTP/2. A header block
// above the limit of the settings is refused by the handler with its kind; the
// server itself reads somewhat more.
func (d *Daemon) callerServer(handler http.Handler) *http.Server {
	limit := max(listener.HeaderLimit, 2*d.settings.Limits.Header)
	return listener.NewServer(handler, listener.Options{HeaderLimit: limit})
}

// addServer adds the actor of one server. A server that was shut down keeps
// its actor until the group ends, so that leaving can go on behind it.
func addServer(g *run.Group, server *http.Server, ln net.Listener, withTLS bool) {
	stop := make(chan struct{})
	g.Add(func() error {
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
