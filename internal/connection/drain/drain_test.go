package drain

import (
	"context"
	"errors"
	"io"
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

const (
	firstAddress  = "127.0.0.1:7200"
	secondAddress = "127.0.0.2:7200"
)

// load is a number of clients, each with one HTTP/1.1 keep-alive connection. They
// send requests to the first address, or to the second address if the first one
// refuses new connections. A client waits for interval between two requests.
type load struct {
	clients  int
	interval time.Duration
}

// run sends requests for the given time and returns how many completed and how
// many were aborted.
func (l load) run(network *memnet.Network, duration time.Duration) (completed, aborted int64) {
	var succeeded, failed atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for n := range l.clients {
		wg.Go(func() {
			transport := &http.Transport{DialContext: network.Dial}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			// The start times are spread evenly over the interval, so that the
			// shutdown meets requests in every phase.
			time.Sleep(time.Duration(n) * l.interval / time.Duration(l.clients))
			for time.Now().Before(end) {
				if err := post(client); err != nil {
					failed.Add(1)
				} else {
					succeeded.Add(1)
				}
				time.Sleep(l.interval)
			}
		})
	}
	wg.Wait()
	return succeeded.Load(), failed.Load()
}

// post sends a request that net/http does not retry by itself.
func post(client *http.Client) error {
	for _, address := range []string{firstAddress, secondAddress} {
		body := io.NopCloser(io.LimitReader(zeros{}, 10))
		r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/", body)
		if err != nil {
			return err
		}
		r.ContentLength = 10
		resp, err := client.Do(r)
		if errors.Is(err, memnet.ErrRefused) {
			continue // nothing was sent
		}
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return err
	}
	return errors.New("no server accepts connections")
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// shutDownUnderLoad shuts the first server down while clients keep sending
// requests.
func shutDownUnderLoad(t *testing.T, shutDown func(d *Drain, s *http.Server) error) (completed, aborted int64) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(20 * time.Millisecond)
			_, _ = w.Write([]byte("ok"))
		})
		d := New()
		a, b := listener.NewServer(handler, listener.Options{}), listener.NewServer(handler, listener.Options{})
		d.Track(a, "test", nil)
		la, lb := network.Listen(firstAddress), network.Listen(secondAddress)
		go func() { _ = a.Serve(la) }()
		go func() { _ = b.Serve(lb) }()
		done := make(chan error)
		go func() {
			time.Sleep(500 * time.Millisecond)
			done <- shutDown(d, a)
		}()
		completed, aborted = load{clients: 200, interval: 90 * time.Millisecond}.run(network, 2*time.Second)
		must.NoError(t, <-done)
		_ = b.Close()
		network.Close()
		time.Sleep(time.Minute)
	})
	return completed, aborted
}

// TestRunAbortsNoRequest checks that Run aborts no request. Under the same
// load Shutdown alone must abort some, which shows that the load has requests at
// the critical moment.
func TestRunAbortsNoRequest(t *testing.T) {
	completed, aborted := shutDownUnderLoad(t, func(_ *Drain, s *http.Server) error { return s.Shutdown(context.Background()) })
	t.Logf("Shutdown alone: %d completed, %d aborted", completed, aborted)
	must.Positive(t, aborted)
	completed, aborted = shutDownUnderLoad(t, func(d *Drain, s *http.Server) error { return d.Run(context.Background(), s) })
	t.Logf("Run: %d completed, %d aborted", completed, aborted)
	must.Positive(t, completed)
	must.Eq(t, 0, aborted)
}

// TestRunEnds checks that an idle connection does not block the shutdown, and
// that a request that does not end is aborted when ctx is done.
func TestRunEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		slow := make(chan struct{})
		server := listener.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-slow
			}
		}), listener.Options{})
		d := New()
		d.Track(server, "test", nil)
		l := network.Listen(firstAddress)
		go func() { _ = server.Serve(l) }()
		client := &http.Client{Transport: &http.Transport{DialContext: network.Dial}}
		resp, err := client.Get("http://" + firstAddress + "/")
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		synctest.Wait()
		go func() {
			_, err := client.Get("http://" + firstAddress + "/slow") //nolint:bodyclose // it fails
			must.Error(t, err)
		}()
		_, err = network.Dial(t.Context(), "tcp", firstAddress) // a connection that never sends
		must.NoError(t, err)
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		must.ErrorIs(t, d.Run(ctx, server), context.DeadlineExceeded)
		must.Eq(t, 10*time.Second, time.Since(start))
		must.True(t, d.Draining())
		close(slow)
		network.Close()
		time.Sleep(time.Minute)
	})
}
