package admission

import "time"

const (
	// delayInterval is how long a standing queue is tolerated before it counts
	// as overloaded.
	delayInterval = 100 * time.Millisecond
	// delayTarget is the minimum of the bound on the wait in an overloaded
	// queue.
	delayTarget = 10 * time.Millisecond
)

// delay bounds the wait in a queue. A queue that was empty within the last
// interval may hold requests for one interval, to absorb a burst. A queue that
// has been standing for longer is overloaded and holds requests only for a
// short time.
type delay struct {
	lastEmpty time.Time
}

func (d *delay) observeEmpty(now time.Time) { d.lastEmpty = now }

func (d *delay) overloaded(now time.Time) bool {
	return now.Sub(d.lastEmpty) > delayInterval
}

// bound returns the current bound on the wait. serviceTime is the mean service
// time of the target.
func (d *delay) bound(now time.Time, serviceTime time.Duration) time.Duration {
	short := max(delayTarget, serviceTime)
	if d.overloaded(now) {
		return short
	}
	return delayInterval + short
}
