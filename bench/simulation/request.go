package simulation

import "time"

// Request is one attempt of a caller: one whole request at one root.
type Request struct {
	id    string
	team  int
	route *Route
	// deadline is when the caller stops waiting.
	deadline time.Duration
	closed   bool
	ok       bool
	figures  *Figures
	// spent is the target time so far.
	spent time.Duration
	// extra counts the extra attempts of hops.
	extra int
	// onClose is called when the request ends.
	onClose func(ok bool)
	cancel  func()
}

// worked accounts for target time; what comes after a failure is wasted.
func (r *Request) worked(d time.Duration) {
	r.figures.Worked += d
	if r.closed {
		if !r.ok {
			r.figures.Wasted += d
		}
		return
	}
	r.spent += d
}

// retried counts one extra attempt of a hop.
func (r *Request) retried() {
	r.extra++
	r.figures.Retries++
	r.figures.MaxExtra = max(r.figures.MaxExtra, r.extra)
}

// close ends the request once.
func (r *Request) close(ok bool) {
	if r.closed {
		return
	}
	r.closed, r.ok = true, ok
	if !ok {
		r.figures.Wasted += r.spent
	}
	if !ok && r.cancel != nil {
		r.cancel()
	}
	r.onClose(ok)
}
