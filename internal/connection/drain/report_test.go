package drain

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/connection/memnet"
)

// TestFollowingARequestAllocatesNothing guards against a price for each request of what only
// the end of a shutdown needs.
func TestFollowingARequestAllocatesNothing(t *testing.T) {
	ctx := context.WithValue(t.Context(), openConnKey{}, &openConn{})
	p := &Progress{ID: "id"}
	must.Eq(t, 0, testing.AllocsPerRun(1000, func() {
		following := Follow(ctx, p)
		p.Reach(ConnectingToTarget)
		p.Sending()
		p.Reach(BeingAnswered)
		following.Stop()
	}))
}

// TestOpenRequestsAreListed guards against requests that are cut off without a trace of
// which they were: the log lists the oldest of them with where they are, and their number.
func TestOpenRequestsAreListed(t *testing.T) {
	const requests = 25
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zapcore.InfoLevel)
		network := memnet.New(time.Millisecond)
		release := make(chan struct{})
		server := listener.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			p := &Progress{ID: r.URL.Path, Route: "r", Began: time.Now()}
			defer Follow(r.Context(), p).Stop()
			p.Reach(ConnectingToTarget)
			p.Sending()
			<-release
		}), listener.Options{})
		d := New()
		d.Log = zap.New(core)
		d.UntilIdle, d.AnnouncePeriod, d.GracePeriod = true, 0, time.Second
		d.Track(server, "entry", nil)
		ln := network.Listen(firstAddress)
		go func() { _ = server.Serve(ln) }()
		client := &http.Client{Transport: &http.Transport{DialContext: network.Dial}}
		for n := range requests {
			go func() {
				_, err := client.Get(fmt.Sprintf("http://%s/%02d", firstAddress, n)) //nolint:bodyclose // it fails
				must.Error(t, err)
			}()
			time.Sleep(10 * time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		must.ErrorIs(t, d.Run(ctx, server), context.DeadlineExceeded)
		waits := logs.FilterMessage("graceful shutdown waits for open requests").All()
		must.Len(t, 2, waits)
		must.Eq(t, any(map[string]int{"entry": requests}), waits[0].ContextMap()["open"])
		lists := logs.FilterMessage("requests are still open at the end of the shutdown").All()
		must.Len(t, 1, lists)
		must.Eq(t, any(int64(requests)), lists[0].ContextMap()["total"])
		listed := lists[0].ContextMap()["requests"].([]any)
		must.Len(t, maxListed, listed)
		first := listed[0].(map[string]any)
		must.Eq(t, "/00", first["request"].(string))
		must.Eq(t, "entry", first["server"].(string))
		must.Eq(t, "with the target", first["stage"].(string))
		must.Eq(t, 2750*time.Millisecond-endMargin, first["age"].(time.Duration).Round(10*time.Millisecond))
		close(release)
		network.Close()
		time.Sleep(time.Minute)
	})
}
