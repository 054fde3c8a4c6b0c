package registry

import (
	"slices"
	"time"
)

// departureTTL is how long a departure is remembered after the last report of it: longer
// than a heartbeat of the target that was sent before can be on its way.
const departureTTL = 30 * time.Second

// maxDepartures is the number of departures that are remembered for one daemon.
const maxDepartures = 8

// departures are the incarnations that daemons have reported as departed, by instance. A
// daemon keeps no state on disk: after a restart it learns from here that its target was
// already leaving.
type departures map[string][]departure

type departure struct {
	incarnation string
	reported    time.Time
}

func (d departures) add(now time.Time, rec Record) {
	if len(rec.Departed) == 0 {
		return
	}
	list := d[rec.Instance]
	for _, incarnation := range rec.Departed {
		i := slices.IndexFunc(list, func(known departure) bool { return known.incarnation == incarnation })
		if i >= 0 {
			list = slices.Delete(list, i, i+1)
		}
		list = append(list, departure{incarnation, now})
	}
	d[rec.Instance] = list[max(len(list)-maxDepartures, 0):]
}

func (d departures) expire(now time.Time) {
	for instance, list := range d {
		list = slices.DeleteFunc(list, func(known departure) bool { return now.Sub(known.reported) >= departureTTL })
		if len(list) == 0 {
			delete(d, instance)
			continue
		}
		d[instance] = list
	}
}

// Departed returns the incarnations that the daemon of an instance has reported as
// departed within departureTTL, also before its last start.
func (r *Registry) Departed(instance string) []string {
	sh := &r.daemons[shardOf(instance)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var incarnations []string
	for _, known := range sh.departures[instance] {
		incarnations = append(incarnations, known.incarnation)
	}
	return incarnations
}
