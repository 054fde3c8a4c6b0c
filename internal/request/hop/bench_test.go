package hop

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/peer"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/connection/target"
	"github.com/teaselrack/teaselrack/internal/request/inflight"
	"github.com/teaselrack/teaselrack/internal/version"
)

// loopback is two daemons that communicate over TCP and TLS on loopback. The
// local target of the first serves tides, that of the second serves oprema.
type loopback struct {
	direct, root string // addresses of the first daemon's target and ingress listener
}

const benchNote = `
number: 1
added:
  routes:
    - {name: here, path: /here, service: tides, access: open, importance: high}
    - {name: there, path: /there, service: oprema, access: open, importance: high}
`

func newLoopback(b *testing.B) *loopback {
	n, err := version.ParseNote([]byte(benchNote))
	must.NoError(b, err)
	state, err := version.Initial().Apply(n)
	must.NoError(b, err)
	ca, err := mesh.NewAuthority("mesh", time.Now())
	must.NoError(b, err)
	router := &fakeRouter{}
	shared := Deps{
		FailureDomain: "split-a",
		Configuration: &fakeConfiguration{state: state},
		Quota:         &fakeQuota{},
		Ledger:        &fakeLedger{},
		Router:        router,
		Permits:       &fakePermits{remaining: make(map[string]int)},
		Recorder:      discardRecorder{},
		LocalTargets:  &fakeLocalTargets{},
	}
	l := &loopback{}
	for _, service := range []string{"tides", "oprema"} {
		l.add(b, ca, shared, router, service)
	}
	return l
}

type discardRecorder struct{}

func (discardRecorder) Record(protocol.Event) {}

func (l *loopback) add(b *testing.B, ca mesh.KeyPair, d Deps, router *fakeRouter, service string) {
	pair, err := ca.Issue(service, mesh.Daemon, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now())
	must.NoError(b, err)
	id, err := mesh.NewIdentity(ca.Certificate, pair)
	must.NoError(b, err)
	targetServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok"))
	})}
	targetAddress := serveTCP(b, targetServer, targetServer.Serve)
	peers := peer.NewClient(id, peer.Options{})
	targets := target.NewClient(target.Options{})
	b.Cleanup(peers.Close)
	b.Cleanup(targets.Close)

	d.Instance = service
	d.Admission = &fakeAdmission{address: targetAddress}
	d.InFlight = inflight.NewTable()
	d.Peers = peers
	d.Targets = targets
	peerServer := peer.NewServer(id, NewPeer(d), peer.ServerOptions{})
	d.PeerAddress = serveTCP(b, peerServer, func(l net.Listener) error { return peerServer.ServeTLS(l, "", "") })
	root := listener.NewServer(NewRoot(d), listener.Options{})
	rootAddress := serveTCP(b, root, root.Serve)
	router.targets = append(router.targets, protocol.TargetRecord{Service: service, Instance: service, PeerAddress: d.PeerAddress})
	if l.root == "" {
		l.root, l.direct = rootAddress, targetAddress
	}
}

func serveTCP(b *testing.B, s *http.Server, serve func(net.Listener) error) string {
	l, err := listener.Listen(context.Background(), "127.0.0.1:0")
	must.NoError(b, err)
	go func() { _ = serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// newCaller returns a function that calls one URL over a persistent connection.
func newCaller(b *testing.B, url string) func() {
	client := &http.Client{Transport: &http.Transport{}}
	b.Cleanup(client.CloseIdleConnections)
	return func() {
		resp, err := client.Get(url)
		if err != nil {
			b.Error(err)
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Error(resp.Status)
		}
	}
}

// BenchmarkHop calls a target directly, through its own daemon, and through the
// daemon of another instance, in turn. It reports latency percentiles of each in
// milliseconds. The added latencies are differences between percentiles.
func BenchmarkHop(b *testing.B) {
	for _, callers := range []int{1, 4} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			l := newLoopback(b)
			urls := []string{"http://" + l.direct + "/", "http://" + l.root + "/here", "http://" + l.root + "/there"}
			histograms := measure(b, urls, callers)
			for i, name := range []string{"direct", "hop", "cross"} {
				for _, q := range []float64{50, 99} {
					value := percentileMilliseconds(histograms[i], q)
					b.ReportMetric(value, fmt.Sprintf("%s-p%.0f-ms", name, q))
					if i > 0 {
						b.ReportMetric(value-percentileMilliseconds(histograms[0], q), fmt.Sprintf("%s-added-p%.0f-ms", name, q))
					}
				}
			}
		})
	}
}

