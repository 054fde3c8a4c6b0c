package simulation

import "time"

// Request is one attempt of a client. Each attempt is a separate request with
// its own id; in the product, each has its own root.
type Request struct {
	id    string
	team  int
	route *Route
	// deadline is the time in the run at which the client stops waiting.
	deadline time.Duration
	closed   bool
	ok       bool
	stats    *Stats
	// targetTime is the time that targets have worked on the request so far.
	targetTime time.Duration
	// extraAttempts counts the retries of hops.
	extraAttempts int
	// onClose is called when the request ends.
	onClose func(ok bool)
	// cancel stops the processing of a request that failed. It may be nil.
	cancel func()
}

// addTargetTime adds the time that a target worked on the request. Time spent
// after the request failed is wasted.
func (r *Request) addTargetTime(d time.Duration) {
	r.stats.TargetTime += d
	if r.closed {
		if !r.ok {
			r.stats.WastedTime += d
		}
		return
	}
	r.targetTime += d
}

// countRetry counts one extra attempt of a hop.
func (r *Request) countRetry() {
	r.extraAttempts++
	r.stats.Retries++
	r.stats.MaxExtraAttempts = max(r.stats.MaxExtraAttempts, r.extraAttempts)
}

// close ends the request. Later calls have no effect.
func (r *Request) close(ok bool) {
	if r.closed {
		return
	}
	r.closed, r.ok = true, ok
	if !ok {
		r.stats.WastedTime += r.targetTime
	}
	if !ok && r.cancel != nil {
		r.cancel()
	}
	r.onClose(ok)
}
