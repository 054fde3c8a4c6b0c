package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/peer"
	"github.com/teaselrack/teaselrack/internal/request/hop"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// closeTimeout bounds waiting for requests that still run after the drain.
	closeTimeout = 5 * time.Second
)

// addServers adds one actor for each HTTP listener.
func (d *Daemon) addServers(g *run.Group, l *listeners) {
	deps := d.hopDeps()
	errorLog := zap.NewStdLog(d.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))
	peerServer := peer.NewServer(d.id, d.peerHandler(hop.NewBeside(deps)), peer.ServerOptions{ErrorLog: errorLog})
	addServer(g, d.callerServer(hop.NewRoot(deps)), l.ingress, false)
	addServer(g, d.callerServer(hop.NewEgress(deps)), l.egress, false)
	addServer(g, d.callerServer(d.announced), l.announce, false)
	addServer(g, d.callerServer(d.operatorsHandler()), l.operators, false)
	addServer(g, peerServer, l.peer, true)
}

func (d *Daemon) hopDeps() hop.Deps {
	s := d.settings
	return hop.Deps{
		Instance:      s.Instance,
		FailureDomain: s.FailureDomain,
		PeerAddress:   s.Advertise.Peer,
		BodyLimit:     s.Limits.Body,
		Configuration: d.holder,
		Quota:         d.quota,
		Ledger:        d.ledger,
		Router:        d.router,
		Admission:     d.admission,
		Permits:       d.permits,
		Recorder:      d.ring,
		Running:       d.running,
		Peers:         d.peers,
		Targets:       d.targets,
		Announced:     d.announced,
	}
}

// callerServer returns a server for plain HTTP/1.1 and HTTP/2.
func (d *Daemon) callerServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		MaxHeaderBytes:    d.settings.Limits.Header,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

func addServer(g *run.Group, server *http.Server, ln net.Listener, withTLS bool) {
	g.Add(func() error {
		err := serve(server, ln, withTLS)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	})
}

func serve(server *http.Server, ln net.Listener, withTLS bool) error {
	if withTLS {
		return server.ServeTLS(ln, "", "")
	}
	return server.Serve(ln)
}
