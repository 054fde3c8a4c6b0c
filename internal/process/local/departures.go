package local

import "time"

const (
	// maxDepartures is the number of exits that a daemon remembers.
	maxDepartures = 8
	// maxHeartbeatDelay is how late a heartbeat is expected to arrive at most. An exit
	// whose incarnation is unknown is remembered for that long.
	maxHeartbeatDelay = 10 * time.Second
)

// departures are the latest exits that targets at this address have announced. A
// heartbeat that was sent before the exit may arrive after it, also at a daemon that has
// restarted and knows nothing else of the target.
type departures struct {
	recent []departure
}

// departure is the exit of one incarnation.
type departure struct {
	id      string
	started int64 // see Heartbeat.Started
	at      time.Time
}

func (d *departures) add(now time.Time, h Heartbeat) {
	d.recent = append(d.recent, departure{id: h.ID, started: h.Started, at: now})
	if len(d.recent) > maxDepartures {
		d.recent = d.recent[1:]
	}
}

// includes reports whether the sender of h has announced its exit.
func (d *departures) includes(now time.Time, h Heartbeat) bool {
	for _, left := range d.recent {
		if left.id != h.ID {
			continue
		}
		if left.started == 0 || h.Started == 0 {
			if now.Sub(left.at) < maxHeartbeatDelay {
				return true
			}
			continue
		}
		if left.started == h.Started {
			return true
		}
	}
	return false
}
