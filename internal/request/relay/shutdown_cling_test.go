package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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

// clingingClients keep sending on each connection until it is closed, whatever the responses
// say, and open no other.
type clingingClients struct {
	answered, unanswered atomic.Int64
}

// run sends requests on one connection, with random pauses.
func (c *clingingClients) run(random *rand.Rand, conn net.Conn, maxPause time.Duration) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		time.Sleep(time.Duration(random.Int64N(int64(maxPause))))
		if _, err := fmt.Fprintf(conn, "POST /p/x HTTP/1.1\r\nHost: %s\r\nTeaselrack-Request: id-1\r\nTeaselrack-Key: %s\r\nContent-Length: 0\r\n\r\n", host, key); err != nil {
			return
		}
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if err != nil {
			c.unanswered.Add(1)
			return
		}
		if resp.StatusCode == http.StatusOK {
			c.answered.Add(1)
		}
	}
}

// TestClientsClingToAStoppingDaemon guards against requests that are cut off because their
// clients keep an open connection to a daemon that stops until it is closed. What crosses the
// close has not been passed on.
func TestClientsClingToAStoppingDaemon(t *testing.T) {
	const clients, announce, grace, total = 40, time.Second, 3900 * time.Millisecond, 4 * time.Second
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			network := memnet.New(time.Millisecond)
			m := newMeshOn(t, network, version.Once, 0, 2)
			stopping, random := m.instances[0], rand.New(rand.NewPCG(seed, 9))
			work := time.Duration(1+random.IntN(300)) * time.Millisecond
			for _, inst := range m.instances {
				inst.stub.serveWith(func(http.ResponseWriter, *http.Request) { time.Sleep(work) })
			}
			d := drain.New()
			d.UntilIdle, d.AnnouncePeriod, d.GracePeriod = true, announce, grace
			server := &http.Server{Handler: stopping.entry}
			d.Track(server, "test", stopping.entry)
			const address = "10.0.1.1:80"
			ln := network.Listen(address)
			go func() { _ = server.Serve(ln) }()
			var sent clingingClients
			var running sync.WaitGroup
			for range clients {
				conn, err := network.Dial(t.Context(), "tcp", address)
				must.NoError(t, err)
				own := rand.New(rand.NewPCG(random.Uint64(), 1))
				running.Go(func() { sent.run(own, conn, 2*work) })
			}
			time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), total)
			defer cancel()
			must.NoError(t, d.Run(ctx, server), must.Sprint("seed ", seed))
			running.Wait()
			ran := int64(m.instances[0].stub.count() + m.instances[1].stub.count())
			must.Eq(t, ran, sent.answered.Load(), must.Sprintf("seed %d: %d requests crossed the close", seed, sent.unanswered.Load()))
			must.Positive(t, ran)
			network.Close()
			time.Sleep(time.Minute)
		})
	}
}
