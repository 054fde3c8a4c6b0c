package registry

import (
	"cmp"
	"slices"
	"time"
)

// ExchangeRequest requests from another replica the daemons that renew with it.
type ExchangeRequest struct {
	// Epoch and Version are those of the last reply that was merged; empty and 0
	// request everything.
	Epoch   string `json:"e"`
	Version uint64 `json:"v"`
}

// ExchangeReply holds the daemons that renew with the replying replica.
type ExchangeReply struct {
	Epoch   string `json:"e"`
	Version uint64 `json:"v"`
	// Changed holds the records that have changed since the requested version.
	Changed []AgedRecord `json:"c,omitempty"`
	// Alive holds the daemons whose record has not changed.
	Alive []Heartbeat `json:"a,omitempty"`
}

// AgedRecord is a record with the time since the renewal that carried it.
type AgedRecord struct {
	Record Record        `json:"r"`
	Age    time.Duration `json:"g"`
}

// Heartbeat reports that a daemon has renewed with an unchanged record.
type Heartbeat struct {
	Instance string `json:"i"`
	// Sum is the checksum of the record. The receiver may have a different
	// record if the daemon has renewed with another replica meanwhile.
	Sum uint64        `json:"x"`
	Age time.Duration `json:"g"`
}

// Changes returns the daemons that renew with this replica. Daemons that it learned
// of from other replicas are left out, so that records do not circulate.
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

// collect adds the daemons of the shard that renew with this replica to reply.
func (sh *daemonShard) collect(now time.Time, since uint64, reply *ExchangeReply) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, d := range sh.daemons {
		age := now.Sub(d.renewed)
		switch {
		case !d.direct || age >= RecordTTL:
		case d.changed > since:
			reply.Changed = append(reply.Changed, AgedRecord{d.record, age})
		default:
			reply.Alive = append(reply.Alive, Heartbeat{d.record.Instance, d.sum, age})
		}
	}
}

// Merge applies the reply of another replica. It returns false if a heartbeat
// refers to a record that this replica does not have; the caller must then request
// again from version 0.
func (r *Registry) Merge(now time.Time, reply ExchangeReply) bool {
	for _, changed := range reply.Changed {
		if changed.Age < RecordTTL {
			r.put(changed.Record, now.Add(-changed.Age), now, false)
		}
	}
	complete := true
	for _, heartbeat := range reply.Alive {
		known := r.daemons[shardOf(heartbeat.Instance)].applyHeartbeat(now, heartbeat)
		complete = complete && known
	}
	return complete
}

// applyHeartbeat applies a heartbeat. It returns false if the daemon is not known,
// or if the heartbeat is newer than the last known renewal and its checksum is that
// of a different record.
func (sh *daemonShard) applyHeartbeat(now time.Time, heartbeat Heartbeat) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	d, ok := sh.daemons[heartbeat.Instance]
	if !ok {
		return false
	}
	renewed := now.Add(-heartbeat.Age)
	if !renewed.After(d.renewed) {
		return true
	}
	if d.sum != heartbeat.Sum {
		return false
	}
	d.renewed = renewed
	return true
}
