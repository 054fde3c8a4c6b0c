package drain

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// reportInterval is the time between two lines about what a shutdown waits for.
	reportInterval = time.Second
	// maxListed is the number of open requests that the log lists.
	maxListed = 20
)

// reportWaiting logs, every reportInterval until ctx ends, the number of connections that
// carry a request on each server.
func (d *Drain) reportWaiting(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	start := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.Log.Info("graceful shutdown waits for open requests", zap.Duration("since", time.Since(start)), zap.Any("open", d.activeByServer()))
	}
}

// activeByServer returns the number of connections that carry a request, of all tracked
// servers that have open connections.
func (d *Drain) activeByServer() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	active := make(map[string]int)
	for _, c := range d.open {
		if c.active {
			active[c.server]++
		}
	}
	return active
}

// openRequest is a line of the list of open requests.
type openRequest struct {
	server   string
	progress *Progress
	age      time.Duration
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (o openRequest) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("server", o.server)
	if o.progress != nil {
		e.AddString("request", o.progress.ID)
		e.AddString("route", o.progress.Route)
		e.AddDuration("age", o.age)
		e.AddString("stage", Stage(o.progress.stage.Load()).String())
	}
	return nil
}

// openRequests returns the requests that are open, the oldest first. Those of which nothing
// is known come last.
func (d *Drain) openRequests(now time.Time) []openRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	var requests []openRequest
	for _, c := range d.open {
		if !c.active {
			continue
		}
		o := openRequest{server: c.server, progress: c.request.Load()}
		if o.progress != nil {
			o.age = now.Sub(o.progress.Began)
		}
		requests = append(requests, o)
	}
	slices.SortFunc(requests, func(a, b openRequest) int { return int(b.age - a.age) })
	return requests
}

// logOpenRequests lists the requests that are open, if there are any.
func (d *Drain) logOpenRequests() {
	requests := d.openRequests(time.Now())
	if len(requests) == 0 {
		return
	}
	d.Log.Warn("requests are still open at the end of the shutdown", zap.Int("total", len(requests)),
		zap.Objects("requests", requests[:min(len(requests), maxListed)]))
}
