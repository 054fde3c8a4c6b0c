// Package drain shuts a process down gracefully, without aborting requests.
//
// http.Server.Shutdown alone closes idle HTTP/1.1 connections at once, even when
// a client is just sending a request on one. A Drain works in two phases. In the
// first phase every HTTP/1.1 response has the header Connection: close, and
// requests that still arrive are served. The second phase shuts the servers down.
// It begins when no connection is open or the grace period is over, so idle
// connections are closed only if they carried no request in the whole grace
// period. With Drain.UntilIdle it begins as soon as all connections are idle.
//
// Clients that know no other process go on sending until the end. After the announce
// period a request is therefore served only if it ends before the shutdown does, and
// refused otherwise. That holds from the start for requests whose sender can turn to
// another process. See TimeLimiter.
package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// DefaultAnnouncePeriod is the minimum time between the start of the shutdown and
	// the closing of the listeners. In this time other processes learn of the
	// shutdown.
	DefaultAnnouncePeriod = 3 * time.Second
	// DefaultGracePeriod is the maximum time to wait until clients have closed
	// their connections.
	DefaultGracePeriod = 8 * time.Second
	// acceptPeriod is the minimum time in which a server accepts the connections that
	// were opened before its listener refused new ones.
	acceptPeriod = 100 * time.Millisecond
	// pollInterval is how often Run checks for open connections.
	pollInterval = 50 * time.Millisecond
)

// Drain performs the graceful shutdown of one process. It is safe for concurrent
// use.
type Drain struct {
	// AnnouncePeriod and GracePeriod may be changed before Run is called. See
	// DefaultAnnouncePeriod and DefaultGracePeriod.
	AnnouncePeriod time.Duration
	GracePeriod    time.Duration
	// UntilIdle ends the wait as soon as no connection carries a request, instead
	// of when no connection is open. It is for clients that retry a request
	// whose connection is closed before the request was read. It may be changed
	// before Run is called.
	UntilIdle bool

	// RefuseNew, if set, makes the listeners refuse new connections without closing
	// them. Run calls it before it closes the servers, and then waits for the
	// requests on connections that were opened before.
	RefuseNew func()
	// Log receives what the shutdown waits for. It may be changed before Track is called.
	Log *zap.Logger

	draining atomic.Bool
	// requests is the parent of the contexts of all requests. interrupt ends it.
	requests  context.Context
	interrupt context.CancelCauseFunc

	mu sync.Mutex
	// schedule is zero until Run is called, and if Run has no time limit.
	schedule Schedule
	// longest is the longest time that a request took which ended since Begin.
	longest time.Duration
	// open holds the open connections of the tracked servers.
	open map[net.Conn]*openConn
}

// New returns a Drain with the default periods.
func New() *Drain {
	requests, interrupt := context.WithCancelCause(context.Background())
	return &Drain{
		AnnouncePeriod: DefaultAnnouncePeriod,
		GracePeriod:    DefaultGracePeriod,
		requests:       requests,
		interrupt:      interrupt,
		Log:            zap.NewNop(),
		open:           make(map[net.Conn]*openConn),
	}
}

// Draining reports whether the shutdown has begun.
func (d *Drain) Draining() bool { return d.draining.Load() }

// Begin starts the first phase: HTTP/1.1 responses have the header Connection:
// close.
func (d *Drain) Begin() { d.draining.Store(true) }

// Track includes server in the graceful shutdown; call it before the server
// starts. Run waits for the connections of tracked servers. The log uses name. limiter
// knows the time limits of the server's requests. If it is nil, a request is expected to
// take as long as the longest that ended during the shutdown.
func (d *Drain) Track(server *http.Server, name string, limiter TimeLimiter) {
	server.Handler = &handler{drain: d, limiter: limiter, next: server.Handler}
	server.BaseContext = func(net.Listener) context.Context { return d.requests }
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, openConnKey{}, d.trackConn(conn, name))
	}
	previousHook := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		d.trackState(conn, state)
		if previousHook != nil {
			previousHook(conn, state)
		}
	}
}

// Run starts the shutdown, waits until the clients' connections are closed or the
// grace period is over, and then shuts the servers down one after the other. The
// shutdown of a server waits until its requests have ended. List the servers in
// the order in which a request passes them, the server for external callers
// first.
// If ctx is done first, Run closes the servers and returns the error of ctx. The contexts
// of the requests that are still open end endMargin before, with the cause
// fault.ErrStopping, so that each gets a response.
func (d *Drain) Run(ctx context.Context, servers ...*http.Server) error {
	d.Begin()
	start := time.Now()
	reporting, stopReporting := context.WithCancel(ctx)
	defer stopReporting()
	go d.reportWaiting(reporting)
	d.setSchedule(ctx, start.Add(d.AnnouncePeriod))
	if end := d.Schedule().End; !end.IsZero() {
		defer time.AfterFunc(time.Until(end), d.interruptRequests).Stop()
	}
	d.wait(ctx, start.Add(d.AnnouncePeriod), start.Add(d.GracePeriod))
	if d.RefuseNew != nil {
		d.RefuseNew()
		d.wait(ctx, time.Now().Add(acceptPeriod), start.Add(d.GracePeriod))
	}
	var errs []error
	for _, s := range servers {
		err := s.Shutdown(ctx)
		if err == nil {
			continue
		}
		// Shutdown may notice only after ctx that the last request has ended.
		if d.activeConns() > 0 {
			errs = append(errs, err)
		}
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}

// setSchedule records when the announce period ends and when ctx does.
func (d *Drain) setSchedule(ctx context.Context, announced time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if closing, ok := ctx.Deadline(); ok {
		d.schedule = Schedule{SelectiveFrom: announced, End: closing.Add(-endMargin)}
	}
}

// Schedule returns the schedule of the shutdown; it is zero while none has begun.
func (d *Drain) Schedule() Schedule {
	if !d.Draining() {
		return Schedule{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.schedule
}

// interruptRequests ends the contexts of the requests that are open.
func (d *Drain) interruptRequests() {
	d.logOpenRequests()
	d.interrupt(fault.ErrStopping)
}

// wait waits until nothing is pending, at least until earliest and at most until
// latest, or until ctx ends.
func (d *Drain) wait(ctx context.Context, earliest, latest time.Time) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		if !now.Before(latest) || !now.Before(earliest) && d.pendingConns() == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// trackConn records a new connection of the server with this name.
func (d *Drain) trackConn(conn net.Conn, server string) *openConn {
	c := &openConn{server: server}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open[conn] = c
	return c
}

// trackState records the state of a connection. HTTP/2 connections are recorded
// too: net/http reports them as active while they carry a request and as idle
// otherwise. Their clients learn of the shutdown only in the second phase, in
// which Shutdown closes the connections gracefully.
func (d *Drain) trackState(conn net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive, http.StateIdle:
		if c, ok := d.open[conn]; ok {
			c.active = state == http.StateActive
		}
	case http.StateClosed, http.StateHijacked:
		delete(d.open, conn)
	}
}

// pendingConns returns the number of connections that Run still waits for.
func (d *Drain) pendingConns() int {
	if d.UntilIdle {
		return d.activeConns()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

// activeConns returns the number of connections that carry a request.
func (d *Drain) activeConns() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	active := 0
	for _, c := range d.open {
		if c.active {
			active++
		}
	}
	return active
}
