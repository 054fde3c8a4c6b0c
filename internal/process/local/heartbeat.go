package local

import "time"

// Heartbeat is what a target says of itself.
type Heartbeat struct {
	// ID names the target; a target may start again under the same one.
	ID string
	// Started is when the target process started, in milliseconds since 1970 by
	// its own clock; 0 where it does not say.
	Started int64
	// Sequence rises with each heartbeat of one incarnation.
	Sequence uint64
	Service  string
	Address  string
	Slots    int
	// Leaving targets get no new work; Gone ones have said that they are about
	// to end.
	Leaving bool
	Gone    bool
	// ColdFor is how much longer the target is cold.
	ColdFor time.Duration
}

// newer reports whether h was sent after old, where they may belong to
// different incarnations.
func (h Heartbeat) newer(old Heartbeat) bool {
	if h.Started != old.Started && h.Started != 0 && old.Started != 0 {
		return h.Started > old.Started
	}
	if h.ID != old.ID {
		return !old.Gone || h.Sequence <= old.Sequence
	}
	return h.Sequence > old.Sequence
}

// sameIncarnation reports whether both come from one start of one target.
func (h Heartbeat) sameIncarnation(old Heartbeat) bool {
	return h.ID == old.ID && h.Started == old.Started
}
