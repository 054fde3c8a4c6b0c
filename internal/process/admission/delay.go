package admission

import "time"

const (
	// delayInterval is how long a queue may stand before it counts as
	// overloaded.
	delayInterval = 100 * time.Millisecond
	// delayTarget is the least wait that an overloaded queue allows.
	delayTarget = 10 * time.Millisecond
)

// delay bounds the wait in a queue. A queue that was empty within the last
// interval may hold requests for one interval, to take up a burst; one that
// stood longer is overloaded and holds them only for a short time.
type delay struct {
	lastEmpty time.Time
}

func (d *delay) empty(now time.Time) { d.lastEmpty = now }

func (d *delay) overloaded(now time.Time) bool {
	return now.Sub(d.lastEmpty) > delayInterval
}

// bound is the longest wait now, for a target that takes service for one
// request.
func (d *delay) bound(now time.Time, service time.Duration) time.Duration {
	short := max(delayTarget, service)
	if d.overloaded(now) {
		return short
	}
	return delayInterval + short
}
