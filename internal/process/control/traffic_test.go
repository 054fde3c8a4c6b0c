package control_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/connectiontest"
	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/control"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/process/renewal"
)

const (
	// daemonBytesPerSecond is the required limit of the control traffic of one
	// daemon.
	daemonBytesPerSecond = 4096
	// notesPerDay is the required rate of configuration changes.
	notesPerDay       = 680
	secondsPerDay     = 24 * 60 * 60
	renewalsPerSecond = 1
	subscriptionCount = 12
	teamsRequested    = 16
	measuredRounds    = 50
)

// averageBytes returns the mean number of bytes per run of f over measuredRounds
// runs.
func averageBytes(l *connectiontest.CountingListener, f func(n int)) float64 {
	before := l.Bytes()
	for n := range measuredRounds {
		f(n)
	}
	return float64(l.Bytes()-before) / measuredRounds
}

// TestControlBytesOfADaemon guards against control traffic above
// daemonBytesPerSecond. It counts the bytes of renewals, of a release note and of
// token requests on a real connection, and adds them up at the required rates: one
// renewal a second that requests tokens for every team, as many token requests
// between renewals as a daemon may send, and 680 notes a day.
func TestControlBytesOfADaemon(t *testing.T) {
	ln, loop, role := startCountedReplica(t)
	renew(t, loop)

	renewal := averageBytes(ln, func(int) { renew(t, loop) })
	number := 1
	noteBytes := averageBytes(ln, func(int) {
		number++
		applyAgain(t, role, note(number, "a comment of the usual length"))
		renew(t, loop)
	}) - renewal
	oneTeam := averageBytes(ln, func(n int) { requestTokens(t, loop, 1, n) })
	allTeams := averageBytes(ln, func(n int) { requestTokens(t, loop, teamsRequested, measuredRounds+n) })
	perTeam := (allTeams - oneTeam) / (teamsRequested - 1)
	requests := max(oneTeam*quota.TLSPacing.MaxRate(1), allTeams*quota.TLSPacing.MaxRate(teamsRequested))
	perSecond := (renewal+teamsRequested*perTeam)*renewalsPerSecond + requests + noteBytes*notesPerDay/secondsPerDay
	t.Logf("renewal %.0f B, each team in it %.0f B, token request for one team %.0f B, note %.0f B: %.0f B/s", renewal, perTeam, oneTeam, noteBytes, perSecond)
	must.Less(t, daemonBytesPerSecond, perSecond)
}

// renew renews until the replica confirms it: on a busy machine a sync may take longer than
// a call. The bytes of what is not confirmed count too.
func renew(t *testing.T, loop *renewal.Loop) {
	t.Helper()
	for !loop.Renew(t.Context()) {
		must.NoError(t, t.Context().Err())
	}
}

// applyAgain applies a note at a role directly, and again as operators do if a sync takes longer
// than the call. Its bytes are not counted.
func applyAgain(t *testing.T, role *control.Role, text string) {
	t.Helper()
	for {
		err := callRole(role, protocol.MethodApply, protocol.ApplyRequest{Note: []byte(text)})
		if !fault.Is(err, fault.NoLeader) {
			must.NoError(t, err)
			return
		}
		must.NoError(t, t.Context().Err())
	}
}

func requestTokens(t *testing.T, loop *renewal.Loop, teams, sequence int) {
	t.Helper()
	requests := make([]protocol.QuotaRequest, teams)
	for i := range requests {
		requests[i] = protocol.QuotaRequest{Team: fmt.Sprint("team-", i), Want: 20, Waiting: 3, Sequence: uint64(sequence + 1), Spent: 123456, Remaining: 12}
	}
	_, _, err := loop.RequestTokens(t.Context(), requests)
	must.NoError(t, err)
}

// startCountedReplica starts a replica behind a counting listener, and returns a
// renewal loop of a daemon that uses it.
func startCountedReplica(t *testing.T) (*connectiontest.CountingListener, *renewal.Loop, *control.Role) {
	ca, err := mesh.NewAuthority("mesh", time.Now())
	must.NoError(t, err)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ln := connectiontest.NewCountingListener(inner)
	address := ln.Addr().String()
	pool := rpc.NewPool(identity(t, ca, "replica", mesh.Replica))
	role, err := control.NewRole(control.RoleOptions{
		DataDir: t.TempDir(), Address: address, Replicas: func() []string { return []string{address} }, LedgerShards: 1,
		Caller: pool, Recorder: nopRecorder{}, Log: zap.NewNop(),
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
	foundAt(t, role)
	applyAt(t, role, firstNote())
	return ln, newLoop(address, daemonPool), role
}

// firstNote returns a release note that adds the teams of the token requests.
func firstNote() string {
	text := "number: 1\nadded:\n  teams:\n    - {name: t, rate: 5, burst: 5}\n"
	for i := range teamsRequested {
		text += fmt.Sprintf("    - {name: team-%d, rate: 1000, burst: 2000}\n", i)
	}
	return text
}

func newLoop(address string, caller renewal.Caller) *renewal.Loop {
	services := make([]string, subscriptionCount)
	for i := range services {
		services[i] = fmt.Sprintf("service-%03d", i)
	}
	target := announcement(protocol.Warm)
	return renewal.New(renewal.Options{
		Instance: "daemon-0001", Session: "0123456789abcdef0123456789abcdef", PeerAddress: "10.20.30.40:8101", FailureDomain: "split-a",
		Replicas:      []string{address},
		Subscriptions: func() []string { return services },
		Caller:        caller,
		Configuration: configuration.NewHolder(configuration.HolderOptions{Now: time.Now}),
		Registry:      registry.NewTable(time.Now),
		Quota:         quota.NewHolder(time.Now, nil),
		Targets:       func() []protocol.Announcement { return []protocol.Announcement{target} },
		Leaving:       func() bool { return false },
		Clock:         time.Now, Recorder: nopRecorder{}, Log: zap.NewNop(),
	})
}

func identity(t *testing.T, ca mesh.KeyPair, name string, role mesh.Role) *mesh.Identity {
	t.Helper()
	pair, err := ca.Issue(name, role, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now())
	must.NoError(t, err)
	id, err := mesh.NewIdentity(ca.Certificate, pair)
	must.NoError(t, err)
	return id
}
