package local

import (
	"context"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/quarantine"
)

// reachInterval is the least time between two connections that are opened only to see
// whether the target is there.
const reachInterval = 250 * time.Millisecond

// crash is what is known about a crash of the target. The zero value stands for none.
type crash struct {
	incarnation string
	suspects    []quarantine.Fingerprint
}

// crashed returns the crash of the current incarnation. The exit of a target that has
// announced it is none.
func (t *Target) crashed(now time.Time) crash {
	suspects := t.crashes.Crashed(now)
	if t.lastHeartbeat.Leaving {
		return crash{}
	}
	return crash{t.lastHeartbeat.incarnation(), suspects}
}

// detectCrash looks for signs that the target has crashed in the outcome of a request.
// While a restart is suspected, each lost request is reported at once.
func (t *Target) detectCrash(now time.Time, s *Slot, err error) crash {
	if !t.lastHeartbeat.sameIncarnation(s.heartbeat) {
		return crash{}
	}
	switch fault.KindOf(err) {
	case "":
		t.crashes.Responded(s.ticket.Started)
		if s.Answered {
			t.crashes.Survived(s.Content)
		}
	case fault.ConnectionLost, fault.AnswerBroken, fault.DeadlineUnknown, fault.CallerGone, fault.Interrupted:
		t.crashes.Lost(now, s.Content)
		if t.restartSuspected {
			return t.crashed(now)
		}
	case fault.ConnectFailed, fault.NoTarget:
		return t.crashed(now)
	}
	return crash{}
}

func (t *Target) reportCrash(c crash) {
	if len(c.suspects) > 0 && t.options.Crashed != nil {
		t.options.Crashed(c.incarnation, c.suspects)
	}
}

// mayHaveCrashed reports whether a request was lost in a way that a crash explains, and
// nothing shows yet whether the target is there. On a quiet service no other request would
// show it soon.
func (t *Target) mayHaveCrashed(now time.Time, s *Slot, err error) bool {
	lost := fault.Is(err, fault.ConnectionLost) || fault.Is(err, fault.AnswerBroken)
	if !lost || t.options.Reach == nil || t.restartSuspected || !t.lastHeartbeat.sameIncarnation(s.heartbeat) || now.Sub(t.reachedAt) < reachInterval {
		return false
	}
	t.reachedAt = now
	return true
}

// checkReachable opens a connection to the target whose last heartbeat is h. One that
// cannot be reached is suspected to have crashed.
func (t *Target) checkReachable(h Heartbeat) {
	if err := t.options.Reach(context.Background()); !fault.Is(err, fault.ConnectFailed) {
		return
	}
	t.mu.Lock()
	var detected crash
	if t.lastHeartbeat.sameIncarnation(h) {
		t.restartSuspected = true
		detected = t.crashed(t.options.Now())
	}
	t.mu.Unlock()
	t.reportCrash(detected)
}
