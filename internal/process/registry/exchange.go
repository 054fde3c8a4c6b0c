package registry

import (
	"cmp"
	"slices"
	"time"
)

// ExchangeRequest asks another replica for the daemons that renew with it.
type ExchangeRequest struct {
	// Epoch and Version name what the asking replica has of the other one.
	Epoch   string `json:"e"`
	Version uint64 `json:"v"`
}

// ExchangeReply holds the daemons that renew with the answering replica.
type ExchangeReply struct {
	Epoch   string `json:"e"`
	Version uint64 `json:"v"`
	// Changed are the records that have changed since the asked version.
	Changed []AgedRecord `json:"c,omitempty"`
	// Alive are the daemons whose record has not changed.
	Alive []Heartbeat `json:"a,omitempty"`
}

// AgedRecord is a record and the time since the renewal that carried it.
type AgedRecord struct {
	Record Record        `json:"r"`
	Age    time.Duration `json:"g"`
}

// Heartbeat says that a daemon has renewed with an unchanged record.
type Heartbeat struct {
	Instance string `json:"i"`
	// Sum is the checksum of the record: the receiver may have another one,
	// from a replica that the daemon renewed with in between.
	Sum uint64        `json:"x"`
	Age time.Duration `json:"g"`
}

// Changes answers an exchange: the daemons that renew with this replica.
// Daemons that it learned of from others are left out, so nothing circulates.
func (r *Registry) Changes(now time.Time, request ExchangeRequest) ExchangeReply {
	reply := ExchangeReply{Epoch: r.epoch, Version: r.version.Load()}
	since := request.Version
	if request.Epoch != r.epoch {
		since = 0
	}
	for i := range r.daemons {
		r.daemons[i].collect(now, since, &reply)
	}
	slices.SortFunc(reply.Changed, func(a, b AgedRecord) int { return cmp.Compare(a.Record.Instance, b.Record.Instance) })
	slices.SortFunc(reply.Alive, func(a, b Heartbeat) int { return cmp.Compare(a.Instance, b.Instance) })
	return reply
}

func (sh *daemonShard) collect(now time.Time, since uint64, reply *ExchangeReply) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, d := range sh.daemons {
		age := now.Sub(d.renewed)
		switch {
		case !d.direct || age >= RecordLife:
		case d.changed > since:
			reply.Changed = append(reply.Changed, AgedRecord{d.record, age})
		default:
			reply.Alive = append(reply.Alive, Heartbeat{d.record.Instance, d.sum, age})
		}
	}
}

// Merge takes the answer of another replica. It returns false where a
// heartbeat names a record that this replica does not have: then the caller
// asks again from version 0.
func (r *Registry) Merge(now time.Time, reply ExchangeReply) bool {
	for _, c := range reply.Changed {
		if c.Age < RecordLife {
			r.put(c.Record, now.Add(-c.Age), now, false)
		}
	}
	complete := true
	for _, b := range reply.Alive {
		known := r.daemons[shardOf(b.Instance)].beat(now, b)
		complete = complete && known
	}
	return complete
}

// beat takes a heartbeat over and reports whether its record is known, or older
// than the one that is.
func (sh *daemonShard) beat(now time.Time, b Heartbeat) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	d, ok := sh.daemons[b.Instance]
	if !ok {
		return false
	}
	at := now.Add(-b.Age)
	if !at.After(d.renewed) {
		return true
	}
	if d.sum != b.Sum {
		return false
	}
	d.renewed = at
	return true
}
