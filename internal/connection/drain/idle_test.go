package drain

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/memnet"
)

// TestUntilIdle checks that with UntilIdle the shutdown ends when the last request
// has ended. Otherwise an idle connection that a client keeps open delays the
// shutdown until the grace period is over.
func TestUntilIdle(t *testing.T) {
	for _, c := range []struct {
		untilIdle   bool
		maxDuration time.Duration
	}{{true, 3 * time.Second}, {false, 6 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			network := memnet.New(time.Millisecond)
			l := network.Listen("10.0.0.1:1")
			d := New()
			d.AnnouncePeriod, d.GracePeriod, d.UntilIdle = time.Second, 5*time.Second, c.untilIdle
			server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					time.Sleep(2500 * time.Millisecond)
				}
			})}
			d.Track(server, "test", nil)
			go func() { _ = server.Serve(l) }()
			dial := func() net.Conn {
				conn, err := network.Dial(t.Context(), "tcp", "10.0.0.1:1")
				must.NoError(t, err)
				return conn
			}
			idle, slow := dial(), dial()
			_, err := idle.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
			must.NoError(t, err)
			_, err = slow.Write([]byte("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"))
			must.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			must.NoError(t, d.Run(ctx, server))
			cancel()
			took := time.Since(start)
			must.Between(t, c.maxDuration-time.Second, took, c.maxDuration)
			_ = idle.Close()
			_ = slow.Close()
			network.Close()
			time.Sleep(time.Minute)
		})
	}
}
