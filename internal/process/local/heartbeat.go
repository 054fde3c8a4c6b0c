package local

import (
	"strconv"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// MaxColdFor is the longest remaining cold-start time that a target may state.
const MaxColdFor = 24 * time.Hour

// Heartbeat is the status that a target reports periodically.
type Heartbeat struct {
	// ID identifies the target. A target may restart under the same ID.
	ID string
	// Started is when the target process started, in milliseconds since the
	// Unix epoch by the target's clock. It is 0 if the target does not report
	// it.
	Started int64
	// Sequence increases with each heartbeat of one incarnation.
	Sequence uint64
	Service  string
	Address  string
	// Slots is the number of requests that the target can run concurrently.
	Slots int
	// Leaving is true if the target is to get no new requests. Gone is true if
	// the target is about to exit.
	Leaving bool
	Gone    bool
	// ColdFor is the remaining cold-start time of the target.
	ColdFor time.Duration
}

// Validate returns a BadRequest error if a value of h is out of range. Of the last
// message of a target, only what identifies the target counts.
func (h Heartbeat) Validate() error {
	if err := protocol.CheckIncarnation(h.incarnation()); err != nil {
		return err
	}
	if h.Gone {
		return nil
	}
	if h.ColdFor < 0 || h.ColdFor > MaxColdFor {
		return fault.New(fault.BadRequest, "the remaining cold-start time must be between 0 and %s", MaxColdFor)
	}
	return protocol.CheckSlots(h.Slots)
}

// newer reports whether h was sent after old. The two may belong to different
// incarnations.
func (h Heartbeat) newer(old Heartbeat) bool {
	if h.Started != old.Started && h.Started != 0 && old.Started != 0 {
		return h.Started > old.Started
	}
	if h.ID != old.ID {
		return !old.Gone || h.Sequence <= old.Sequence
	}
	return h.Sequence > old.Sequence
}

// incarnation identifies the start of the target.
func (h Heartbeat) incarnation() string { return h.ID + "/" + strconv.FormatInt(h.Started, 10) }

// sameIncarnation reports whether both heartbeats come from the same start of
// the same target.
func (h Heartbeat) sameIncarnation(old Heartbeat) bool {
	return h.ID == old.ID && h.Started == old.Started
}
