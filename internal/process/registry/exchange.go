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
	// Packed says that the sender reads packed heartbeats. Replicas of earlier
	// builds do not.
	Packed bool `json:"p,omitempty"`
}

// ExchangeReply holds the daemons that renew with the replying replica.
type ExchangeReply struct {
	Epoch   string `json:"e"`
	Version uint64 `json:"v"`
	// FailureDomain is that of the replying replica.
	FailureDomain string `json:"d,omitempty"`
	// Changed holds the records that have changed since the requested version.
	Changed []AgedRecord `json:"c,omitempty"`
	// Alive holds the daemons whose record has not changed. It is unset if Packed
	// was requested.
	Alive []Heartbeat `json:"a,omitempty"`
	// Instances are the daemons of Heartbeats, sorted. They are unset if they are
	// the same as at the requested version.
	Instances []string `json:"i,omitempty"`
	// Heartbeats holds the heartbeats of all daemons that renew with the replica,
	// packed in the order of Instances.
	Heartbeats []byte `json:"h,omitempty"`
	// Newest is the highest configuration version that one of them reported.
	Newest uint64 `json:"n,omitempty"`
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
	// Configuration is the configuration version that the daemon reported. The JSON
	// form leaves it out, since the checksums of earlier builds cover it, and a
	// packed heartbeat cannot express every version; where it is unknown, the
	// version of the last record remains.
	Configuration      uint64 `json:"-"`
	configurationKnown bool
}

// Changes returns the daemons that renew with this replica. Daemons that it learned
// of from other replicas are left out, so that records do not circulate.
func (r *Registry) Changes(now time.Time, request ExchangeRequest) ExchangeReply {
	reply := ExchangeReply{Epoch: r.epoch, Version: r.version.Load()}
	since := request.Version
	if request.Epoch != r.epoch {
		since = 0
	}
	var heartbeats []Heartbeat
	for i := range r.daemons {
		heartbeats = r.daemons[i].collect(now, since, &reply, heartbeats)
	}
	slices.SortFunc(reply.Changed, func(a, b AgedRecord) int { return cmp.Compare(a.Record.Instance, b.Record.Instance) })
	slices.SortFunc(heartbeats, func(a, b Heartbeat) int { return cmp.Compare(a.Instance, b.Instance) })
	if !request.Packed {
		reply.Alive = slices.DeleteFunc(heartbeats, func(h Heartbeat) bool { return h.Age >= RecordTTL })
		return reply
	}
	// The set is compared after it was collected: a change during the collection
	// has a later version than the reply, and is sent again with the next one.
	reply.packHeartbeats(heartbeats, since == 0 || r.setChanged.Load() > since)
	return reply
}

// collect adds the daemons of the shard that renew with this replica: to
// reply.Changed if their record has changed since the version, and all to heartbeats.
func (sh *daemonShard) collect(now time.Time, since uint64, reply *ExchangeReply, heartbeats []Heartbeat) []Heartbeat {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, d := range sh.daemons {
		if !d.direct {
			continue
		}
		age := now.Sub(d.renewed)
		if d.changed > since && age < RecordTTL {
			reply.Changed = append(reply.Changed, AgedRecord{d.record, age})
		}
		heartbeats = append(heartbeats, Heartbeat{Instance: d.record.Instance, Sum: d.sum, Age: age, Configuration: d.record.Version, configurationKnown: true})
	}
	return heartbeats
}

// Merge applies the reply of another replica. A negative age counts as 0: nothing has
// happened in the future, and no later renewal would be believed. It returns false if a heartbeat
// refers to a record that this replica does not have; the caller must then request
// again from version 0.
func (r *Registry) Merge(now time.Time, reply ExchangeReply) bool {
	for _, changed := range reply.Changed {
		if changed.Age < RecordTTL {
			r.put(changed.Record, now.Add(-max(changed.Age, 0)), now, false)
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
// of a different record. An expired heartbeat is ignored.
func (sh *daemonShard) applyHeartbeat(now time.Time, heartbeat Heartbeat) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if heartbeat.Age >= RecordTTL {
		return true
	}
	d, ok := sh.daemons[heartbeat.Instance]
	if !ok {
		return false
	}
	renewed := now.Add(-max(heartbeat.Age, 0))
	if !renewed.After(d.renewed) {
		return true
	}
	if uint16(d.sum) != uint16(heartbeat.Sum) {
		return false
	}
	d.renewed = renewed
	if heartbeat.configurationKnown {
		d.record.Version = heartbeat.Configuration
	}
	return true
}
