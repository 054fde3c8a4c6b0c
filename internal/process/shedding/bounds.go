package shedding

import "time"

const (
	// routeStaleAfter is how long what is known of a route is kept without a request of it,
	// or a report about it.
	routeStaleAfter = time.Minute
	// maxRoutes bounds the routes of which something is kept. Nothing is learned of others.
	maxRoutes = 16 << 10
)

// sweepDue reports whether routeStaleAfter has passed since the last sweep, and sets the time
// of the last one to now if so.
func sweepDue(now time.Time, last *time.Time) bool {
	if now.Sub(*last) < routeStaleAfter {
		return false
	}
	*last = now
	return true
}
