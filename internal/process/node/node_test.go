package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/local"
	"github.com/teaselrack/teaselrack/internal/request/relay"
	"github.com/teaselrack/teaselrack/internal/version"
)

// freeAddress returns a loopback address with an unused port.
func freeAddress(t *testing.T) string {
	t.Helper()
	// No connection of another process begins at this address, and none of other tests.
	host := fmt.Sprintf("127.%d.%d.%d", 120+os.Getpid()%100, os.Getpid()/100%250+1, 1+addresses.Add(1)%250)
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// addresses is the number of addresses that freeAddress has returned.
var addresses atomic.Uint32

// start runs a node until stop is called or the test ends.
func start(t *testing.T, o Options) (n *Node, stop func() error) {
	t.Helper()
	return startWithLog(t, zap.NewNop(), o)
}

// startWithLog is start with a log.
func startWithLog(t *testing.T, log *zap.Logger, o Options) (n *Node, stop func() error) {
	t.Helper()
	o.FailureDomain = "z"
	o.ShutdownTimeout = 6 * time.Second
	o.Log = log
	n, err := New(o)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		err := n.Run(ctx)
		if ctx.Err() == nil {
			t.Errorf("%s ended by itself: %v", o.Instance, err)
		}
		ended <- err
	}()
	stopped := false
	stop = func() error {
		if stopped {
			return nil
		}
		stopped = true
		cancel()
		return <-ended
	}
	t.Cleanup(func() { must.NoError(t, stop()) })
	return n, stop
}

// eventually waits until check returns true. The time limit of the test bounds
// the wait, and the end of a node.
func eventually(t *testing.T, check func() bool) {
	t.Helper()
	for !check() {
		must.NoError(t, t.Context().Err())
		must.False(t, t.Failed())
		time.Sleep(20 * time.Millisecond)
	}
}

// TestWholePath runs a replica that founds its group, a daemon with a local
// target, and a daemon whose requests go to that target. The configuration
// takes effect on both daemons, a request runs, the failure domain is taken out
// of service, and a daemon shuts down.
func TestWholePath(t *testing.T) {
	control := freeAddress(t)
	replica, _ := start(t, Options{
		Instance: "core-1", Seeds: []string{control},
		Control: &Control{Listen: control, DataDir: t.TempDir(), Founder: true},
	})
	stub := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Teaselrack-Request", r.Header.Get("Teaselrack-Request"))
		_, _ = w.Write([]byte("ran for " + r.Header.Get("Teaselrack-Origin")))
	}))
	defer stub.Close()
	target := stub.Listener.Addr().String()
	startDaemon := func(name, service, target string) (*Node, string, func() error) {
		entry := freeAddress(t)
		n, stop := start(t, Options{
			Instance: name, Seeds: []string{control},
			Traffic: &Traffic{
				Service: service, Target: target, Entry: entry, Peer: freeAddress(t), Heartbeat: time.Minute,
				HeaderNames: relay.DefaultNames(), RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50,
			},
		})
		return n, entry, stop
	}
	withTarget, _, _ := startDaemon("daemon-1", "s", target)
	withoutTarget, entry, stopWithoutTarget := startDaemon("daemon-2", "other", freeAddress(t))
	must.Eq(t, fault.LeaseExpired, fault.KindOf(withoutTarget.Ready()))

	order := &version.Order{Configuration: &version.FullConfiguration{Revision: 3, Entries: version.Entries{
		Services: []version.Service{{Name: "s"}, {Name: "other"}},
		Routes: []version.Route{{
			Name: "r", Host: "h", Path: "/", Service: "s", Mode: version.Idempotent, Access: version.Keyed, Timeout: 2 * time.Second,
		}},
	}}}
	eventually(t, func() bool { return replica.Order(t.Context(), order) == nil })
	must.NoError(t, withTarget.Heartbeat(local.Heartbeat{ID: "i", Sequence: 1, Service: "s", Address: target, Slots: 10}))
	eventually(t, func() bool { return withoutTarget.Ready() == nil && withTarget.Ready() == nil })

	get := func() (int, string) {
		r, err := http.NewRequest(http.MethodGet, "http://"+entry+"/x", nil)
		must.NoError(t, err)
		r.Host = "h"
		r.Header.Set("Teaselrack-Request", "id")
		resp, err := http.DefaultClient.Do(r)
		must.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		return resp.StatusCode, string(body)
	}
	eventually(t, func() bool {
		status, _ := get()
		return status == http.StatusOK
	})
	_, body := get()
	must.Eq(t, "ran for other", body)

	var metrics bytes.Buffer
	withoutTarget.WriteMetrics(&metrics)
	must.StrContains(t, metrics.String(), `teaselrack_answers_total{status="200"}`)
	must.StrContains(t, metrics.String(), "teaselrack_configuration_revision 3")
	metrics.Reset()
	replica.WriteMetrics(&metrics)
	must.StrContains(t, metrics.String(), "teaselrack_group_members 1")

	state, err := replica.Confirmed(t.Context())
	must.NoError(t, err)
	must.Eq(t, uint64(3), state.Revision())
	domain, err := replica.Domain(t.Context(), "z")
	must.NoError(t, err)
	must.True(t, domain.InService)
	must.NoError(t, replica.Order(t.Context(), &version.Order{Domain: &version.FailureDomain{Name: "z"}, IfGeneration: &domain.Generation}))
	eventually(t, func() bool {
		status, _ := get()
		return status == http.StatusServiceUnavailable
	})
	must.NoError(t, stopWithoutTarget())
	must.Eq(t, fault.ShuttingDown, fault.KindOf(withoutTarget.Ready()))
}

func TestOptionsThatCannotWork(t *testing.T) {
	validOptions := func() Options {
		return Options{
			Instance: "i", FailureDomain: "z", Seeds: []string{"127.0.0.1:1"},
			Traffic: &Traffic{Service: "s", Target: "t", Entry: "e", Peer: "p"},
			Control: &Control{Listen: "l", DataDir: "f"},
		}
	}
	o := validOptions()
	must.NoError(t, o.Validate())
	for name, invalidate := range map[string]func(*Options){
		"no name":           func(o *Options) { o.Instance = "" },
		"no failure domain": func(o *Options) { o.FailureDomain = "" },
		"no role":           func(o *Options) { o.Traffic, o.Control = nil, nil },
		"no seeds":          func(o *Options) { o.Seeds = nil },
		"no entry":          func(o *Options) { o.Traffic.Entry = "" },
		"no data folder":    func(o *Options) { o.Control.DataDir = "" },
	} {
		t.Run(name, func(t *testing.T) {
			o := validOptions()
			invalidate(&o)
			must.Eq(t, fault.SettingsInvalid, fault.KindOf(o.Validate()))
		})
	}
}
