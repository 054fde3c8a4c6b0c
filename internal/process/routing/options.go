// Package routing selects the target of each outgoing hop by what this daemon
// has observed: its own requests in flight, their latencies and failures, and
// the shedding levels in the responses. Load figures announced by targets are
// never used.
//
// Services are independent: the state of each has its own lock.
//
// Invariant: a target that is leaving, whose daemon is leaving, or that is out
// of service is not selected later than one refresh interval after this daemon
// learned of it.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/request/hop"
)

// Options configure a Router.
type Options struct {
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// FailureDomain is the failure domain of this daemon.
	FailureDomain string
	// Targets returns the known targets of a service. It is called once per
	// refresh interval for each service in use.
	Targets func(service string) []protocol.TargetRecord
	// InService reports whether the operators let a target receive new work;
	// nil means always.
	InService func(protocol.TargetRecord) bool
	// Weight returns the weight of a team within one importance; nil or a
	// result of 0 means 1.
	Weight func(team string) uint32
	// Rand returns random numbers; nil means the process-wide generator.
	Rand func() uint64
	// Events receives ejections; nil records nothing.
	Events hop.Recorder
	// Instance is the name of this daemon in events.
	Instance string
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Targets == nil {
		o.Targets = func(string) []protocol.TargetRecord { return nil }
	}
	if o.InService == nil {
		o.InService = func(protocol.TargetRecord) bool { return true }
	}
	if o.Weight == nil {
		o.Weight = func(string) uint32 { return 1 }
	}
	if o.Rand == nil {
		o.Rand = rand.Uint64
	}
	return o
}
