package local

import (
	"strconv"
	"strings"
	"time"
)

const (
	// maxDepartures is the number of incarnations that are remembered.
	maxDepartures = 8
	// maxHeartbeatDelay is how late a heartbeat is expected to arrive at most.
	maxHeartbeatDelay = 10 * time.Second
	// departureTTL is how long other processes are told of a departure: longer than a
	// heartbeat that was sent before it can be on its way.
	departureTTL = 3 * maxHeartbeatDelay
)

// departures are the incarnations of targets at this address that have announced that
// they leave. A heartbeat that was sent before may arrive after that, also at a daemon
// that has restarted and knows nothing else of the target.
type departures struct {
	recent []departure
}

// departure is that of one incarnation.
type departure struct {
	id      string
	started int64 // see Heartbeat.Started
	// gone is true once the target has announced its exit.
	gone bool
	at   time.Time
}

func (d *departures) add(now time.Time, left departure) {
	left.at = now
	for i, known := range d.recent {
		if known.id == left.id && known.started == left.started {
			left.gone = left.gone || known.gone
			d.recent[i] = left
			return
		}
	}
	d.recent = append(d.recent, left)
	if len(d.recent) > maxDepartures {
		d.recent = d.recent[1:]
	}
}

// find reports whether the sender of h has announced that it leaves, and that it exits.
// An incarnation without a start time cannot be told from the next one of the same ID, so
// its departure counts only while heartbeats may be late.
func (d *departures) find(now time.Time, h Heartbeat) (leaving, gone bool) {
	for _, left := range d.recent {
		if left.id != h.ID {
			continue
		}
		unknown := left.started == 0 || h.Started == 0
		if unknown && now.Sub(left.at) < maxHeartbeatDelay || !unknown && left.started == h.Started {
			leaving, gone = true, gone || left.gone
		}
	}
	return leaving, gone
}

// incarnations returns the incarnations that left within departureTTL.
func (d *departures) incarnations(now time.Time) []string {
	var list []string
	for _, left := range d.recent {
		if now.Sub(left.at) < departureTTL {
			list = append(list, Heartbeat{ID: left.id, Started: left.started}.incarnation())
		}
	}
	return list
}

// parseIncarnation is the inverse of Heartbeat.incarnation.
func parseIncarnation(text string) (left departure, ok bool) {
	slash := strings.LastIndexByte(text, '/')
	if slash < 0 {
		return departure{}, false
	}
	started, err := strconv.ParseInt(text[slash+1:], 10, 64)
	return departure{id: text[:slash], started: started}, err == nil && started >= 0
}
