package local

import (
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// maxStartAhead is how far the start of a target may lie ahead of the daemon's
	// clock. Clocks differ by seconds, and may step.
	maxStartAhead = time.Minute
	// maxSequencePerInterval is by how much the sequence may increase in one heartbeat
	// interval. A target that gets no acknowledgement sends again at once.
	maxSequencePerInterval = 100
	// minConfirmations is the number of heartbeats, each continuing the one before,
	// from which implausible ones are believed.
	minConfirmations = 2
	// minContradictions is the number of heartbeats, each continuing the one before,
	// from which heartbeats are believed that are older than the last believed one.
	// Those that arrive within half an interval count as one, since delayed ones arrive
	// together. No other heartbeat may have been believed for contradictionSilence
	// intervals: that is before the target is considered gone, and longer than
	// heartbeats are late.
	minContradictions    = 3
	contradictionSilence = maxSilentIntervals - 1
)

// disbelieved is a run of heartbeats that were not believed, each continuing the one
// before.
type disbelieved struct {
	last   Heartbeat
	lastAt time.Time
	count  int
	// spaced is the number of heartbeats that arrived half an interval or more after
	// the previous one that counts, which arrived at spacedAt.
	spaced   int
	spacedAt time.Time
}

// add adds a heartbeat to the run, or begins a new one with it.
func (d *disbelieved) add(now time.Time, h Heartbeat, interval time.Duration) {
	if d.count == 0 || !h.sameIncarnation(d.last) || !h.continues(d.last, now.Sub(d.lastAt), interval) {
		*d = disbelieved{}
	}
	d.last, d.lastAt = h, now
	d.count++
	if d.spaced == 0 || now.Sub(d.spacedAt) >= interval/2 {
		d.spaced++
		d.spacedAt = now
	}
}

// continues reports whether the sequence of h, which arrived this long after old, may
// be that of a later heartbeat of the same incarnation.
func (h Heartbeat) continues(old Heartbeat, elapsed, interval time.Duration) bool {
	return h.Sequence > old.Sequence && h.Sequence-old.Sequence <= maxSequenceIncrease(elapsed, interval)
}

// maxSequenceIncrease returns by how much the sequence may increase in the elapsed time.
func maxSequenceIncrease(elapsed, interval time.Duration) uint64 {
	intervals := max(elapsed, 0) / max(interval, time.Millisecond)
	return maxSequencePerInterval * (uint64(intervals) + 1)
}

// believe returns nil if h takes effect. One heartbeat that breaks with the others
// proves nothing: another writer may have sent it, and it must neither displace the
// target nor make later heartbeats seem old for good. Heartbeats that keep agreeing with
// each other are believed, whatever the clocks say. Errors: BadRequest with the reason
// why it does not.
func (t *Target) believe(now time.Time, h Heartbeat) error {
	err := t.olderThanLast(h)
	older := err != nil
	if !older {
		err = t.implausible(now, h)
	}
	if err == nil {
		t.disbelieved = disbelieved{}
		return nil
	}
	d := &t.disbelieved
	d.add(now, h, t.options.Interval)
	confirmed := d.count >= minConfirmations
	if older {
		confirmed = d.spaced >= minContradictions && now.Sub(t.heartbeatAt) >= contradictionSilence*t.options.Interval
	}
	if !confirmed {
		return err
	}
	t.options.Log.Warn("heartbeats that were ignored are believed, since they keep agreeing with each other",
		zap.String("id", h.ID), zap.Int("heartbeats", d.count), zap.String("reason", fault.Message(err)))
	*d = disbelieved{}
	return nil
}

// olderThanLast returns nil unless h is older than the last believed heartbeat.
func (t *Target) olderThanLast(h Heartbeat) error {
	if !t.announced || h.newer(t.lastHeartbeat) {
		return nil
	}
	return fault.New(fault.BadRequest, "heartbeat %d of %q is older than %d of %q", h.Sequence, h.ID, t.lastHeartbeat.Sequence, t.lastHeartbeat.ID)
}

// implausible returns nil unless h, which is newer than the last believed heartbeat,
// states a start or a sequence that the target can hardly have.
func (t *Target) implausible(now time.Time, h Heartbeat) error {
	last := t.lastHeartbeat
	switch {
	case t.announced && h.sameIncarnation(last):
		if !h.continues(last, now.Sub(t.heartbeatAt), t.options.Interval) {
			return fault.New(fault.BadRequest, "heartbeat %d of %q follows %d too soon", h.Sequence, h.ID, last.Sequence)
		}
	case t.announced && h.Started == 0 && h.ID == last.ID:
		return fault.New(fault.BadRequest, "heartbeat %d of %q does not state when the target started, as earlier ones do", h.Sequence, h.ID)
	case h.Started != 0:
		age := now.UnixMilli() - h.Started
		if age < -maxStartAhead.Milliseconds() {
			return fault.New(fault.BadRequest, "heartbeat %d of %q says that the target starts in %d ms", h.Sequence, h.ID, -age)
		}
		running := time.Duration(age)*time.Millisecond + maxStartAhead
		if h.Sequence > maxSequenceIncrease(running, t.options.Interval) {
			return fault.New(fault.BadRequest, "heartbeat %d of %q is too many for a target that started %d ms ago", h.Sequence, h.ID, age)
		}
	}
	return nil
}
