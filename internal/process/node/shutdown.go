package node

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// addShutdown adds the actor that waits for ctx and then shuts down gracefully.
func (n *Node) addShutdown(ctx context.Context, servers []*http.Server) {
	stopped, stop := context.WithCancel(context.Background())
	n.group.Add("shutdown", func() error {
		select {
		case <-ctx.Done():
			n.shutDown(stopped, servers)
		case <-stopped.Done():
		}
		return nil
	}, func(error) { stop() })
}

func (n *Node) shutDown(ctx context.Context, servers []*http.Server) {
	n.log.Info("graceful shutdown started", zap.Duration("within", n.options.ShutdownTimeout))
	n.drain.Begin()
	last := time.Now().Add(n.options.ShutdownTimeout - lastCallsMargin)
	if len(servers) > 0 {
		n.drainRequests(ctx, servers)
	}
	n.finishCalls(ctx, min(time.Until(last), lastCallsTimeout))
}

// finishCalls lets the handlers end the calls that they have begun, within timeout, and take
// no others.
func (n *Node) finishCalls(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var group errgroup.Group
	for _, server := range n.handlerServers {
		group.Go(func() error { return server.Shutdown(ctx) })
	}
	if err := group.Wait(); err != nil {
		n.log.Warn("calls were interrupted during shutdown", zap.Error(err))
	}
}

// drainRequests ends the requests of the servers.
func (n *Node) drainRequests(ctx context.Context, servers []*http.Server) {
	unlist := time.AfterFunc(min(unlistDelay, n.options.ShutdownTimeout/4), func() {
		n.unlisted.Store(true)
		n.renewNow()
	})
	defer unlist.Stop()
	n.drain.UntilIdle = true
	n.drain.RefuseNew = n.refuseNew
	n.drain.AnnouncePeriod = min(drainAnnouncePeriod, n.options.ShutdownTimeout/2)
	n.drain.GracePeriod = max(n.options.ShutdownTimeout-2*shutdownMargin, 0)
	ctx, cancel := context.WithTimeout(ctx, n.options.ShutdownTimeout-shutdownMargin)
	defer cancel()
	if err := n.drain.Run(ctx, servers...); err != nil {
		n.log.Warn("requests were interrupted during shutdown", zap.Error(err))
	}
}

// refuseNew makes the listeners for requests refuse new connections.
func (n *Node) refuseNew() {
	for _, ln := range n.refusable {
		if err := ln.RefuseNew(); err != nil {
			n.log.Info("connections that are opened while the listener closes may be reset", zap.Stringer("address", ln.Addr()), zap.Error(err))
		}
	}
}
