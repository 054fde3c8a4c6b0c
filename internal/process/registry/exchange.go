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
	Instance string        `json:"i"`
	Session  string        `json:"x"`
	Age      time.Duration `json:"g"`
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
			reply.Alive = append(reply.Alive, Heartbeat{d.record.Instance, d.record.Session, age})
		}
	}
}

// Merge takes the answer of another replica. It returns false where a
// heartbeat names a daemon that this replica doesn't know in that session:
// then the caller asks again from version 0.
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

// beat takes a heartbeat over and reports whether the daemon is known.
func (sh *daemonShard) beat(now time.Time, b Heartbeat) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	d, ok := sh.daemons[b.Instance]
	if !ok || d.record.Session != b.Session {
		return false
	}
	if at := now.Add(-b.Age); at.After(d.renewed) {
		d.renewed = at
	}
	return true
}
