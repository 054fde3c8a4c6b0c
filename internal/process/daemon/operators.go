package daemon

import (
	"expvar"
	"net/http"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// operatorsHandler serves metrics and health checks.
func (d *Daemon) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", d.serveHealth)
	return mux
}

// serveHealth responds with 200 while the freshness lease is valid and the daemon
// is not shutting down, and with 503 otherwise. The daemon accepts new keyed
// requests only while the lease is valid.
func (d *Daemon) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if err := d.configuration.Fresh(); err != nil {
		http.Error(w, fault.Message(err), http.StatusServiceUnavailable)
		return
	}
	if d.drain.Draining() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// Vars returns the metrics of the daemon as an expvar.Var.
func (d *Daemon) Vars() expvar.Var {
	return expvar.Func(func() any { return d.metrics() })
}

// Metrics contains the current values of a daemon's gauges.
type Metrics struct {
	// Version is the number of the release note in effect in this process.
	Version uint64 `json:"version"`
	// Fresh is true while the freshness lease is valid.
	Fresh bool `json:"fresh"`
	// StaleTargets is true while no replica confirms the table of targets.
	StaleTargets bool `json:"stale_targets"`
	Leaving      bool `json:"leaving"`
	// OpenPermits is the number of requests that entered at this daemon and are
	// still in flight.
	OpenPermits int `json:"open_permits"`
	// LocalTargets is the number of announced local targets.
	LocalTargets int `json:"local_targets"`
}

func (d *Daemon) metrics() Metrics {
	return Metrics{
		Version:      d.configuration.Current().Number(),
		Fresh:        d.configuration.Fresh() == nil,
		StaleTargets: d.registry.Stale(),
		Leaving:      d.drain.Draining(),
		OpenPermits:  d.permits.Len(),
		LocalTargets: len(d.localTargets.List()),
	}
}
