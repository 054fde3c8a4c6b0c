package targetlog

import (
	"cmp"
	"slices"
	"time"
)

const (
	// departureTTL is how long a departure is kept: longer than a heartbeat that the
	// target sent before can be on its way.
	departureTTL = 10 * time.Minute
	// maxDepartures is the number of departures that are kept for one instance, and
	// maxInstances that of instances. The oldest are dropped first.
	maxDepartures = 8
	maxInstances  = 8192
)

// departures are the incarnations that have said that they leave, by instance, oldest
// first.
type departures map[string][]departed

type departed struct {
	Incarnation string `cbor:"1,keyasint"`
	// At is the state machine's time of the last report.
	At time.Duration `cbor:"2,keyasint"`
}

func (d departures) add(now time.Duration, r Departure) {
	list := d[r.Instance]
	for _, incarnation := range r.Incarnations {
		list = slices.DeleteFunc(list, func(known departed) bool { return known.Incarnation == incarnation })
		list = append(list, departed{incarnation, now})
	}
	d[r.Instance] = list[max(len(list)-maxDepartures, 0):]
	if len(d) > maxInstances {
		delete(d, d.oldest())
	}
}

// oldest returns the instance whose last departure is the oldest.
func (d departures) oldest() string {
	oldest := ""
	for instance, list := range d {
		if oldest == "" || cmp.Or(cmp.Compare(last(list), last(d[oldest])), cmp.Compare(instance, oldest)) < 0 {
			oldest = instance
		}
	}
	return oldest
}

func last(list []departed) time.Duration { return list[len(list)-1].At }

func (d departures) expire(now time.Duration) {
	for instance, list := range d {
		list = slices.DeleteFunc(list, func(known departed) bool { return now-known.At >= departureTTL })
		if len(list) == 0 {
			delete(d, instance)
			continue
		}
		d[instance] = list
	}
}
