package drain

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/connection/memnet"
)

// TestRequestAcceptedLateIsCutOff guards against requests that are accepted so late in a
// shutdown that they cannot end before it does, while clients keep sending because no
// other process takes them. The times are those of a process with six seconds to stop.
func TestRequestAcceptedLateIsCutOff(t *testing.T) {
	const serviceTime, timeout = time.Second, 5200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		var served, ended atomic.Int64
		server := listener.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			served.Add(1)
			time.Sleep(serviceTime)
			if r.Context().Err() == nil {
				ended.Add(1)
			}
		}), listener.Options{})
		d := New()
		d.UntilIdle, d.AnnouncePeriod, d.GracePeriod = true, 2500*time.Millisecond, 4400*time.Millisecond
		d.Track(server, "test", nil)
		ln := network.Listen(firstAddress)
		go func() { _ = server.Serve(ln) }()
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- d.Run(ctx, server) }()
		var clients sync.WaitGroup
		for _, delay := range []time.Duration{0, serviceTime} {
			clients.Go(func() {
				time.Sleep(delay)
				load{clients: 20, interval: serviceTime}.run(network, timeout)
			})
		}
		clients.Wait()
		err := <-done
		network.Close()
		time.Sleep(time.Minute)
		must.NoError(t, err, must.Sprint("the shutdown ends without closing connections"))
		must.Eq(t, served.Load(), ended.Load())
	})
}
