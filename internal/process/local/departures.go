package local

import (
	"context"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// maxDepartures is the number of incarnations that are remembered.
	maxDepartures = 8
	// maxHeartbeatDelay is how late a heartbeat is expected to arrive at most.
	maxHeartbeatDelay = 10 * time.Second
	// recordPeriod is how long the replicas are asked to record a departure: until no
	// heartbeat that was sent before it can be on its way.
	recordPeriod = 3 * maxHeartbeatDelay
)

// departures are the incarnations of targets at this address that have announced that
// they leave. A heartbeat that was sent before may arrive after that, also at a daemon
// that has restarted and knows nothing else of the target.
type departures struct {
	recent []departure
}

// departure is that of one incarnation.
type departure struct {
	id      string
	started int64 // see Heartbeat.Started
	// gone is true once the target has announced its exit.
	gone bool
	at   time.Time
	// recorded is true once the replicas have recorded the departure.
	recorded bool
}

// add reports whether the departure was not remembered.
func (d *departures) add(now time.Time, left departure) (added bool) {
	left.at = now
	for i, known := range d.recent {
		if known.id == left.id && known.started == left.started {
			left.gone = left.gone || known.gone
			left.recorded = left.recorded || known.recorded
			d.recent[i] = left
			return false
		}
	}
	d.recent = append(d.recent, left)
	if len(d.recent) > maxDepartures {
		d.recent = d.recent[1:]
	}
	return true
}

// setRecorded marks a departure as recorded. It reports whether the departure is
// remembered, however long ago it was: the replicas send back what this daemon has recorded
// with them.
func (d *departures) setRecorded(incarnation string) (known bool) {
	for i := range d.recent {
		if d.recent[i].incarnation() == incarnation {
			d.recent[i].recorded = true
			return true
		}
	}
	return false
}

// find reports whether the sender of h has announced that it leaves, and that it exits.
// An incarnation without a start time cannot be told from the next one of the same ID, so
// its departure counts only while heartbeats may be late.
func (d *departures) find(now time.Time, h Heartbeat) (leaving, gone bool) {
	for _, left := range d.recent {
		if left.id != h.ID {
			continue
		}
		unknown := left.started == 0 || h.Started == 0
		if unknown && now.Sub(left.at) < maxHeartbeatDelay || !unknown && left.started == h.Started {
			leaving, gone = true, gone || left.gone
		}
	}
	return leaving, gone
}

func (d departure) incarnation() string { return Heartbeat{ID: d.id, Started: d.started}.incarnation() }

// parseIncarnation is the inverse of Heartbeat.incarnation.
func parseIncarnation(text string) (left departure, ok bool) {
	slash := strings.LastIndexByte(text, '/')
	if slash < 0 {
		return departure{}, false
	}
	started, err := strconv.ParseInt(text[slash+1:], 10, 64)
	return departure{id: text[:slash], started: started}, err == nil && started >= 0
}

// UnrecordedDepartures returns the incarnations that have lately announced that they leave
// and that the replicas have not recorded yet.
func (t *Target) UnrecordedDepartures() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var incarnations []string
	now := t.options.Now()
	for _, left := range t.departures.recent {
		if !left.recorded && now.Sub(left.at) < recordPeriod {
			incarnations = append(incarnations, left.incarnation())
		}
	}
	return incarnations
}

// DeparturesRecorded says that the replicas have recorded departures.
func (t *Target) DeparturesRecorded(incarnations []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, incarnation := range incarnations {
		t.departures.setRecorded(incarnation)
	}
	t.notifyRecorded()
}

// notifyRecorded wakes those who wait in AwaitRecorded.
func (t *Target) notifyRecorded() {
	close(t.departureRecorded)
	t.departureRecorded = make(chan struct{})
}

// AwaitRecorded returns nil once the replicas have recorded that the sender of h leaves.
// Errors: NoLeader if ctx ends before.
func (t *Target) AwaitRecorded(ctx context.Context, h Heartbeat) error {
	for {
		recorded, changed := t.departureState(h)
		if recorded {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.New(fault.NoLeader, "no quorum of the replicas has recorded yet that target %q leaves", h.ID)
		}
	}
}

// departureState reports whether the departure of the sender of h is recorded. changed is
// closed when that of another one is.
func (t *Target) departureState(h Heartbeat) (recorded bool, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	started := t.startOf(h)
	for _, left := range t.departures.recent {
		recorded = recorded || left.recorded && left.id == h.ID && left.started == started
	}
	return recorded, t.departureRecorded
}

// AdoptDepartures records incarnations that this daemon, before it restarted, knew to
// leave. They get no new requests.
func (t *Target) AdoptDepartures(incarnations []string) {
	if len(incarnations) > 0 && t.adoptDepartures(incarnations) {
		t.options.Changed()
	}
}

// adoptDepartures reports whether one of the incarnations is the current one, and was not
// known to leave.
func (t *Target) adoptDepartures(incarnations []string) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, incarnation := range incarnations {
		left, ok := parseIncarnation(incarnation)
		if !ok {
			t.options.Log.Warn("malformed incarnation of a departed target", zap.String("incarnation", incarnation))
			continue
		}
		if t.departures.setRecorded(incarnation) {
			continue
		}
		left.recorded = true
		t.departures.add(t.options.Now(), left)
		if t.announced && t.lastHeartbeat.incarnation() == incarnation {
			changed = t.markLeaving() || changed
		}
		t.options.Log.Info("target is leaving, as known before this process started", zap.String("incarnation", incarnation))
	}
	t.notifyRecorded()
	return changed
}

// startOf returns when the sender of h started: where h does not state it, when the target
// with its ID did that is known.
func (t *Target) startOf(h Heartbeat) int64 {
	if h.Started == 0 && t.announced && t.lastHeartbeat.ID == h.ID {
		return t.lastHeartbeat.Started
	}
	return h.Started
}

// markLeaving reports whether the target was not leaving before.
func (t *Target) markLeaving() bool {
	if t.lastHeartbeat.Leaving {
		return false
	}
	t.lastHeartbeat.Leaving = true
	t.limiter.RejectAll()
	t.options.Log.Info("target state changed", zap.String("id", t.lastHeartbeat.ID), zap.String("state", string(protocol.Leaving)))
	return true
}

func (t *Target) markGone(h Heartbeat) (changed bool, err error) {
	if !t.announced || t.lastHeartbeat.ID != h.ID || h.Started != 0 && t.lastHeartbeat.Started != 0 && h.Started != t.lastHeartbeat.Started {
		return false, fault.New(fault.BadRequest, "target %q, which announces its exit, is not the one that is known; its heartbeats are ignored from now on", h.ID)
	}
	t.lastHeartbeat.Gone = true
	t.lastHeartbeat.Leaving = true
	t.limiter.RejectAll()
	t.options.Log.Info("target announced its exit", zap.String("id", h.ID), zap.String("state", "gone"))
	return true, nil
}
