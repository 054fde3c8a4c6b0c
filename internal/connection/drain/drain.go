// Package drain lets a process leave without cutting off a request.
//
// http.Server.Shutdown alone closes idle HTTP/1.1 connections at once, also
// under a caller that is just sending. A Drain leaves in phases: every answer
// says that its connection ends, while requests that still arrive are served;
// only connections without a request for the whole grace period are closed
// when idle.
package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultAnnounce is the least time between the start of leaving and the
	// closing of listeners, in which other processes learn of it.
	DefaultAnnounce = 3 * time.Second
	// DefaultGrace is the most time for HTTP/1.1 connections to end by
	// themselves.
	DefaultGrace = 8 * time.Second
	// lookInterval is the time between two looks for open connections.
	lookInterval = 50 * time.Millisecond
)

// Drain is the leaving of one process. It may be used by any number of
// goroutines.
type Drain struct {
	// Announce and Grace may be changed before Run is called.
	Announce time.Duration
	Grace    time.Duration
	// UntilIdle ends the wait once no connection carries a request, instead of
	// once none is open. It is for callers that repeat a request whose
	// connection closes before it was read. It may be changed before Run is
	// called.
	UntilIdle bool

	leaving atomic.Bool

	mu sync.Mutex
	// open holds the HTTP/1.1 connections; the value is true while one carries
	// a request.
	open map[net.Conn]bool
}

// New returns a Drain with the default times.
func New() *Drain {
	return &Drain{
		Announce: DefaultAnnounce,
		Grace:    DefaultGrace,
		open:     make(map[net.Conn]bool),
	}
}

// Leaving reports whether the process has begun to leave.
func (d *Drain) Leaving() bool { return d.leaving.Load() }

// Begin starts the first phase: answers announce the end of their connections.
func (d *Drain) Begin() { d.leaving.Store(true) }

// Track makes server part of the drain; call it before the server starts. Run
// waits for the HTTP/1.1 connections of tracked servers.
func (d *Drain) Track(server *http.Server) {
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.Leaving() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	before := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		d.note(conn, state)
		if before != nil {
			before(conn, state)
		}
	}
}

// Run begins to leave, waits until the connections of callers have ended or
// the grace period is over, and then shuts the servers down one after the
// other, each once its requests have ended. List them from the callers'
// listener inwards. Where ctx ends first the servers are closed and its error
// is returned.
func (d *Drain) Run(ctx context.Context, servers ...*http.Server) error {
	d.Begin()
	d.wait(ctx)
	var errs []error
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			errs = append(errs, err, s.Close())
		}
	}
	return errors.Join(errs...)
}

func (d *Drain) wait(ctx context.Context) {
	start := time.Now()
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		passed := time.Since(start)
		if passed >= d.Grace || passed >= d.Announce && d.waitedFor() == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// note follows HTTP/1.1 connections. One that turns to HTTP/2 stays active;
// Shutdown ends it in order by itself.
func (d *Drain) note(conn net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive, http.StateIdle:
		d.open[conn] = state == http.StateActive
	case http.StateClosed, http.StateHijacked:
		delete(d.open, conn)
	}
}

// waitedFor counts the connections that keep the process from leaving.
func (d *Drain) waitedFor() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.UntilIdle {
		return len(d.open)
	}
	active := 0
	for _, carries := range d.open {
		if carries {
			active++
		}
	}
	return active
}
