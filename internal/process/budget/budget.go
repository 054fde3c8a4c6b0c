// Package budget bounds how many requests this process sends a second time. It
// does no I/O; time comes in as an argument.
//
// Load pattern: a deep service fails part of its requests while demand is at
// its highest. Each repeat brings its own calls to the services below, so that
// repeats of all processes together must stay a small share of the requests.
package budget

import (
	"sync"
	"time"
)

// Options are the parameters of a Budget.
type Options struct {
	// Ratio is the share of the requests for a service that may be repeated by
	// all processes together.
	Ratio float64
	// Window is the time over which repeats are counted, and Slack how many are
	// allowed in it beside the ratio.
	Window time.Duration
	Slack  float64
	// Processes returns how many processes share the slack.
	Processes func() int
}

const (
	// amplification is the number of calls that one repeat may cause at a
	// service below: each of them counts as a repeat there.
	amplification = 8
	// reserve is the part of the allowance that is used, since requests counted
	// here may never reach the service.
	reserve = 0.5
)

// Budget holds an allowance for each service. Its methods may be called from
// any goroutine.
type Budget struct {
	o  Options
	mu sync.Mutex
	// services holds the allowance by service.
	services map[string]*allowance
}

type allowance struct {
	tokens float64
	last   time.Time
}

// New returns a budget without allowances.
func New(o Options) *Budget {
	return &Budget{o: o, services: make(map[string]*allowance)}
}

// Request counts a request for a service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.refill(now, service)
	a.tokens = min(a.tokens+b.o.Ratio*reserve/amplification, b.most())
}

// Take reports whether a request for the service may be sent once more, and
// counts it.
func (b *Budget) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.refill(now, service)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// refill adds this process's part of the slack that has come up since the last
// look.
func (b *Budget) refill(now time.Time, service string) *allowance {
	a, ok := b.services[service]
	if !ok {
		a = &allowance{last: now, tokens: b.most() / 2}
		b.services[service] = a
	}
	share := b.o.Slack * reserve / amplification / float64(max(b.o.Processes(), 1))
	a.tokens = min(a.tokens+share*now.Sub(a.last).Seconds()/b.o.Window.Seconds(), b.most())
	a.last = now
	return a
}

// most bounds the tokens that can be saved up.
func (b *Budget) most() float64 {
	return max(1, b.o.Slack*reserve/amplification/float64(max(b.o.Processes(), 1)))
}
