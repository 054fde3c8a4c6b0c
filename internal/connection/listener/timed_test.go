package listener

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// timedListener returns a listener with a clock that stands at now.
func timedListener(t *testing.T, now *time.Time) *TimedListener {
	t.Helper()
	l, err := ListenTimed(t.Context(), "127.0.0.1:0", func() time.Time { return *now })
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// TestConnectionsThatWaitedAreNotNew guards against a connection that was opened while the
// process stood still, and that counts as new when it is accepted.
func TestConnectionsThatWaitedAreNotNew(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	l := timedListener(t, &now)
	openedAfter := func() time.Time {
		accepted, err := l.Accept()
		must.NoError(t, err)
		defer func() { _ = accepted.Close() }()
		return accepted.(*timedConn).openedAfter
	}
	for range 2 {
		must.NoError(t, l.checkQueue())
		empty := now
		now = now.Add(5 * time.Second)
		for range 3 {
			open(t, l.Addr().String(), "")
			now = now.Add(5 * time.Second)
		}
		for range 3 {
			must.Eq(t, empty, openedAfter())
			now = now.Add(time.Second)
		}
	}
}

// TestRequestKnowsWhenItsConnectionWasOpened checks what handlers get to know, by way of a guard.
func TestRequestKnowsWhenItsConnectionWasOpened(t *testing.T) {
	now := time.Unix(1000, 0)
	timed := timedListener(t, &now)
	untimed, err := Listen(t.Context(), "127.0.0.1:0")
	must.NoError(t, err)
	for ln, want := range map[net.Listener]time.Time{timed: now, untimed: {}} {
		got := make(chan time.Time, 1)
		server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got <- OpenedAfter(r.Context())
			_, _ = io.WriteString(w, "ok")
		}), Options{})
		guard := NewGuard(Capacity{Connections: 10, HeadBytes: 1 << 20, BodyBytes: 1 << 20})
		guard.Protect(server)
		guarded, err := guard.Listen(ln, 1)
		must.NoError(t, err)
		go func() { _ = server.Serve(guarded) }()
		t.Cleanup(func() { _ = server.Close() })
		expectOK(t, open(t, ln.Addr().String(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		must.Eq(t, want, <-got)
	}
	must.Eq(t, time.Time{}, OpenedAfter(t.Context()), must.Sprint("a request without a connection"))
}
