package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
	"github.com/teaselrack/teaselrack/internal/connection/memnet"
	"github.com/teaselrack/teaselrack/internal/version"
)

// lateClients send requests to a daemon that shuts down, and never pause.
type lateClients struct {
	served, refused, aborted atomic.Int64
}

// run sends requests from several clients until the daemon refuses their connections.
func (l *lateClients) run(client *http.Client, address string, clients int) {
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 23 * time.Millisecond)
			for l.send(client, address) {
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// send sends one request and reports whether the daemon still accepts connections.
func (l *lateClients) send(client *http.Client, address string) bool {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/p/x", http.NoBody)
	if err != nil {
		l.aborted.Add(1)
		return false
	}
	r.Host = host
	r.Header.Set("Teaselrack-Request", "id-1")
	r.Header.Set("Teaselrack-Key", key)
	resp, err := client.Do(r)
	switch {
	case errors.Is(err, memnet.ErrRefused):
		return false
	case err != nil:
		l.aborted.Add(1)
		return true
	}
	_ = resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		l.served.Add(1)
	case http.StatusServiceUnavailable:
		l.refused.Add(1)
	default:
		l.aborted.Add(1)
	}
	return true
}

// TestRequestThatArrivesLateInAShutdown sends requests to a daemon that shuts down while
// its clients never pause. A request whose time limit of 400 ms ends before the shutdown
// does is served; any other is refused, and not run. Nothing is cut off.
func TestRequestThatArrivesLateInAShutdown(t *testing.T) {
	const announce, grace, total = time.Second, 3900 * time.Millisecond, 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		m := newMeshOn(t, network, version.Once, 0, 1)
		inst := m.instances[0]
		inst.stub.serveWith(func(http.ResponseWriter, *http.Request) { time.Sleep(200 * time.Millisecond) })
		d := drain.New()
		d.UntilIdle, d.AnnouncePeriod, d.GracePeriod = true, announce, grace
		server := &http.Server{Handler: inst.entry}
		d.Track(server, "test", inst.entry)
		const address = "10.0.1.1:80"
		ln := network.Listen(address)
		go func() { _ = server.Serve(ln) }()
		ctx, cancel := context.WithTimeout(t.Context(), total)
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- d.Run(ctx, server) }()
		var clients lateClients
		clients.run(m.client, address, 10)
		must.NoError(t, <-done)
		must.Eq(t, 0, clients.aborted.Load())
		must.Positive(t, clients.refused.Load())
		must.Eq(t, clients.served.Load(), int64(inst.stub.count()), must.Sprint("a refused request has not run"))
		must.Greater(t, 130, clients.served.Load(), must.Sprint("10 clients, 210 ms a request, served for 3.5 s"))
		network.Close()
		time.Sleep(time.Minute)
	})
}

// TestForwardedRequestThatArrivesLateInAShutdown checks that the daemon beside a target
// refuses a request that could outlast it, so that its sender can use another target.
func TestForwardedRequestThatArrivesLateInAShutdown(t *testing.T) {
	m := newMesh(t, version.Once, 0, 2)
	d := drain.New()
	d.AnnouncePeriod = 0
	server := &http.Server{Handler: m.instances[0].peerHandler}
	d.Track(server, "test", m.instances[0].peerHandler)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	must.NoError(t, d.Run(ctx)) // no client is connected, but the handler may still be called
	m.instances[0].record.PeerAddress = m.serve(server.Handler)
	outside := m.addRemote()
	for range 20 {
		resp, _ := m.send(outside, "POST", "/p/x", nil, "")
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
	must.Eq(t, 0, m.instances[0].stub.count())
	must.Eq(t, 20, m.instances[1].stub.count())
}
