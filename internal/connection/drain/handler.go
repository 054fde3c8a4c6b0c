package drain

import (
	"net/http"
	"time"
)

// refusalRetryAfter is the Retry-After time of a refused request, in seconds, where no
// TimeLimiter refuses it.
const refusalRetryAfter = "1"

// TimeLimiter knows how long the requests of a server can take.
type TimeLimiter interface {
	// TimeLimit returns the time within which the server responds to r, whatever the
	// targets do. If movable is true, the sender of r may have it served by another
	// process: a request that could outlast the shutdown is then refused in the announce
	// period too.
	TimeLimit(r *http.Request) (limit time.Duration, movable bool)
	// Refuse responds to a request that could outlast the shutdown. The request has
	// not run.
	Refuse(w http.ResponseWriter, r *http.Request)
}

// LimitedHandler serves requests whose time limits it knows.
type LimitedHandler interface {
	http.Handler
	TimeLimiter
}

// handler serves the requests of one tracked server.
type handler struct {
	drain *Drain
	// limiter may be nil.
	limiter TimeLimiter
	next    http.Handler
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.drain.Draining() {
		h.next.ServeHTTP(w, r)
		return
	}
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	if !h.accepts(r, arrived) {
		h.refuse(w, r)
		return
	}
	defer func() { h.drain.ended(time.Since(arrived)) }()
	h.next.ServeHTTP(w, r)
}

// accepts reports whether a request that arrives during the shutdown is served.
func (h *handler) accepts(r *http.Request, arrived time.Time) bool {
	limit, movable := h.timeLimit(r)
	schedule, until := h.drain.Schedule(), arrived.Add(limit)
	if movable {
		return schedule.Outlasts(until)
	}
	return schedule.Allows(arrived, until)
}

func (h *handler) timeLimit(r *http.Request) (limit time.Duration, movable bool) {
	if h.limiter != nil {
		return h.limiter.TimeLimit(r)
	}
	h.drain.mu.Lock()
	defer h.drain.mu.Unlock()
	return h.drain.longest, false
}

func (h *handler) refuse(w http.ResponseWriter, r *http.Request) {
	if h.limiter != nil {
		h.limiter.Refuse(w, r)
		return
	}
	w.Header().Set("Retry-After", refusalRetryAfter)
	http.Error(w, "the process is shutting down", http.StatusServiceUnavailable)
}

// ended records the time that a request took.
func (d *Drain) ended(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.longest = max(d.longest, took)
}