// measure lets each caller call the URLs in turn, and returns the latencies of each
// URL in nanoseconds.
func measure(b *testing.B, urls []string, callers int) []*hdrhistogram.Histogram {
	const maxNanoseconds = int64(10 * time.Second)
	var mu sync.Mutex
	var wg sync.WaitGroup
	total := make([]*hdrhistogram.Histogram, len(urls))
	for i := range total {
		total[i] = hdrhistogram.New(1, maxNanoseconds, 3)
	}
	for range callers {
		calls := make([]func(), len(urls))
		for i, url := range urls {
			calls[i] = newCaller(b, url)
			calls[i]()
		}
		wg.Go(func() {
			for range b.N / callers {
				for i, call := range calls {
					start := time.Now()
					call()
					nanoseconds := int64(time.Since(start))
					mu.Lock()
					_ = total[i].RecordValue(nanoseconds)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return total
}

func percentileMilliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / float64(time.Millisecond)
}

// BenchmarkHopThroughput reports the time and allocations per cross-instance
// request, including caller and target, with as many callers as cores.
func BenchmarkHopThroughput(b *testing.B) {
	l := newLoopback(b)
	b.ReportAllocs()
	b.SetParallelism(1)
	b.Logf("%d cores", runtime.GOMAXPROCS(0))
	b.RunParallel(func(pb *testing.PB) {
		call := newCaller(b, "http://"+l.root+"/there")
		for pb.Next() {
			call()
		}
	})
}

// BenchmarkInProcess runs the root handler and the peer handler without network
// connections, to measure only this package and the requests and responses that it
// builds.
func BenchmarkInProcess(b *testing.B) {
	n, err := version.ParseNote([]byte(note))
	must.NoError(b, err)
	state, err := version.Initial().Apply(n)
	must.NoError(b, err)
	ca, err := mesh.NewAuthority("mesh", time.Now())
	must.NoError(b, err)
	pair, err := ca.Issue("i1", mesh.Daemon, nil, time.Now())
	must.NoError(b, err)
	block, _ := pem.Decode(pair.Certificate)
	cert, err := x509.ParseCertificate(block.Bytes)
	must.NoError(b, err)

	transport := &inProcessTransport{tls: &tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{cert}}}}
	d := Deps{
		Instance: "i1", FailureDomain: "split-a", PeerAddress: "127.0.0.1:7000",
		Configuration: &fakeConfiguration{state: state}, Quota: &fakeQuota{}, Ledger: &fakeLedger{},
		Router:    &fakeRouter{targets: []protocol.TargetRecord{{Service: "tides", Instance: "i1", PeerAddress: "127.0.0.1:7000"}}},
		Admission: &fakeAdmission{address: "127.0.0.1:9000"}, Permits: &fakePermits{remaining: make(map[string]int)},
		Recorder: discardRecorder{}, LocalTargets: &fakeLocalTargets{}, InFlight: inflight.NewTable(), Peers: transport, Targets: staticTarget{},
	}
	transport.peerHandler = NewPeer(d)
	root := NewRoot(d)
	r := httptest.NewRequest(http.MethodGet, "/look/slots?day=1", nil)
	r.Header.Set("Authorization", "Bearer "+secret)
	r.Header.Set("Accept", "application/json")
	b.ReportAllocs()
	for b.Loop() {
		w := httptest.NewRecorder()
		root.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			b.Fatal(w.Body.String())
		}
	}
}

// inProcessTransport is a PeerTransport that calls the peer handler directly.
type inProcessTransport struct {
	peerHandler http.Handler
	tls         *tls.ConnectionState
}

func (t *inProcessTransport) RoundTrip(_ string, r *http.Request) (*http.Response, error) {
	r.TLS = t.tls
	w := httptest.NewRecorder()
	t.peerHandler.ServeHTTP(w, r)
	return w.Result(), nil
}

// staticTarget is a TargetTransport that returns a fixed response at once.
type staticTarget struct{}

func (staticTarget) RoundTrip(string, *http.Request, bool) (*http.Response, error) {
	return &http.Response{
		StatusCode:    http.StatusOK,
		Header:        http.Header{"Content-Type": {"text/plain"}},
		Body:          io.NopCloser(strings.NewReader("ok")),
		ContentLength: 2,
	}, nil
}
