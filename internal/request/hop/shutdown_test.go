package hop

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/peer"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/inflight"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	shutdownTime = 10 * time.Second
	slowService  = 7 * time.Second
)

// slowTargets serves targets that take slowService, and returns the number of requests
// that they got.
func (m *testMesh) slowTargets() *atomic.Int64 {
	var dispatched atomic.Int64
	m.serveTargets(0, func(http.ResponseWriter, *http.Request) {
		dispatched.Add(1)
		time.Sleep(slowService)
	})
	m.config.apply(func(n *version.Note) {
		n.Added.Routes = []version.Route{{Name: "slow", Path: "/slow", Service: "tides", Access: version.Open, Mode: version.Idempotent, Importance: version.High, Timeout: 20 * time.Second, Retries: 4}}
	})
	return &dispatched
}

// stop shuts the servers down as a daemon does, and returns a function that waits for it.
func stop(ctx context.Context, d *drain.Drain, servers ...*http.Server) (wait func() error) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTime)
	done := make(chan error, 1)
	go func() {
		defer cancel()
		done <- d.Run(ctx, servers...)
	}()
	return func() error { return <-done }
}

// TestRequestAcceptedLateIsCutOff guards against requests of callers that are accepted so
// late in a shutdown that they cannot end before it does.
func TestRequestAcceptedLateIsCutOff(t *testing.T) {
	runMesh(t, []string{"tides"}, func(t *testing.T, m *testMesh) {
		dispatched := m.slowTargets()
		d := drain.New()
		handler := NewRoot(Deps{
			Instance: "i9", FailureDomain: "split-a", PeerAddress: "127.0.0.9:7000",
			Configuration: m.config, Quota: m.quota, Ledger: m.ledger, Router: m.router, Permits: m.permits,
			Recorder: m.events, Peers: m.nodes[0].peers,
		})
		server := listener.NewServer(handler, listener.Options{})
		d.Track(server, "test", handler)
		const address = "127.0.0.9:7200"
		m.serve(address, server)
		wait := stop(t.Context(), d, server)
		var callers sync.WaitGroup
		var cut, refused atomic.Int64
		for _, delay := range []time.Duration{time.Second, 4 * time.Second, 4500 * time.Millisecond} {
			callers.Go(func() {
				time.Sleep(delay)
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/slow", nil)
				must.NoError(t, err)
				switch res := m.do(r); {
				case res.err != nil:
					cut.Add(1)
				case res.errorBody.Kind == fault.ShuttingDown:
					must.Eq(t, "not-run", res.header.Get(HeaderOutcome))
					refused.Add(1)
				}
			})
		}
		callers.Wait()
		must.NoError(t, wait())
		must.Eq(t, 0, cut.Load())
		must.Eq(t, 2, refused.Load())
		must.Eq(t, 1, dispatched.Load(), must.Sprint("a refused request has not run"))
	})
}

// TestForwardedRequestAcceptedLateIsCutOff guards against the same beside the target: its
// sender can use another target instead.
func TestForwardedRequestAcceptedLateIsCutOff(t *testing.T) {
	runMesh(t, []string{"tides", "tides"}, func(t *testing.T, m *testMesh) {
		dispatched := m.slowTargets()
		stopping := m.nodes[0]
		d := drain.New()
		handler := NewPeer(Deps{
			Instance: "i1", FailureDomain: "split-a", Configuration: m.config, Ledger: m.ledger, Admission: stopping.admission,
			Recorder: m.events, InFlight: stopping.inFlight, Targets: stopping.targets, LocalTargets: stopping.localTargets,
		})
		server := peer.NewServer(m.identity("i1", mesh.Daemon, stopping.ip), handler, peer.ServerOptions{})
		d.Track(server, "test", handler)
		const address = "127.0.0.1:7001"
		m.router.targets[0].PeerAddress = address
		l := m.network.Listen(address)
		m.servers = append(m.servers, server)
		go func() { _ = server.ServeTLS(l, "", "") }()
		wait := stop(t.Context(), d, server)
		var callers sync.WaitGroup
		for _, delay := range []time.Duration{time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second} {
			callers.Go(func() {
				time.Sleep(delay)
				must.Eq(t, http.StatusOK, m.call(http.MethodGet, "/slow", "").status)
			})
		}
		callers.Wait()
		must.NoError(t, wait())
		must.Eq(t, 5, dispatched.Load(), must.Sprint("no request was cut off and repeated"))
	})
}

// TestCallThatAShutdownEndsIsNotItsCallersDoing guards against a call of a target that the end
// of a shutdown breaks off and that is reported as canceled by the target.
func TestCallThatAShutdownEndsIsNotItsCallersDoing(t *testing.T) {
	for cause, kind := range map[error]fault.Kind{fault.ErrStopping: fault.Interrupted, context.Canceled: fault.CallerGone} {
		requests, interrupt := context.WithCancelCause(t.Context())
		r, err := http.NewRequestWithContext(requests, http.MethodGet, "/", http.NoBody)
		must.NoError(t, err)
		parent := inflight.Request{Context: t.Context()} // that of a once request goes on
		ctx, cancel := new(egress).context(parent, r, time.Minute)
		interrupt(cause)
		<-ctx.Done()
		must.Eq(t, kind, fault.KindOf(fault.OfContext(ctx, nil, true)))
		cancel()
	}
}
