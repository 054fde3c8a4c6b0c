package control_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/control"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/process/renewal"
)

const (
	// daemonBytesPerSecond is the users' limit for control traffic of a daemon.
	daemonBytesPerSecond = 4096
	// notesPerDay is the users' rate of configuration changes.
	notesPerDay       = 680
	secondsPerDay     = 24 * 60 * 60
	renewalsPerSecond = 1
	subscribed        = 12
	teamsAsked        = 16
	measuredRounds    = 50
)

// countingListener counts the bytes of its connections, TLS included.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// per returns the bytes of one run of f, on average.
func (l *countingListener) per(f func(n int)) float64 {
	before := l.bytes.Load()
	for n := range measuredRounds {
		f(n)
	}
	return float64(l.bytes.Load()-before) / measuredRounds
}

// TestControlBytesOfADaemon counts the bytes of renewals, of a note and of
// quota asks on a real link, and adds them up at the users' rates: a renewal a
// second that asks for every team, as many asks between as a daemon may send,
// and 680 notes a day.
func TestControlBytesOfADaemon(t *testing.T) {
	ln, loop, role := startBytes(t)
	must.True(t, loop.Renew(t.Context()))

	renewal := ln.per(func(int) { must.True(t, loop.Renew(t.Context())) })
	number := 1
	note := ln.per(func(int) {
		number++
		applyAt(t, role, note(number, "a comment of the usual length"))
		must.True(t, loop.Renew(t.Context()))
	}) - renewal
	one := ln.per(func(n int) { ask(t, loop, 1, n) })
	all := ln.per(func(n int) { ask(t, loop, teamsAsked, measuredRounds+n) })
	team := (all - one) / (teamsAsked - 1)
	asks := max(one*quota.AskRate(1), all*quota.AskRate(teamsAsked))
	perSecond := (renewal+teamsAsked*team)*renewalsPerSecond + asks + note*notesPerDay/secondsPerDay
	t.Logf("renewal %.0f B, each team in it %.0f B, ask for one team %.0f B, note %.0f B: %.0f B/s", renewal, team, one, note, perSecond)
	must.Less(t, daemonBytesPerSecond, perSecond)
}

func ask(t *testing.T, loop *renewal.Loop, teams, sequence int) {
	t.Helper()
	asks := make([]protocol.QuotaAsk, teams)
	for i := range asks {
		asks[i] = protocol.QuotaAsk{Team: fmt.Sprint("team-", i), Want: 20, Waiting: 3, Sequence: uint64(sequence + 1), Spent: 123456, Left: 12}
	}
	_, _, err := loop.Ask(t.Context(), asks)
	must.NoError(t, err)
}

func startBytes(t *testing.T) (*countingListener, *renewal.Loop, *control.Role) {
	ca, err := mesh.NewAuthority("mesh", time.Now())
	must.NoError(t, err)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ln := &countingListener{Listener: inner}
	address := ln.Addr().String()
	pool := rpc.NewPool(identity(t, ca, "replica", mesh.Replica))
	role, err := control.NewRole(control.RoleOptions{
		Folder: t.TempDir(), Address: address, Replicas: func() []string { return []string{address} }, LedgerShards: 1,
		Caller: pool, Recorder: nothing{}, Log: zap.NewNop(),
	})
	must.NoError(t, err)
	server := rpc.NewServer(identity(t, ca, "replica", mesh.Replica), role.Handlers(), zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- role.Run(ctx) }()
	go func() { ended <- server.Run(ln) }()
	daemonPool := rpc.NewPool(identity(t, ca, "daemon-0001", mesh.Daemon))
	t.Cleanup(func() {
		must.NoError(t, daemonPool.Close())
		must.NoError(t, server.Close())
		cancel()
		must.NoError(t, <-ended)
		must.NoError(t, <-ended)
		must.NoError(t, role.Close())
		must.NoError(t, pool.Close())
	})
	must.NoError(t, callRole(role, protocol.MethodFound, protocol.FoundRequest{}))
	applyAt(t, role, firstNote())
	return ln, newLoop(address, daemonPool), role
}

// firstNote adds the teams that the quota asks name.
func firstNote() string {
	text := "number: 1\nadded:\n  teams:\n    - {name: t, rate: 5, burst: 5}\n"
	for i := range teamsAsked {
		text += fmt.Sprintf("    - {name: team-%d, rate: 1000, burst: 2000}\n", i)
	}
	return text
}

func newLoop(address string, caller renewal.Caller) *renewal.Loop {
	services := make([]string, subscribed)
	for i := range services {
		services[i] = fmt.Sprintf("service-%03d", i)
	}
	target := announcement(protocol.Warm)
	return renewal.New(renewal.Options{
		Instance: "daemon-0001", Session: "0123456789abcdef0123456789abcdef", PeerAddress: "10.20.30.40:8101", FailureDomain: "split-a",
		Replicas:      []string{address},
		Subscriptions: func() []string { return services },
		Caller:        caller,
		Holder:        configuration.NewHolder(configuration.HolderOptions{Now: time.Now}),
		Table:         registry.NewTable(time.Now),
		Quota:         quota.NewHolder(time.Now, nil),
		Targets:       func() []protocol.Announcement { return []protocol.Announcement{target} },
		Leaving:       func() bool { return false },
		Clock:         time.Now, Recorder: nothing{}, Log: zap.NewNop(),
	})
}

func identity(t *testing.T, ca mesh.Pair, name string, role mesh.Role) *mesh.Identity {
	t.Helper()
	pair, err := ca.Issue(name, role, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now())
	must.NoError(t, err)
	id, err := mesh.NewIdentity(ca.Certificate, pair)
	must.NoError(t, err)
	return id
}
