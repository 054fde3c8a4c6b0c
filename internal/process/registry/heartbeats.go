package registry

import (
	"encoding/binary"
	"math"
	"time"
)

// A packed heartbeat has heartbeatBytes bytes: the age in milliseconds, rounded up
// (16 bits), the low 16 bits of the record's checksum, and how many versions the
// daemon's configuration is behind the newest one (8 bits). An age that does not fit
// becomes the highest value, which is past RecordTTL. A distance that does not fit
// becomes unknownDistance.
const (
	heartbeatBytes  = 5
	unknownDistance = math.MaxUint8
)

// packHeartbeats sets the heartbeats of the reply, and Instances if the set of
// daemons has changed. heartbeats are sorted by instance.
func (r *ExchangeReply) packHeartbeats(heartbeats []Heartbeat, setChanged bool) {
	for _, h := range heartbeats {
		r.Newest = max(r.Newest, h.Configuration)
	}
	r.Heartbeats = make([]byte, 0, len(heartbeats)*heartbeatBytes)
	for _, h := range heartbeats {
		if setChanged {
			r.Instances = append(r.Instances, h.Instance)
		}
		age := min((h.Age + time.Millisecond - 1).Milliseconds(), math.MaxUint16)
		behind := min(r.Newest-h.Configuration, unknownDistance)
		r.Heartbeats = binary.BigEndian.AppendUint16(r.Heartbeats, uint16(age))
		r.Heartbeats = binary.BigEndian.AppendUint16(r.Heartbeats, uint16(h.Sum))
		r.Heartbeats = append(r.Heartbeats, byte(behind))
	}
}

// unpackHeartbeats returns the heartbeats of the daemons, in their order. ok is
// false if the reply has another number of heartbeats.
func (r *ExchangeReply) unpackHeartbeats(instances []string) (heartbeats []Heartbeat, ok bool) {
	if len(r.Heartbeats) != len(instances)*heartbeatBytes {
		return nil, false
	}
	for i, instance := range instances {
		b := r.Heartbeats[i*heartbeatBytes:]
		heartbeats = append(heartbeats, Heartbeat{
			Instance:      instance,
			Age:           time.Duration(binary.BigEndian.Uint16(b)) * time.Millisecond,
			Sum:           uint64(binary.BigEndian.Uint16(b[2:])),
			Configuration: r.Newest - min(uint64(b[4]), r.Newest),

			configurationKnown: b[4] != unknownDistance,
		})
	}
	return heartbeats, true
}
