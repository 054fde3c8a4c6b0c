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
	first  = "127.0.0.1:7200"
	second = "127.0.0.2:7200"
)

// load is a number of callers, each with one HTTP/1.1 connection that it keeps,
// who call the first address, and the second where the first refuses a new
// connection.
type load struct {
	callers int
	gap     time.Duration
}

// run calls for the given time and returns how many requests were answered and
// how many were cut off.
func (l load) run(network *memnet.Network, duration time.Duration) (answered, cut int64) {
	var ok, bad atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for n := range l.callers {
		wg.Go(func() {
			transport := &http.Transport{DialContext: network.Dial}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			// The callers are spread over the gap, with a step that meets each
			// moment of a request.
			time.Sleep(time.Duration(n) * l.gap / time.Duration(l.callers))
			for time.Now().Before(end) {
				if err := post(client); err != nil {
					bad.Add(1)
				} else {
					ok.Add(1)
				}
				time.Sleep(l.gap)
			}
		})
	}
	wg.Wait()
	return ok.Load(), bad.Load()
}

// post sends a request that net/http does not repeat by itself.
func post(client *http.Client) error {
	for _, address := range []string{first, second} {
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
	return errors.New("nobody accepts")
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// leaveUnderLoad lets the first server leave while callers keep calling.
func leaveUnderLoad(t *testing.T, leave func(d *Drain, s *http.Server) error) (answered, cut int64) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(20 * time.Millisecond)
			_, _ = w.Write([]byte("ok"))
		})
		d := New()
		a, b := listener.NewServer(handler, listener.Options{}), listener.NewServer(handler, listener.Options{})
		d.Track(a)
		la, lb := network.Listen(first), network.Listen(second)
		go func() { _ = a.Serve(la) }()
		go func() { _ = b.Serve(lb) }()
		done := make(chan error)
		go func() {
			time.Sleep(500 * time.Millisecond)
			done <- leave(d, a)
		}()
		answered, cut = load{callers: 200, gap: 90 * time.Millisecond}.run(network, 2*time.Second)
		must.NoError(t, <-done)
		_ = b.Close()
		network.Close()
		time.Sleep(time.Minute)
	})
	return answered, cut
}

// TestLeavingCutsOffNoRequest compares the phases with Shutdown alone, under
// the same load. Shutdown alone shows that the load meets the dangerous moment.
func TestLeavingCutsOffNoRequest(t *testing.T) {
	answered, cut := leaveUnderLoad(t, func(_ *Drain, s *http.Server) error { return s.Shutdown(context.Background()) })
	t.Logf("Shutdown alone: %d answered, %d cut off", answered, cut)
	must.Positive(t, cut)
	answered, cut = leaveUnderLoad(t, func(d *Drain, s *http.Server) error { return d.Run(context.Background(), s) })
	t.Logf("in phases: %d answered, %d cut off", answered, cut)
	must.Positive(t, answered)
	must.Eq(t, 0, cut)
}

// TestLeavingEnds shows that a connection that stays idle does not keep the
// process, and that a request that does not end is ended by ctx.
func TestLeavingEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		slow := make(chan struct{})
		server := listener.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-slow
			}
		}), listener.Options{})
		d := New()
		d.Track(server)
		l := network.Listen(first)
		go func() { _ = server.Serve(l) }()
		client := &http.Client{Transport: &http.Transport{DialContext: network.Dial}}
		resp, err := client.Get("http://" + first + "/")
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		synctest.Wait()
		go func() {
			_, err := client.Get("http://" + first + "/slow") //nolint:bodyclose // it fails
			must.Error(t, err)
		}()
		_, err = network.Dial(t.Context(), "tcp", first) // a connection that never sends
		must.NoError(t, err)
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		must.ErrorIs(t, d.Run(ctx, server), context.DeadlineExceeded)
		must.Eq(t, 10*time.Second, time.Since(start))
		must.True(t, d.Leaving())
		close(slow)
		network.Close()
		time.Sleep(time.Minute)
	})
}
