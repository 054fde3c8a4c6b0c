package balancing

import (
	"slices"
	"time"
)

const (
	// delayWeight is the weight of one request in the moving average of the delay.
	delayWeight = 0.2
	// delayHalfLife is the half-life of the delay of a target that gets no requests of
	// the route. A single request then shows whether it is still slow.
	delayHalfLife = 2 * time.Second
	// knownDelayHalfLife is the same for the comparison with others: what all targets
	// share is remembered, so that requests do not wander between slow targets.
	knownDelayHalfLife = 10 * time.Second
	// maxPendingRead is the number of outstanding requests, oldest first, whose age is
	// looked at.
	maxPendingRead = 16
)

// delay is the time that a target takes for the requests of one route, in units of their
// latency objective.
type delay struct {
	value float64
	at    time.Time
	// pending holds when each outstanding request was sent, oldest first.
	pending []time.Time
}

// observe adds the time that one request took. atLeast is true if it was given up by then.
func (d *delay) observe(now time.Time, value float64, atLeast bool) {
	if atLeast && value <= d.value {
		return
	}
	weight := max(delayWeight, 1-decay(now.Sub(d.at), delayHalfLife))
	if d.at.IsZero() {
		weight = delayWeight
	}
	d.value += weight * (value - d.value)
	d.at = now
}

// estimate returns the delay at now. Outstanding requests that are already older than it
// count with their age.
func (d *delay) estimate(now time.Time, objective time.Duration) float64 {
	if len(d.pending) == 0 {
		return d.value * decay(now.Sub(d.at), delayHalfLife)
	}
	value := d.value
	for _, sentAt := range d.pending[:min(len(d.pending), maxPendingRead)] {
		age := now.Sub(sentAt).Seconds() / objective.Seconds()
		if age <= value {
			break
		}
		value += delayWeight * (age - value)
	}
	return value
}

// known returns what was last observed, for the comparison with other targets.
func (d *delay) known(now time.Time) float64 {
	return d.value * decay(now.Sub(d.at), knownDelayHalfLife)
}

func (d *delay) remove(sentAt time.Time) {
	if i := slices.Index(d.pending, sentAt); i >= 0 {
		d.pending = slices.Delete(d.pending, i, i+1)
	}
}

// delayOf returns the delay of a route, and creates it if the target has none.
func (t *Target) delayOf(route string) *delay {
	d, ok := t.delays[route]
	if !ok {
		if t.delays == nil {
			t.delays = make(map[string]*delay)
		}
		d = new(delay)
		t.delays[route] = d
	}
	return d
}

// removeStaleRoutes forgets routes that have had no request for routeStaleAfter.
func (t *targetState) removeStaleRoutes(now time.Time) {
	if now.Sub(t.routesCleanedAt) < routeStaleAfter {
		return
	}
	t.routesCleanedAt = now
	for route, d := range t.delays {
		if len(d.pending) == 0 && now.Sub(d.at) > routeStaleAfter {
			delete(t.delays, route)
		}
	}
	for route, called := range t.byRoute {
		if now.Sub(called.at) > routeStaleAfter {
			delete(t.byRoute, route)
		}
	}
}

// TimeTaken is what the end of a request shows about the time that its target takes.
type TimeTaken int

const (
	// NoTimeTaken is the end of a request that failed or did not run.
	NoTimeTaken TimeTaken = iota
	// WholeTimeTaken is that of one that the target has completed.
	WholeTimeTaken
	// LeastTimeTaken is that of one that still ran when its sender gave it up.
	LeastTimeTaken
)

// RecordTime records how long the target took for the selected request.
func (c Choice) RecordTime(now time.Time, taken TimeTaken) {
	c.Update(func(t *Target) { t.recordTime(now, c.sentRequest, taken) })
}

// sentRequest is a request of a route that was sent to a target.
type sentRequest struct {
	route     string
	objective time.Duration
	sentAt    time.Time
}

// sent records that a request was sent to the target.
func (t *Target) sent(r sentRequest) {
	t.outstanding++
	d := t.delayOf(r.route)
	d.pending = append(d.pending, r.sentAt)
}

// ended records that a request has ended.
func (t *Target) ended(r sentRequest) {
	t.outstanding--
	t.delayOf(r.route).remove(r.sentAt)
}

func (t *Target) recordTime(now time.Time, r sentRequest, taken TimeTaken) {
	if taken == NoTimeTaken || r.objective <= 0 {
		return
	}
	t.delayOf(r.route).observe(now, now.Sub(r.sentAt).Seconds()/r.objective.Seconds(), taken == LeastTimeTaken)
}
