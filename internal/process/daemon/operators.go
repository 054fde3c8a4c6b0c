package daemon

import (
	"expvar"
	"net/http"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// operatorsHandler serves metrics and health.
func (d *Daemon) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", d.serveHealth)
	return mux
}

// serveHealth answers 200 while this daemon may start keyed work.
func (d *Daemon) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if err := d.holder.Fresh(); err != nil {
		http.Error(w, fault.Message(err), http.StatusServiceUnavailable)
		return
	}
	if d.drain.Leaving() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// Vars returns the metrics of the daemon for expvar.
func (d *Daemon) Vars() expvar.Var {
	return expvar.Func(func() any { return d.metrics() })
}

// Metrics is the current reading of a daemon's gauges.
type Metrics struct {
	// Version is the number of the release note in force here.
	Version uint64 `json:"version"`
	// Fresh is true while the freshness lease holds.
	Fresh bool `json:"fresh"`
	// StaleTargets is true while no replica confirms the list of targets.
	StaleTargets bool `json:"stale_targets"`
	Leaving      bool `json:"leaving"`
	// OpenPermits is the number of requests that began here and still run.
	OpenPermits int `json:"open_permits"`
	// LocalTargets is the number of targets announced here.
	LocalTargets int `json:"local_targets"`
}

func (d *Daemon) metrics() Metrics {
	return Metrics{
		Version:      d.holder.Current().Number(),
		Fresh:        d.holder.Fresh() == nil,
		StaleTargets: d.table.Stale(),
		Leaving:      d.drain.Leaving(),
		OpenPermits:  d.permits.Len(),
		LocalTargets: len(d.announced.List()),
	}
}
