// Package lifecycle runs the components of a process and closes them, and says in the log
// which of them a process that stops still waits for.
package lifecycle

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"
)

const (
	// firstReport is the time from the end of the first component to the first line about
	// those that the process waits for. Each further line comes after twice as long, up
	// to longestReport.
	firstReport   = 200 * time.Millisecond
	longestReport = 10 * time.Second
)

// Group runs components until one of them returns, and then ends the others, as run.Group
// does. Its closers are closed afterwards. Add components and closers before Run.
type Group struct {
	log     *zap.Logger
	actors  run.Group
	closers []closer

	mu sync.Mutex
	// waiting holds the names of the components that run, ending those that the
	// process is ending or closing now.
	waiting, ending []string
	// closed ends the report; nil until it begins.
	closed chan struct{}
}

type closer struct {
	name string
	io.Closer
}

// New returns an empty group.
func New(log *zap.Logger) *Group { return &Group{log: log} }

// Add adds a component: execute runs it, interrupt makes execute return.
func (g *Group) Add(name string, execute func() error, interrupt func(error)) {
	g.waiting = append(g.waiting, name)
	g.actors.Add(func() error {
		err := execute()
		g.startReport()
		remove(g, &g.waiting, name)
		return err
	}, func(err error) {
		done := g.begin(name)
		defer done()
		interrupt(err)
	})
}

// AddLoop adds a component that runs until its context ends.
func (g *Group) AddLoop(name string, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(name, func() error { return loop(ctx) }, func(error) { cancel() })
}

// AddCloser adds a closer. Close closes the last one first.
func (g *Group) AddCloser(name string, c io.Closer) {
	g.closers = append(g.closers, closer{name, c})
}

// Run runs the components and returns the error of the one that returned first, once all
// have returned.
func (g *Group) Run() error { return g.actors.Run() }

// Close closes the closers. It must be called once Run has returned, or in its place.
func (g *Group) Close() {
	g.startReport()
	defer g.stopReport()
	for _, c := range slices.Backward(g.closers) {
		done := g.begin(c.name)
		if err := c.Close(); err != nil {
			g.log.Warn("closing a component failed", zap.String("component", c.name), zap.Error(err))
		}
		done()
	}
	g.closers = nil
}

// begin records that a component is being ended.
func (g *Group) begin(name string) (done func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ending = append(g.ending, name)
	return func() { remove(g, &g.ending, name) }
}

func remove(g *Group, names *[]string, name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at := slices.Index(*names, name); at >= 0 {
		*names = slices.Delete(*names, at, at+1)
	}
}

func (g *Group) startReport() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
		go g.report(g.closed)
	}
}

func (g *Group) stopReport() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.closed)
	g.closed = nil
}

// report logs what the process waits for, ever more rarely, until closed is closed.
func (g *Group) report(closed <-chan struct{}) {
	start := time.Now()
	for interval := firstReport; ; interval = min(2*interval, longestReport) {
		select {
		case <-closed:
			return
		case <-time.After(interval):
		}
		g.mu.Lock()
		running, ending := slices.Clone(g.waiting), slices.Clone(g.ending)
		g.mu.Unlock()
		g.log.Warn("the process waits for its components to stop", zap.Duration("since", time.Since(start)),
			zap.Strings("running", running), zap.Strings("ending", ending))
	}
}
